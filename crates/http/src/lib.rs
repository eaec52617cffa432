//! Single-threaded HTTP/1.1: a server, and client connections.

mod body;
pub mod body_buffer;
pub mod client;
pub mod framing;
pub mod operators;
pub mod server;

pub use body::Body;
pub use server::{BodyLimit, Received, serve, serve_until_stopped, serve_within};
