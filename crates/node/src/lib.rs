//! What every cypressfork process has: settings, log events, links and the group client.

pub mod digest;
pub mod event;
pub mod group;
pub mod lines;
pub mod link;
pub mod logging;
pub mod metric;
pub mod process;
pub mod settings;
pub mod time;
pub mod urge;
pub mod watch;
