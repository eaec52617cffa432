//! Serving HTTP/1.1 on one thread.

mod body;
mod server;

pub use body::Body;
pub use server::serve;
