//! The barrier that a restarted replica passes before it takes part.
//!
//! Others remember the incarnation, term and synced position that they last saw of each replica.
//! A folder that holds less is an old copy: its replica might vote twice in a term, or forget
//! entries that it acknowledged, so it stops for good.

use std::collections::BTreeSet;

use super::{Action, Body, Mark, Members, Message, Raft, Role};
use crate::unit::{Index, Millis, NodeId, Time};

/// How often a waiting replica asks again.
const ASK_AGAIN: Millis = Millis(100);

/// How long a quorum's welcome waits for the word of the rest.
const GRACE: Millis = Millis(600);

/// The welcomes so far.
#[derive(Clone, Debug, Default)]
pub(super) struct Rejoin {
    /// Newer members than the log names, if the group's leader has told of them.
    members: Option<Members>,
    welcomes: BTreeSet<NodeId>,
    since: Time,
    next_ask: Time,
}

impl Raft {
    fn own_mark(&self) -> Mark {
        let (incarnation, boot) = (self.incarnation, self.boot);
        Mark { incarnation, boot, term: self.hard.term, last: self.synced }
    }

    /// Starts the barrier; a replica alone in its group, or in none yet, has nobody to ask.
    pub(super) fn begin_rejoin(&mut self, now: Time) {
        if self.others().is_empty() || self.members().voters.is_empty() {
            return;
        }
        self.role = Role::Rejoining(Rejoin { since: now, ..Rejoin::default() });
        self.tick_rejoin(now);
    }

    pub(super) fn tick_rejoin(&mut self, now: Time) {
        self.end_rejoin(now);
        let Role::Rejoining(r) = &mut self.role else { return };
        if now < r.next_ask {
            return;
        }
        r.next_ask = now.after(ASK_AGAIN);
        let welcomes = r.welcomes.clone();
        let mark = self.own_mark();
        let silent = |n: &NodeId| *n != self.id && !welcomes.contains(n);
        let asked: Vec<_> = self.welcomers().all().filter(silent).collect();
        for n in asked {
            self.send(n, Body::Rejoin(mark));
        }
    }

    /// The members whose welcome this replica waits for.
    fn welcomers(&self) -> &Members {
        let told = match &self.role {
            Role::Rejoining(r) => r.members.as_ref(),
            _ => None,
        };
        told.unwrap_or(self.members())
    }

    /// Takes the members that the group's leader names, confirmed by a quorum: a replica that was
    /// away may know only members that have been replaced since, which never answer. Whoever counts
    /// now has all that was committed while this replica counted, so a quorum of them can tell an
    /// old copy as well as those before.
    pub fn take_members(&mut self, now: Time, members: Members) {
        let Role::Rejoining(r) = &mut self.role else { return };
        if members.voters.is_empty() {
            return;
        }
        r.members = Some(members);
        r.next_ask = now;
        self.tick_rejoin(now);
    }

    /// Where a replica listens, as far as this one knows.
    pub fn address(&self, n: NodeId) -> Option<&str> {
        let known = self.members().addresses.get(&n);
        known.or_else(|| self.welcomers().addresses.get(&n)).map(String::as_str)
    }

    pub(super) fn on_rejoin(&mut self, from: NodeId, mark: Mark) {
        let known = self.marks.get(&from).copied().unwrap_or_default();
        let again = mark.boot == known.boot;
        let newer = mark.incarnation > known.incarnation;
        let whole = (mark.term, mark.last) >= (known.term, known.last);
        let welcome = again || (newer && whole);
        if welcome && !again {
            self.marks.insert(from, mark);
            self.actions.push(Action::Remember(from, mark));
        }
        self.send(from, Body::RejoinReply { boot: mark.boot, welcome });
    }

    pub(super) fn on_rejoin_reply(&mut self, now: Time, from: NodeId, boot: u64, welcome: bool) {
        if boot != self.boot {
            return;
        }
        if !welcome {
            self.role = Role::Outdated;
            self.actions.push(Action::Outdated(from));
            return;
        }
        if let Role::Rejoining(r) = &mut self.role {
            r.welcomes.insert(from);
            self.end_rejoin(now);
        }
    }

    /// Ends the barrier once all others have welcomed this replica, or a quorum has and the rest
    /// keep silent.
    fn end_rejoin(&mut self, now: Time) {
        let Role::Rejoining(r) = &self.role else { return };
        let welcomed = |n: NodeId| n == self.id || r.welcomes.contains(&n);
        let all = self.welcomers().all().all(welcomed);
        let quorum = self.welcomers().agree(welcomed);
        if all || (quorum && now.since(r.since) >= GRACE) {
            self.role = Role::Follower;
            self.heard = now;
            self.draw_first_timeout();
        }
    }

    pub(super) fn is_voter(&self) -> bool {
        self.members().voters.contains(&self.id)
    }

    /// Remembers the newest term and synced position seen of another replica. It is stored with
    /// the next welcome; until then it lives as long as this process.
    pub(super) fn note_mark(&mut self, m: &Message) {
        let last = match &m.body {
            Body::Appended { matched, .. } => *matched,
            // A leader sends only what it has synced.
            Body::Append(a) => a.prev.index + a.entries.len() as Index,
            Body::Vote(_) | Body::VoteReply(true) => 0,
            _ => return,
        };
        let k = self.marks.entry(m.from).or_default();
        if m.term > k.term {
            k.term = m.term;
            k.last = last;
        } else if m.term == k.term {
            k.last = k.last.max(last);
        }
    }
}
