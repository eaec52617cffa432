//! Members in virtual time over an in-memory network, for tests.

#![allow(dead_code, missing_docs)]

pub mod memory;
pub mod places;
pub mod world;
