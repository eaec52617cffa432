//! A randomized soak: the real programs as separate processes on loopback, faults from outside
//! them, and the system's promises checked from what callers, replicas and operators see.
//!
//! A seed gives a [`plan`]; [`run`] plays it with [`fleet`] processes behind [`proxy`]s, stand-in
//! [`replica`]s, [`caller`]s and an [`operator`]; all that they see goes into a [`history`], over
//! which [`check`] decides.

pub mod caller;
pub mod check;
pub mod command;
pub mod document;
pub mod error;
pub mod fleet;
pub mod history;
pub mod http;
pub mod operator;
pub mod plan;
pub mod proxy;
pub mod replica;
pub mod run;
pub mod world;
