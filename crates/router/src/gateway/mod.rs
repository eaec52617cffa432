//! Forwarding of requests by host and path, to replicas that register themselves.
//!
//! The way of a request: [`server`] reads it, [`request`] finds its route and account and sets its
//! tokens aside, [`attempt`] sends it to a replica, [`stream`] passes events on and goes on at
//! another replica when one breaks off. Whoever embeds it chooses the words on the wire with a
//! [`dialect::Dialect`].

mod answer;
mod attempt;
mod budget;
mod client;
pub mod dialect;
mod documents;
mod drain;
mod events;
mod follow;
mod homes;
mod job;
mod limits;
pub mod native;
mod notices;
mod quarantine;
mod request;
mod rollouts;
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
