//! Helpers of the core's tests.

#![allow(dead_code, missing_docs)]

pub mod escrow;
pub mod golden;
