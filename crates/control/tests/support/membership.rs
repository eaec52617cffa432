//! Rejoining and repair: processes watch each other, announce themselves to the leader, and the leader
//! repairs the group.

use cypressfork_core::fleet::watch::Announce;
use cypressfork_core::raft::Members;
use cypressfork_core::unit::{Millis, NodeId};

use super::simulation::{Simulation, address};

/// Interval at which a process watches the others and announces itself.
const POLL_INTERVAL: Millis = Millis(250);

/// Target number of voters.
const TARGET_VOTERS: usize = 5;

impl Simulation {
    /// Returns a group of `n` founded by three seeds; each process is configured with the seeds only.
    pub fn with_seeds(n: u64, seed: u64) -> Simulation {
        Simulation::with_crashed_seeds(n, &[], seed)
    }

    /// Returns the same, where the seeds `crashed` crash right after the founding request.
    pub fn with_crashed_seeds(n: u64, crashed: &[NodeId], seed: u64) -> Simulation {
        let mut sim = Simulation::with_crashed(3, crashed, seed);
        sim.seeds = (1..=3).map(address).collect();
        for _ in 3..n {
            sim.add_fresh();
        }
        sim.until(20_000, |sim| sim.all_are_voters());
        sim
    }

    /// Returns whether there is a leader and every running process is a voter in its member list.
    pub fn all_are_voters(&self) -> bool {
        let Some(leader) = self.leader() else { return false };
        let voters = &self.member(leader).members().voters;
        self.running().iter().all(|n| voters.contains(n))
    }

    /// Returns the leader's address that a process learned from others.
    pub fn contacts_leader(&self, id: NodeId) -> Option<String> {
        self.nodes[&id].contacts.leader(self.now).map(|l| l.address.clone())
    }

    /// Crashes a process, loses its disk, and starts a new one at its address. Returns the new id.
    pub fn wipe(&mut self, id: NodeId) -> NodeId {
        self.crash(id);
        let old = self.nodes.remove(&id).unwrap();
        self.add_fresh_at(old.address)
    }

    fn node_at(&self, address: &str) -> Option<NodeId> {
        let is_at = |n: &NodeId| self.nodes[n].address == address && !self.nodes[n].frozen;
        self.running().into_iter().find(is_at)
    }

    fn can_reach(&self, from: NodeId, to: NodeId) -> bool {
        from != to && !self.cut.contains(&(from, to)) && !self.cut.contains(&(to, from))
    }

    /// Returns the addresses of other processes that a process knows.
    fn known_addresses(&self, id: NodeId) -> Vec<String> {
        let node = &self.nodes[&id];
        let members = self.member(id).members().addresses.values().cloned();
        let heard = node.contacts.addresses().map(str::to_owned);
        let mut all: Vec<_> = self.seeds.iter().cloned().chain(members).chain(heard).collect();
        all.sort();
        all.dedup();
        all.retain(|a| *a != node.address);
        all
    }

    /// Lets all processes watch each other, announce themselves and repair the group.
    pub(super) fn maintain_membership(&mut self) {
        if self.seeds.is_empty() {
            return;
        }
        let due = self.now.0 % POLL_INTERVAL.0 < 10;
        for id in self.running() {
            let (at, frozen) = (self.read_clocks(), self.nodes[&id].frozen);
            let node = self.nodes.get_mut(&id).unwrap();
            if frozen {
                continue;
            }
            node.contacts.tick(at.now);
            node.candidates.tick(at.now);
            let candidates = node.candidates.clone();
            node.member.as_mut().unwrap().repair_group(at, &candidates, TARGET_VOTERS);
            if due {
                self.watch_peers(id);
                self.announce(id);
            }
        }
    }

    /// Sends a watch from one process to all that it knows: each side learns addresses from the other.
    fn watch_peers(&mut self, id: NodeId) {
        let now = self.now;
        for address in self.known_addresses(id) {
            let Some(to) = self.node_at(&address).filter(|to| self.can_reach(id, *to)) else {
                continue;
            };
            let addresses = self.member(to).members().addresses.clone();
            let lead = self.member(to).known_leader();
            let own = self.nodes[&id].address.clone();
            self.nodes.get_mut(&to).unwrap().contacts.record(now, &own);
            let contacts = &mut self.nodes.get_mut(&id).unwrap().contacts;
            addresses.values().for_each(|a| contacts.record(now, a));
            if let Some(lead) = lead {
                contacts.record_leader(now, &lead);
            }
        }
    }

    /// Announces a process that seeks its group to the leader: tries the known leader or one other process,
    /// and the leader that this one reports.
    fn announce(&mut self, id: NodeId) {
        let status = self.member(id).group_status();
        if !status.must_announce(self.now.since(self.nodes[&id].started)) {
            return;
        }
        let all = self.known_addresses(id);
        let node = self.nodes.get_mut(&id).unwrap();
        node.announcements += 1;
        let leader = node.contacts.leader(self.now).map(|l| l.address.clone());
        let first = leader.unwrap_or_else(|| all[node.announcements % all.len()].clone());
        let Some(first) = self.node_at(&first).filter(|to| self.can_reach(id, *to)) else { return };
        let reported = self.member(first).leader_address().and_then(|a| self.node_at(&a));
        for to in [Some(first), reported].into_iter().flatten() {
            if self.member(to).raft().is_leader() && self.can_reach(id, to) {
                self.deliver_announcement(id, to);
            }
        }
    }

    fn deliver_announcement(&mut self, id: NodeId, leader: NodeId) {
        let at = self.read_clocks();
        let members: Members = self.member(leader).raft().committed_members().clone();
        let a = Announce { node: id, address: self.nodes[&id].address.clone() };
        self.nodes.get_mut(&leader).unwrap().candidates.record(at.now, a);
        let member = self.nodes.get_mut(&id).unwrap().member.as_mut().unwrap();
        member.set_rejoin_members(at, members);
    }
}
