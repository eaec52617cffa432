//! The gateway: forwards requests by host and path to registered replicas.
//!
//! [`server`] reads a request, [`request`] finds its route and account and reserves its tokens,
//! [`attempt`] sends it to a replica, and [`stream`] forwards the response events and resumes at another
//! replica if the connection breaks off. A [`dialect::Dialect`] defines headers, error bodies and the
//! format of configuration documents.

mod activity;
mod answer;
mod attempt;
mod budget;
mod dial;
pub mod dialect;
mod documents;
mod drain;
mod events;
mod follow;
mod homes;
mod limits;
pub mod native;
mod notices;
mod origins;
mod quarantine;
mod receive;
mod relay;
mod request;
mod response_buffers;
mod rollouts;
mod routed_request;
pub mod run;
mod server;
pub mod settings;
mod share;
mod stand_in;
mod state;
mod stream;
mod timing;
mod upstream;
mod witness;
