//! Processes that look for their group: what they tell each other of it, and how it mends itself.

use cypressfork_core::fleet::watch::Announce;
use cypressfork_core::raft::Members;
use cypressfork_core::unit::{Millis, NodeId};

use super::world::{World, address};

/// How often a process looks for its group and follows the others.
const LOOK: Millis = Millis(250);

/// Voters that a group should have.
const WANT: usize = 5;

impl World {
    /// A group of `n` that three seeds found, each process knowing the seeds alone.
    pub fn found(n: u64, seed: u64) -> World {
        World::found_without(n, &[], seed)
    }

    /// The same, where the seeds `away` hear nothing but that the group is founded.
    pub fn found_without(n: u64, away: &[NodeId], seed: u64) -> World {
        let mut w = World::without(3, away, seed);
        w.seeds = (1..=3).map(address).collect();
        for _ in 3..n {
            w.add_fresh();
        }
        w.until(20_000, |w| w.all_count());
        w
    }

    /// Whether every process that runs counts, in the eyes of a leader.
    pub fn all_count(&self) -> bool {
        let Some(leader) = self.leader() else { return false };
        let voters = &self.machine(leader).members().voters;
        self.live().iter().all(|n| voters.contains(n))
    }

    /// Where a process has been told that the leader is.
    pub fn told_leader(&self, id: NodeId) -> Option<String> {
        self.nodes[&id].contacts.leader(self.now).map(|l| l.address.clone())
    }

    /// Power and disk are lost; another identity starts at the address. Returns it.
    pub fn wipe(&mut self, id: NodeId) -> NodeId {
        self.crash(id);
        let old = self.nodes.remove(&id).unwrap();
        self.add_fresh_at(old.address)
    }

    fn at(&self, address: &str) -> Option<NodeId> {
        let here = |n: &NodeId| self.nodes[n].address == address && !self.nodes[n].frozen;
        self.live().into_iter().find(here)
    }

    fn reaches(&self, from: NodeId, to: NodeId) -> bool {
        from != to && !self.cut.contains(&(from, to)) && !self.cut.contains(&(to, from))
    }

    /// The addresses that a process tries.
    fn known_to(&self, id: NodeId) -> Vec<String> {
        let node = &self.nodes[&id];
        let members = self.machine(id).members().addresses.values().cloned();
        let heard = node.contacts.addresses().map(str::to_owned);
        let mut all: Vec<_> = self.seeds.iter().cloned().chain(members).chain(heard).collect();
        all.sort();
        all.dedup();
        all.retain(|a| *a != node.address);
        all
    }

    pub(super) fn keep_places(&mut self) {
        if self.seeds.is_empty() {
            return;
        }
        let due = self.now.0 % LOOK.0 < 10;
        for id in self.live() {
            let (at, frozen) = (self.moment(), self.nodes[&id].frozen);
            let node = self.nodes.get_mut(&id).unwrap();
            if frozen {
                continue;
            }
            node.contacts.tick(at.now);
            node.candidates.tick(at.now);
            let candidates = node.candidates.clone();
            node.machine.as_mut().unwrap().repair_group(at, &candidates, WANT);
            if due {
                self.follow(id);
                self.announce(id);
            }
        }
    }

    /// A process asks each other one that it knows, which hears of the asker by it.
    fn follow(&mut self, id: NodeId) {
        let now = self.now;
        for address in self.known_to(id) {
            let Some(to) = self.at(&address).filter(|to| self.reaches(id, *to)) else { continue };
            let told = self.machine(to).members().addresses.clone();
            let lead = self.machine(to).known_leader();
            let own = self.nodes[&id].address.clone();
            self.nodes.get_mut(&to).unwrap().contacts.record(now, &own);
            let contacts = &mut self.nodes.get_mut(&id).unwrap().contacts;
            told.values().for_each(|a| contacts.record(now, a));
            if let Some(lead) = lead {
                contacts.record_leader(now, &lead);
            }
        }
    }

    /// One that does not count says so to whoever may lead: one process a look, and the one that it
    /// names.
    fn announce(&mut self, id: NodeId) {
        let place = self.machine(id).group_status();
        if !place.seeks_group(self.now.since(self.nodes[&id].started)) {
            return;
        }
        let all = self.known_to(id);
        let node = self.nodes.get_mut(&id).unwrap();
        node.announced += 1;
        let lead = node.contacts.leader(self.now).map(|l| l.address.clone());
        let first = lead.unwrap_or_else(|| all[node.announced % all.len()].clone());
        let Some(first) = self.at(&first).filter(|to| self.reaches(id, *to)) else { return };
        let named = self.machine(first).leader_address().and_then(|a| self.at(&a));
        for to in [Some(first), named].into_iter().flatten() {
            if self.machine(to).raft().is_leader() && self.reaches(id, to) {
                self.take_announce(id, to);
            }
        }
    }

    fn take_announce(&mut self, id: NodeId, leader: NodeId) {
        let at = self.moment();
        let members: Members = self.machine(leader).raft().committed_members().clone();
        let a = Announce { node: id, address: self.nodes[&id].address.clone() };
        self.nodes.get_mut(&leader).unwrap().candidates.record(at.now, a);
        let machine = self.nodes.get_mut(&id).unwrap().machine.as_mut().unwrap();
        machine.set_rejoin_members(at, members);
    }
}
