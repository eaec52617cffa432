//! Limits that replicas name, at a gateway.

use std::cell::RefCell;
use std::collections::BTreeSet;

use cypressfork_core::fleet::limit::Said;
use cypressfork_core::fleet::limit::known;
use cypressfork_core::unit::Millis;
use cypressfork_node::event::Event;
use cypressfork_node::{emit, metric};
use metrics::{counter, gauge};
use tokio::time::Instant;

use super::state::Gateway;

/// What a gateway knows of the limits of replicas.
#[derive(Default)]
pub struct Limits {
    known: RefCell<known::Limits>,
    /// Replicas whose word could not be read, and has been logged.
    unreadable: RefCell<BTreeSet<String>>,
}

/// Replicas that are remembered for having said what cannot be read.
const UNREADABLE_MOST: usize = 256;

impl Limits {
    /// Notes that a request goes to a replica.
    pub fn note_sent(&self, replica: &str) {
        if self.known.borrow().rate(replica).is_some() {
            counter!(metric::LIMITED_SENDS).increment(1);
        }
    }

    /// Takes what an answer to the request `id`, sent at `sent`, says of its replica's limit.
    pub fn heard(&self, gw: &Gateway, replica: &str, id: &str, sent: Instant, said: Said) {
        let rate = match said {
            Said::Nothing => None,
            Said::Limit(rate) => Some(rate),
            Said::Unreadable => return self.tell_unreadable(replica, id),
        };
        let now = gw.now();
        let sent = now.before(Millis(sent.elapsed().as_millis() as u64));
        let born = gw.born(replica);
        let change = self.known.borrow_mut().answered(now, replica, born, sent, rate);
        let Some(change) = change else { return };
        gauge!(metric::LIMITED).set(self.known.borrow().named().count() as f64);
        let text = |rate: Option<_>| rate.map_or("none".to_owned(), |r| format!("{r}"));
        emit!(
            Event::LimitChanged,
            replica = replica,
            from = text(change.from),
            to = text(change.to),
            id = id,
        );
    }

    fn tell_unreadable(&self, replica: &str, id: &str) {
        let mut told = self.unreadable.borrow_mut();
        if told.len() >= UNREADABLE_MOST {
            told.clear();
        }
        if told.insert(replica.to_owned()) {
            emit!(Event::LimitUnreadable, replica = replica, id = id);
        }
    }
}
