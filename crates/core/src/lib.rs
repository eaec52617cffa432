//! Coordination logic for prepaid token budgets and the router fleet that spends them.
//!
//! This crate does no I/O, reads no clock and starts no threads. Functions that depend on the time
//! take it as an argument; randomness comes from a seeded generator that the caller passes in.

pub mod bill;
pub mod budget;
pub mod claim;
pub mod code;
pub mod command;
pub mod config;
pub mod fleet;
mod hash;
pub mod keep_alive;
pub mod member;
pub mod query;
pub mod raft;
pub mod route;
pub mod state;
pub mod unit;
