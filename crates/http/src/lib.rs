//! HTTP/1.1 on one thread: serving it, and connections to those that do.

mod body;
pub mod client;
pub mod operators;
mod server;

pub use body::Body;
pub use server::serve;
