//! What replicas say of themselves in the heads of their answers: the limit that they name, the rest that
//! they ask for, and that they leave.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use cypressfork_core::fleet::limit::LimitHeader;
use cypressfork_core::fleet::registry::{Leaving, ReplicaStatus};
use cypressfork_core::route::rest;
use cypressfork_node::event::Event;
use cypressfork_node::{emit, metric};
use metrics::counter;
use tokio::time::Instant;

use super::dialect::Head;
use super::job::RoutedRequest;
use super::state::Gateway;

/// Replicas that are remembered for having said what cannot be read.
const UNREADABLE_MOST: usize = 256;

/// Replicas that leave which one question to a control process tells of, at most.
const LEAVING_MOST: usize = 64;

/// Which send of a request this is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Try {
    /// The first.
    First,
    /// One to another replica.
    Further,
    /// The same again, on a new connection.
    Again,
}

impl Try {
    /// Its name in metrics.
    fn name(self) -> &'static str {
        match self {
            Try::First => "first",
            Try::Further => "further",
            Try::Again => "again",
        }
    }
}

/// The replica that a request was sent to, in the life that it had then.
pub struct Addressee<'a> {
    /// Its id.
    pub replica: &'a str,
    /// Its address.
    pub address: SocketAddr,
    /// When that life began; 0 if it does not say.
    pub born: u64,
    /// When the request was sent.
    pub sent: Instant,
}

/// What is known of a replica that leaves.
struct Known {
    /// When that life of it began; 0 if it does not say.
    born: u64,
    /// Control processes take it for ready, as far as they have told.
    to_tell: bool,
}

/// What is remembered of what replicas said.
#[derive(Default)]
pub struct Notices {
    /// Replicas that said that they leave, or are known to.
    leaving: RefCell<BTreeMap<String, Known>>,
    /// Replicas whose word on a rest could not be read, and has been logged.
    unreadable: RefCell<BTreeSet<String>>,
}

impl Notices {
    /// Takes what the head of an answer to this request says. An answer of another replica says nothing
    /// of this one, nor does one of a life that is over.
    pub fn heard(&self, request: &RoutedRequest, to: &Addressee, said: &Head) {
        let gw = &request.gw;
        if !is_of_this_life(gw, to, said) {
            return;
        }
        self.hear_rest(request, to, said);
        // One that does not name its request may be older than it looks: it names a limit, and its
        // silence ends none.
        if said.id.is_some() || said.limit != LimitHeader::Absent {
            gw.limits.heard(gw, to.replica, &request.inbound.id, to.sent, said.limit);
        }
        if said.leaving {
            self.hear_leaving(request, to);
        }
    }

    /// Takes what an answer of the replica says of a rest, whichever request it answers.
    pub fn hear_rest(&self, request: &RoutedRequest, to: &Addressee, said: &Head) {
        if !is_of_this_life(&request.gw, to, said) {
            return;
        }
        match said.rest {
            rest::RetryAfter::Absent => {}
            rest::RetryAfter::Invalid => self.tell_unreadable(to.replica, &request.inbound.id),
            rest::RetryAfter::Delay(span) => {
                let under_way = request.gw.back_off(&request.service, to.address, span);
                counter!(metric::RESTS, "service" => request.service.clone()).increment(1);
                emit!(
                    Event::RestBegun,
                    replica = to.replica,
                    span_ms = span.0,
                    under_way = under_way,
                    id = request.inbound.id,
                );
            }
        }
    }

    /// It leaves for good in this life, whatever its heartbeats say. Other gateways hear of it from the
    /// control processes.
    fn hear_leaving(&self, request: &RoutedRequest, to: &Addressee) {
        if !request.gw.mark_draining(to.replica) {
            return;
        }
        emit!(Event::LeavingHeard, replica = to.replica, id = request.inbound.id);
        self.set_leaving(to.replica, to.born, true);
        request.gw.poll_sources_now();
    }

    fn set_leaving(&self, replica: &str, born: u64, to_tell: bool) {
        self.leaving.borrow_mut().insert(replica.to_owned(), Known { born, to_tell });
    }

    /// Takes note that a control process takes a replica that leaves for ready, or knows better.
    pub fn told(&self, replica: &str, born: u64, said: ReplicaStatus) {
        self.set_leaving(replica, born, said < ReplicaStatus::Draining);
    }

    /// What control processes are to be told, until they say so themselves.
    pub fn to_tell(&self) -> Vec<Leaving> {
        let all = self.leaving.borrow();
        let to_tell = all.iter().filter(|(_, k)| k.to_tell).take(LEAVING_MOST);
        to_tell.map(|(id, k)| Leaving { replica: id.clone(), born: k.born }).collect()
    }

    fn tell_unreadable(&self, replica: &str, id: &str) {
        let mut told = self.unreadable.borrow_mut();
        if told.len() >= UNREADABLE_MOST {
            told.clear();
        }
        if told.insert(replica.to_owned()) {
            emit!(Event::RestUnreadable, replica = replica, id = id);
        }
    }

    /// Counts a send to a replica that wants none.
    pub fn count_send(&self, request: &RoutedRequest, to: &Addressee, which: Try) {
        if request.gw.is_backing_off(&request.service, to.address) {
            counter!(metric::SENT_IN_REST, "try" => which.name()).increment(1);
        }
        if self.leaving.borrow().get(to.replica).is_some_and(|k| k.born == to.born) {
            counter!(metric::SENT_TO_LEAVING, "try" => which.name()).increment(1);
        }
    }

    /// Forgets replicas that are not there any more.
    pub fn trim(&self, gw: &Gateway) {
        self.leaving.borrow_mut().retain(|replica, k| gw.is_running(replica, k.born));
    }
}

fn is_of_this_life(gw: &Gateway, to: &Addressee, said: &Head) -> bool {
    !said.another && gw.born(to.replica) == to.born
}
