//! The control process: a region's replicated, durable state.

pub mod disk;
mod duty;
pub mod machine;
mod read;
pub mod reserve;
pub mod run;
pub mod server;
pub mod settings;
