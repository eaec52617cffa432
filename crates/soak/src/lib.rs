//! Randomized soak test: runs the real programs as separate processes on loopback, injects faults
//! from outside and checks the system's guarantees against what callers, replicas and operators
//! observe.
//!
//! A seed determines a [`plan`]. [`run`] executes it with [`fleet`] processes behind [`proxy`]s,
//! simulated [`replica`]s, [`caller`]s and an [`operator`]. Their observations are recorded in a
//! [`history`], which [`check`] evaluates. The series of [`signals`] of planned stops
//! are drawn beside the plan, and [`check_stops`] has their checks.

pub mod caller;
pub mod check;
pub mod check_stops;
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
pub mod signals;
pub mod stutter;
pub mod world;
