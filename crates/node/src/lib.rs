//! Code that all cypressfork processes share: settings, logging, metrics, links and the control group client.

pub mod digest;
pub mod event;
pub mod group;
pub mod lines;
pub mod link;
pub mod logging;
pub mod metric;
pub mod poll_trigger;
pub mod process;
pub mod settings;
pub mod signals;
pub mod silence;
pub mod time;
pub mod tunnel;
pub mod watch;
