//! Serving HTTP/1.1 on one thread.

mod body;
pub mod operators;
mod server;

pub use body::Body;
pub use server::serve;
