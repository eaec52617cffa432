//! The control process: a region's replicated, durable state.

pub mod desk;
pub mod dialect;
pub mod disk;
mod founding;
mod front;
mod leader_tasks;
mod links;
pub mod machine;
pub mod native;
mod read;
pub mod reserve;
pub mod run;
pub mod server;
pub mod settings;
