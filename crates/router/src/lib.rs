//! The router, which lists entry addresses and admits, routes and bills the requests of
//! language-model clients, and the gateway.

mod app;
mod attempt;
mod budget_slices;
mod claim;
mod config_index;
mod drain;
mod entry;
mod exchange;
mod follow;
pub mod gateway;
mod head;
mod model_handler;
mod model_request;
mod ops;
mod plain;
mod platform;
mod queue;
mod relay;
pub mod reply;
mod reservation_guard;
mod reservation_result;
mod response_sender;
pub mod run;
mod serve;
pub mod settings;
mod sse;
mod token_store;
mod trace;
mod unpooled;
mod usage;
