//! Helpers shared by the tests of the core crate.

#![allow(dead_code, missing_docs)]

pub mod escrow;
pub mod golden;
