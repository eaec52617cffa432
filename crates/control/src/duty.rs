//! What a leader does unasked.

use std::collections::BTreeSet;

use cypressfork_core::command::Command;
use cypressfork_core::member::LAPSE_AFTER;
use cypressfork_core::unit::{HolderId, Millis, Time};
use cypressfork_node::emit;
use cypressfork_node::event::Event;

use crate::disk::Storage;
use crate::machine::{Machine, Moment};

/// How often a leader looks after its duties.
const EVERY: Millis = Millis(500);

/// What a leader has done since it began to lead.
#[derive(Default)]
pub struct Duties {
    next: Time,
    lapsed: BTreeSet<HolderId>,
}

impl<S: Storage, T> Machine<S, T> {
    pub(crate) fn tick_duties(&mut self, at: Moment) {
        if !self.raft.leads() || at.now < self.duties.next {
            return;
        }
        self.duties.next = at.now.after(EVERY);
        self.lapse_silent_routers(at);
    }

    fn lapse_silent_routers(&mut self, at: Moment) {
        let silent = |h: HolderId| self.signs.silence(at.now, h) >= LAPSE_AFTER;
        let all: Vec<_> = self.state.routers().iter().map(|r| r.holder).collect();
        let (gone, heard): (Vec<_>, Vec<_>) = all.into_iter().partition(|h| silent(*h));
        for h in heard {
            self.duties.lapsed.remove(&h);
        }
        for h in gone {
            if self.duties.lapsed.insert(h) {
                emit!(Event::RouterLapsed, holder = h);
                self.propose_own(at, &Command::Lapse(h));
            }
        }
    }
}
