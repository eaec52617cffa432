//! The listeners of the HTTP API, and the calls that each of them takes.

use std::cell::Cell;
use std::fmt;
use std::time::Duration;

use actix_http::Request;
use cypressfork_node::emit;
use cypressfork_node::event::Event;
use tokio::time::Instant;

use crate::dialect::Dialect;

/// Least time between two log lines about calls that a listener does not take.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum length of a method or path in logs and errors, in characters.
const MAX_EXCERPT: usize = 128;

/// What a call asks for, in whatever dialect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Put a document into force.
    Publish,
    /// Return the document in force.
    Document,
    /// Apply the heartbeat of a replica.
    Heartbeat,
    /// Mark a replica as left.
    Leave,
    /// Start the evacuation of a data centre.
    Evacuate,
    /// End the evacuation of a data centre.
    EndEvacuation,
    /// Start a rollout.
    StartRollout,
    /// Roll back a rollout.
    AbortRollout,
    /// Return the state of a rollout.
    Rollout,
    /// Return router addresses.
    Entry,
}

/// The method and path of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Route {
    /// The call.
    pub kind: CallKind,
    /// Method.
    pub method: &'static str,
    /// Path. One that ends in a slash is followed by a name.
    pub path: &'static str,
}

impl Route {
    /// Creates a line of a dialect's table.
    pub const fn new(kind: CallKind, method: &'static str, path: &'static str) -> Route {
        Route { kind, method, path }
    }

    /// Returns the name that follows this route's path, empty if it takes none. Returns `None` for requests that are
    /// not of this route.
    fn match_name<'a>(&self, method: &str, path: &'a str) -> Option<&'a str> {
        if self.method != method {
            return None;
        }
        let name = path.strip_prefix(self.path)?;
        (name.is_empty() || self.path.ends_with('/')).then_some(name)
    }
}

impl fmt::Display for Route {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let name = if self.path.ends_with('/') { "NAME" } else { "" };
        write!(f, "{} {}{name}", self.method, self.path)
    }
}

/// A listener of the HTTP API.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listener {
    /// For replicas and operators.
    Control,
    /// For callers that ask for router addresses.
    Directory,
    /// For all of them, at one address.
    Shared,
}

impl Listener {
    /// Returns the listener's name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Listener::Control => "control",
            Listener::Directory => "directory",
            Listener::Shared => "shared",
        }
    }

    /// Returns whether this listener takes a call.
    pub fn takes(self, kind: CallKind) -> bool {
        match self {
            Listener::Control => kind != CallKind::Entry,
            Listener::Directory => kind == CallKind::Entry,
            Listener::Shared => true,
        }
    }

    /// Returns the call that a request makes in the dialect `D`, and the name in its path. Returns `None` if this
    /// listener does not take it.
    pub fn find_call<'a, D: Dialect>(
        self,
        method: &str,
        path: &'a str,
    ) -> Option<(CallKind, &'a str)> {
        let routes = D::ROUTES.iter().filter(|r| self.takes(r.kind));
        routes.into_iter().find_map(|r| Some((r.kind, r.match_name(method, path)?)))
    }
}

/// Returns the start of a text that a client sent, for logs and errors.
pub fn excerpt(text: &str) -> &str {
    text.char_indices().nth(MAX_EXCERPT).map_or(text, |(end, _)| &text[..end])
}

/// Counts the calls that a listener does not take, and logs them once in a while.
#[derive(Default)]
pub struct ForeignCalls {
    unlogged: Cell<u64>,
    logged_at: Cell<Option<Instant>>,
}

impl ForeignCalls {
    /// Counts a call. Logs it, with the number of calls since the last line, unless that is too recent.
    pub fn record(&self, listener: Listener, head: &Request) {
        let now = Instant::now();
        self.unlogged.set(self.unlogged.get() + 1);
        if self.logged_at.get().is_some_and(|at| now.duration_since(at) < LOG_INTERVAL) {
            return;
        }
        self.logged_at.set(Some(now));
        emit!(
            Event::CallsForeign,
            listener = listener.name(),
            calls = self.unlogged.take(),
            method = excerpt(head.method().as_str()),
            path = excerpt(head.path()),
        );
    }
}
