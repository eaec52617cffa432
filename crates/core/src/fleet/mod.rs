//! State of a fleet of gateways: versioned documents of routes and client accounts, the replicas
//! that register, and the messages by which control processes distribute both.

pub mod admission;
pub mod clocks;
pub mod completed;
pub mod connection_loss;
pub mod contacts;
pub mod demand;
pub mod document;
pub mod document_wait;
pub mod evacuation;
pub mod fetch;
pub mod fingerprint;
pub mod format;
pub mod heard;
pub mod homes;
pub mod limit;
pub mod load_monitor;
pub mod load_shedding;
pub mod message_rate;
pub mod output_buffer;
pub mod peer;
pub mod quarantine;
pub mod regions;
pub mod registry;
pub mod relay;
pub mod repair;
pub mod replicas;
pub mod retry;
pub mod rollout;
pub mod router_directory;
pub mod router_heartbeats;
pub mod routes;
pub mod sources;
pub mod transfer;
pub mod watch;
