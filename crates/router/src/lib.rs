//! The entry router: tells callers which address to use, admits, bills and routes their requests.

mod app;
mod ask;
mod caller;
mod chat;
mod claim;
mod count;
mod drain;
mod entry;
mod exchange;
mod follow;
mod head;
mod hold;
mod leg;
mod ops;
mod plain;
mod platform;
mod pocket;
mod queue;
mod relay;
mod reply;
pub mod run;
mod serve;
pub mod settings;
mod sse;
mod view;
mod wallet;
