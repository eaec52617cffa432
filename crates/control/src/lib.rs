//! The control process: holds a region's replicated, durable state and the registry of its fleet.

mod api;
pub mod dialect;
pub mod disk;
mod drain;
pub mod feed_cache;
pub mod fleet_view;
mod founding;
mod leader_tasks;
mod leaderless;
mod links;
pub mod listener;
pub mod machine;
pub mod native;
mod read;
pub mod reserve;
pub mod run;
pub mod server;
pub mod settings;
mod turns;
