//! Replicas in virtual time over a small in-memory link, for tests.

#![allow(dead_code, missing_docs)]

pub mod memory;
pub mod places;
pub mod world;
