//! Members in virtual time over an in-memory network, for tests.

#![allow(dead_code, missing_docs)]

pub mod membership;
pub mod memory;
pub mod simulation;
