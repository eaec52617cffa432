//! Randomized soak test: runs the real programs as separate processes on loopback, injects faults
//! from outside and checks the system's guarantees against what callers, replicas and operators
//! observe.
//!
//! A seed determines a [`plan`]. [`run`] executes it with [`fleet`] processes behind [`proxy`]s,
//! simulated [`replica`]s, [`caller`]s and an [`operator`]. Their observations are recorded in a
//! [`history`], which [`check`] evaluates.

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
pub mod stutter;
pub mod world;
