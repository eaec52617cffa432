//! Counts of ended requests and of connections to replicas, logged at intervals.

use std::cell::RefCell;
use std::time::Duration;

use cypressfork_http::client::OpenError;
use cypressfork_node::event::Event;
use cypressfork_node::{emit, metric};
use metrics::counter;

/// Interval between two log lines.
pub const LOG_INTERVAL: Duration = Duration::from_secs(2);

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The complete response was forwarded.
    Answered,
    /// It was refused, or failed before a part of a response was sent.
    Refused,
    /// It failed after a part of the response was sent.
    Interrupted,
    /// The caller closed its connection.
    Left,
}

/// The way of a connection to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// A direct connection.
    Direct,
    /// Through another gateway.
    Relayed,
}

#[derive(Clone, Copy, Default, PartialEq, Eq)]
struct Counts {
    answered: u32,
    refused: u32,
    interrupted: u32,
    left: u32,
    opened: u32,
    open_refused: u32,
    open_timed_out: u32,
    open_failed: u32,
    relayed: u32,
    not_relayed: u32,
}

/// Counts since the last log line.
#[derive(Default)]
pub struct Activity {
    counts: RefCell<Counts>,
}

impl Activity {
    /// Counts a request that ended.
    pub fn record_end(&self, end: End) {
        let mut c = self.counts.borrow_mut();
        let count = match end {
            End::Answered => &mut c.answered,
            End::Refused => &mut c.refused,
            End::Interrupted => &mut c.interrupted,
            End::Left => &mut c.left,
        };
        *count += 1;
    }

    /// Counts an attempt to open a connection to a replica.
    pub fn record_open<T>(&self, way: Way, result: &Result<T, OpenError>) {
        let mut c = self.counts.borrow_mut();
        let count = match (way, result) {
            (Way::Direct, Ok(_)) => &mut c.opened,
            (Way::Direct, Err(OpenError::Refused)) => &mut c.open_refused,
            (Way::Direct, Err(OpenError::TimedOut)) => &mut c.open_timed_out,
            (Way::Direct, Err(OpenError::Failed(_))) => &mut c.open_failed,
            (Way::Relayed, Ok(_)) => &mut c.relayed,
            (Way::Relayed, Err(_)) => &mut c.not_relayed,
        };
        *count += 1;
        let way = match way {
            Way::Direct => "direct",
            Way::Relayed => "relayed",
        };
        let end = result.as_ref().err().map_or("opened", OpenError::label);
        counter!(metric::REPLICA_CONNECTIONS, "way" => way, "end" => end).increment(1);
    }

    /// Logs the counts since the last call, if there are any.
    pub fn log(&self) {
        let c = self.counts.take();
        if c == Counts::default() {
            return;
        }
        emit!(
            Event::RequestsEnded,
            answered = c.answered,
            refused = c.refused,
            interrupted = c.interrupted,
            left = c.left,
            opened = c.opened,
            open_refused = c.open_refused,
            open_timed_out = c.open_timed_out,
            open_failed = c.open_failed,
            relayed = c.relayed,
            not_relayed = c.not_relayed,
        );
    }
}
