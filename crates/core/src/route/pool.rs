//! Load balancing: the choice of a replica for each request of a service.

pub mod flow_control;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

use rand::Rng;
use rand::seq::{IndexedRandom, IteratorRandom};

use super::cold::{self, ColdParams, RequestCounter};
use super::cost::{Forecast, cost};
use super::lateness::LatencyObjective;
use super::prefix::{PrefixTable, PromptPrefixes};
use super::priority_gate::PriorityGate;
use super::replica::Replica;
use super::ring::Ring;
use crate::config::Upstream;
use crate::fleet::regions::Regions;
use crate::fleet::rollout::Rollout;
use crate::fleet::rollout::split::{self, Side, VersionPreference};
use crate::unit::{Millis, Time};

/// Candidates in a sample. Sampling prevents many routers with the same view from choosing the same
/// replica.
const SAMPLE_SIZE: usize = 6;

/// Further candidates in other regions, for requests that this router's own region cannot serve in
/// time.
const MAX_OTHER_REGION: usize = 2;

/// Random draws per sample; some hit the same replica twice or an unusable one.
const MAX_DRAWS: usize = SAMPLE_SIZE * 4;

/// Consecutive failures after which a replica is ejected.
const EJECTION_FAILURES: u32 = 2;

/// Duration of the first ejection; doubles with each further failure.
const EJECTION_BASE: Millis = Millis(500);

/// The longest ejection.
const EJECTION_MAX: Millis = Millis::seconds(30);

/// At most this percentage of a service's replicas is ejected at once.
const MAX_EJECTED_PERCENT: usize = 50;

/// The properties of a request that decide which replica it is sent to.
#[derive(Clone, Debug, Default)]
pub struct RequestProfile {
    /// The prefixes of its prompt.
    pub prefixes: PromptPrefixes,
    /// Its latency objective; if `None`, the time until the first event is minimised.
    pub objective: Option<LatencyObjective>,
    /// Which version it may be sent to during a rollout.
    pub version_preference: VersionPreference,
    /// The only version that may serve it, whatever the rollout; any if `None`.
    pub version: Option<String>,
    /// Regions that may serve it; any region if empty.
    pub regions: BTreeSet<String>,
    /// Its priority; 0 is the highest.
    pub priority: u8,
    /// Excludes replicas that advertise a rate limit.
    pub avoid_rate_limited: bool,
}

/// A replica that was chosen for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Its address.
    pub address: SocketAddr,
    /// Estimated size of the part of the prompt that the replica does not have cached.
    pub uncached: u64,
    /// Expected time until the first event, in microseconds.
    pub expected_us: u64,
    /// Identifies the request at its pool; set by [`Pool::commit`].
    ticket: u64,
}

/// The state of a replica, as reported by itself or by the control group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplicaInfo {
    /// Software version; empty if unknown.
    pub version: String,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// It is draining and gets no new work.
    pub leaving: bool,
    /// Time until it is warm.
    pub cold_for: Millis,
}

/// One router's view of the replicas of one service.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    replicas: BTreeMap<SocketAddr, Replica>,
    /// The addresses of `replicas`, for random draws.
    addresses: Vec<SocketAddr>,
    /// Index of each address in `addresses`.
    positions: HashMap<SocketAddr, usize>,
    /// The replicas that can be homes of prompts.
    ring: Ring,
    prefixes: PrefixTable,
    last_ticket: u64,
    /// Outstanding requests of this router at all replicas.
    outstanding: u64,
    /// Number of other routers that send to the same replicas.
    peers: u64,
    /// Evacuated data centres.
    evacuated: BTreeSet<String>,
    /// Replicas that were cold at the last check, which precedes each choice.
    cold: BTreeSet<SocketAddr>,
    /// Replicas that advertise a rate limit.
    rate_limited: BTreeSet<SocketAddr>,
    /// Replicas that requested a backoff, until the slow start after it ends.
    backing_off: BTreeSet<SocketAddr>,
    /// Admits requests by priority to replicas in slow start.
    priority_gate: PriorityGate,
    /// Recent requests that replicas accepted.
    accepted: RequestCounter,
    /// Capacity of a cold replica in requests a minute; `None` if unlimited.
    cold_per_minute: Option<u32>,
    /// Recent requests to this pool.
    demand: RequestCounter,
    /// The service's rollout.
    rollout: Option<Rollout>,
    /// This router's data centre, and the regions of all data centres.
    location: (String, Regions),
}

fn rollout_side(rollout: Option<&Rollout>, r: &Replica) -> Side {
    rollout.map_or(Side::Any, |rollout| split::side(rollout, &r.upstream.vm.name, &r.version))
}

impl Pool {
    /// Replaces the list of replicas, each with `slots` slots. Those that remain keep their state.
    pub fn set_upstreams(&mut self, now: Time, upstreams: &[Upstream], slots: u32) {
        let next: BTreeSet<_> = upstreams.iter().map(|u| u.address).collect();
        let gone: Vec<_> = self.addresses.iter().copied().filter(|a| !next.contains(a)).collect();
        for address in gone {
            self.remove(now, address);
        }
        for u in upstreams {
            let leaving = self.replicas.get(&u.address).is_some_and(|r| r.leaving);
            self.upsert(now, u, &ReplicaInfo { slots, leaving, ..ReplicaInfo::default() });
        }
    }

    /// Adds or updates a replica. A different replica at the same address replaces the old one and
    /// its state. The cost does not depend on the number of replicas.
    pub fn upsert(&mut self, now: Time, u: &Upstream, info: &ReplicaInfo) {
        if self.replicas.get(&u.address).is_some_and(|r| r.upstream != *u) {
            self.remove(now, u.address);
        }
        if !self.replicas.contains_key(&u.address) {
            self.positions.insert(u.address, self.addresses.len());
            self.addresses.push(u.address);
            self.replicas.insert(u.address, Replica::new(u));
        }
        let Some(r) = self.replicas.get_mut(&u.address) else { return };
        r.slots = info.slots.max(1);
        r.version.clone_from(&info.version);
        r.side = rollout_side(self.rollout.as_ref(), r);
        r.leaving = info.leaving;
        r.evacuated = self.evacuated.contains(&u.vm.data_centre);
        r.other_region = !self.location.1.same_region(&self.location.0, &u.vm.data_centre);
        r.cold_until = now.after(info.cold_for);
        if info.cold_for > Millis(0) {
            self.cold.insert(u.address);
        }
        self.update_ring(now, u.address);
    }

    /// Puts a replica on the ring if it accepts work, is warm, is in this router's region and has
    /// no rate limit; removes it otherwise.
    fn update_ring(&mut self, now: Time, address: SocketAddr) {
        let can_be_home = |r: &Replica| {
            r.accepts_work() && !r.other_region && !r.rate_limited && !self.is_cold(now, r)
        };
        let present = self.replicas.get(&address).is_some_and(can_be_home);
        self.ring.set(address, present);
    }

    /// Sets the capacity of a cold replica in requests a minute; `None` if unlimited.
    pub fn set_cold_rate_limit(&mut self, now: Time, per_minute: Option<u32>) {
        if self.cold_per_minute == per_minute {
            return;
        }
        self.cold_per_minute = per_minute;
        let cold: Vec<_> = self.cold.iter().copied().collect();
        cold.into_iter().for_each(|a| self.update_ring(now, a));
    }

    fn is_cold(&self, now: Time, r: &Replica) -> bool {
        self.cold_per_minute.is_some() && r.cold_until > now
    }

    /// Puts replicas that have become warm on the ring.
    fn add_warmed_up(&mut self, now: Time) {
        let is_warm = |a: &SocketAddr| self.replicas.get(a).is_none_or(|r| r.cold_until <= now);
        let warm: Vec<_> = self.cold.iter().copied().filter(is_warm).collect();
        for address in warm {
            self.cold.remove(&address);
            self.update_ring(now, address);
        }
    }

    /// Removes a replica and its state.
    pub fn remove(&mut self, now: Time, address: SocketAddr) {
        let Some(r) = self.replicas.remove(&address) else { return };
        self.outstanding -= u64::from(r.outstanding).min(self.outstanding);
        self.ring.set(address, false);
        self.cold.remove(&address);
        self.rate_limited.remove(&address);
        self.backing_off.remove(&address);
        self.prefixes.clear(now, address);
        let Some(position) = self.positions.remove(&address) else { return };
        self.addresses.swap_remove(position);
        if let Some(moved) = self.addresses.get(position) {
            self.positions.insert(*moved, position);
        }
    }

    /// Sets the number of other routers that send to the same replicas.
    pub fn set_peer_count(&mut self, n: u64) {
        self.peers = n;
    }

    /// Sets whether the `Vm` named `vm` is leaving. Its replicas get no new work while it is.
    pub fn set_leaving(&mut self, now: Time, vm: &str, leaving: bool) {
        let of_vm = self.replicas.values_mut().filter(|r| r.upstream.vm.name == vm);
        let changed: Vec<_> = of_vm
            .map(|r| {
                r.leaving = leaving;
                r.upstream.address
            })
            .collect();
        changed.into_iter().for_each(|a| self.update_ring(now, a));
    }

    /// Sets the evacuated data centres. Their replicas get no new work, but finish their running
    /// requests.
    pub fn set_evacuated_data_centres(&mut self, now: Time, data_centres: &BTreeSet<String>) {
        self.evacuated = data_centres.clone();
        for r in self.replicas.values_mut() {
            r.evacuated = data_centres.contains(&r.upstream.vm.data_centre);
        }
        for n in 0..self.addresses.len() {
            self.update_ring(now, self.addresses[n]);
        }
    }

    /// Sets this router's data centre and the regions of all data centres. To be called before any
    /// replica is added.
    pub fn set_location(&mut self, data_centre: &str, regions: &Regions) {
        self.location = (data_centre.to_owned(), regions.clone());
    }

    /// Sets the service's rollout.
    pub fn set_rollout(&mut self, r: &Rollout) {
        self.rollout = Some(r.clone());
        for replica in self.replicas.values_mut() {
            replica.side = rollout_side(self.rollout.as_ref(), replica);
        }
    }

    /// Returns whether any replica that accepts work can serve requests for the old version of a
    /// rollout.
    pub fn has_old_replicas(&self) -> bool {
        self.replicas.values().any(|r| matches!(r.side, Side::Old | Side::Any) && r.accepts_work())
    }

    /// Returns whether any replica of a software version accepts work.
    pub fn has_version(&self, version: &str) -> bool {
        self.replicas.values().any(|r| r.version == version && r.accepts_work())
    }

    /// Returns the number of replicas that get new work at `now`.
    pub fn usable_count(&self, now: Time) -> usize {
        self.replicas.values().filter(|r| !r.is_unavailable(now)).count()
    }

    /// Records that another router sent a prompt to a replica, which has `uncached` tokens of it to
    /// process.
    pub fn record_peer_placement(
        &mut self,
        now: Time,
        address: SocketAddr,
        uncached: u64,
        prefixes: &PromptPrefixes,
    ) {
        if let Some(r) = self.replicas.get_mut(&address) {
            r.backlog.add_prompt(now, uncached);
            self.prefixes.record_sent(now, address, prefixes);
        }
    }

    /// Chooses a replica outside `tried` and records the request as sent to it. Returns `None` if
    /// no replica is available.
    pub fn choose(
        &mut self,
        now: Time,
        data_centre: &str,
        profile: &RequestProfile,
        tried: &[SocketAddr],
        rng: &mut impl Rng,
    ) -> Option<Choice> {
        let mut best = self.pick(now, data_centre, profile, tried, rng)?;
        self.commit(now, profile, &mut best);
        Some(best)
    }

    /// Picks a replica outside `tried` without recording the request, which [`Pool::commit`] does.
    /// Returns `None` if no replica is available.
    pub fn pick(
        &mut self,
        now: Time,
        data_centre: &str,
        profile: &RequestProfile,
        tried: &[SocketAddr],
        rng: &mut impl Rng,
    ) -> Option<Choice> {
        self.demand.record(now);
        self.add_warmed_up(now);
        let home = self.home(&profile.prefixes);
        let sample = self.sample(now, profile, tried, home, rng);
        let scored = sample.into_iter().map(|a| self.score(now, data_centre, profile, a, home));
        self.cheapest(profile, scored.collect())
    }

    /// Records the request as sent to the chosen replica.
    pub fn commit(&mut self, now: Time, profile: &RequestProfile, c: &mut Choice) {
        self.last_ticket += 1;
        c.ticket = self.last_ticket;
        if let Some(r) = self.replicas.get_mut(&c.address) {
            r.backlog.add_request(now, c.ticket, c.uncached);
            r.set_outstanding(now, r.outstanding + 1);
            self.outstanding += 1;
            if r.backoff.limits_requests() {
                r.backoff.record_sent();
                self.priority_gate.record_admitted();
            }
        }
        self.prefixes.record_sent(now, c.address, &profile.prefixes);
    }

    /// Returns the candidate with the lowest cost. Candidates in this router's region come first
    /// unless their answer would be late.
    fn cheapest(&self, profile: &RequestProfile, scored: Vec<(Choice, u64)>) -> Option<Choice> {
        let is_near = |c: &Choice| self.replicas.get(&c.address).is_some_and(|r| !r.other_region);
        let near = scored.iter().filter(|(c, _)| is_near(c)).min_by_key(|(_, cost)| *cost);
        let in_time = |c: &Choice| {
            let limit_us = profile.objective.map(|o| o.first_event.as_micros() as u64);
            limit_us.is_none_or(|limit_us| c.expected_us <= limit_us)
        };
        if let Some((c, _)) = near.filter(|(c, _)| in_time(c)) {
            return Some(*c);
        }
        scored.into_iter().min_by_key(|(_, cost)| *cost).map(|(c, _)| c)
    }

    /// Returns the candidates for a request: a random sample of usable replicas, those with the
    /// longest cached prefix, and the home of its prompt.
    ///
    /// The cost is independent of the number of replicas if most of them are usable.
    fn sample(
        &self,
        now: Time,
        profile: &RequestProfile,
        tried: &[SocketAddr],
        home: Option<SocketAddr>,
        rng: &mut impl Rng,
    ) -> Vec<SocketAddr> {
        let is_blocked = |r: &Replica| {
            r.is_denied(now, profile.priority)
                || (profile.avoid_rate_limited && r.rate_limited)
                || !self.backoff_allows(now, r, profile)
        };
        let eligible = |r: &Replica| {
            self.may_serve(r, profile) && !tried.contains(&r.upstream.address) && !is_blocked(r)
        };
        let usable = |a: &SocketAddr| {
            self.replicas.get(a).is_some_and(|r| eligible(r) && r.ejected_until <= now)
        };
        let warm = |r: &Replica| !self.is_cold(now, r);
        let usable_warm = |a: &SocketAddr| usable(a) && self.replicas.get(a).is_some_and(warm);
        let (keep, out_of) = self.keep_probability();
        let mut sample = Vec::with_capacity(SAMPLE_SIZE * 2);
        let mut remaining = SAMPLE_SIZE.min(self.addresses.len());
        let mut other_region_left = MAX_OTHER_REGION;
        for _ in 0..MAX_DRAWS {
            let Some(a) = self.addresses.choose(rng).filter(|_| remaining > 0) else { break };
            if sample.contains(a) || !usable(a) {
                continue;
            }
            if self.replicas.get(a).is_some_and(|r| r.other_region) {
                if other_region_left > 0 {
                    other_region_left -= 1;
                    sample.push(*a);
                }
                continue;
            }
            // A discarded cold replica uses up its place in the sample; otherwise the draws that
            // replace it would raise the probability of cold replicas.
            remaining -= 1;
            if usable_warm(a) || rng.random_range(0..out_of) < keep {
                sample.push(*a);
            }
        }
        if sample.is_empty() {
            let all = self.addresses.iter().copied();
            sample = all.filter(usable_warm).choose_multiple(rng, SAMPLE_SIZE);
        }
        if sample.is_empty() {
            // If all are ejected, tries the one whose ejection ends first.
            let candidates = self.replicas.values().filter(|r| eligible(r) && warm(r));
            let first = candidates.min_by_key(|r| r.ejected_until);
            return first.into_iter().map(|r| r.upstream.address).collect();
        }
        let holders = self.prefixes.holders(&profile.prefixes).filter(usable_warm);
        let holders: Vec<_> = holders.filter(|a| !sample.contains(a)).collect();
        sample.extend(holders);
        if let Some(home) = home.filter(|a| usable(a) && !sample.contains(a)) {
            sample.push(home);
        }
        sample
    }

    /// Returns whether a replica may serve this request, regardless of load, backoff and rate
    /// limit.
    fn may_serve(&self, r: &Replica, profile: &RequestProfile) -> bool {
        let allows_version = match &profile.version {
            Some(version) => r.version == *version,
            None => profile.version_preference.allows(r.side),
        };
        r.accepts_work()
            && allows_version
            && self.location.1.allows(&profile.regions, &r.upstream.vm.data_centre)
    }

    /// Returns the probability that a cold replica stays in a sample, as numerator and denominator.
    fn keep_probability(&self) -> (u64, u64) {
        let params = ColdParams {
            per_minute: self.cold_per_minute.map_or(0, u64::from),
            replicas: (self.ring.len() + self.cold.len()) as u64,
            sample: SAMPLE_SIZE as u64,
            routers: self.peers + 1,
        };
        cold::keep_probability(&self.demand, &params)
    }

    /// Returns the home of a prompt: the replica that all routers prefer for its shared prefix.
    fn home(&self, prefixes: &PromptPrefixes) -> Option<SocketAddr> {
        self.ring.home(prefixes.shared_prefix()?.0)
    }

    /// Returns a candidate and the cost of sending the request to it.
    fn score(
        &self,
        now: Time,
        data_centre: &str,
        profile: &RequestProfile,
        address: SocketAddr,
        home: Option<SocketAddr>,
    ) -> (Choice, u64) {
        let sent = self.prefixes.cached_size(now, address, &profile.prefixes);
        let is_home = home == Some(address);
        let cached = if is_home { sent.max(self.cached_at_home(&profile.prefixes)) } else { sent };
        let uncached = profile.prefixes.size() - cached;
        let Some(r) = self.replicas.get(&address) else {
            return (Choice { address, uncached, expected_us: u64::MAX, ticket: 0 }, u64::MAX);
        };
        let first_event_us = r.expected_first_event_us(now, data_centre, uncached);
        let choice = Choice { address, uncached, expected_us: first_event_us, ticket: 0 };
        let Some(objective) = &profile.objective else { return (choice, first_event_us) };
        let shared = profile.prefixes.shared_prefix().map_or(0, |(_, size)| size);
        let forecast = Forecast {
            first_event_us,
            busy_period_us: r.backlog.busy_period_us(now, r.backlog.prefill_us(uncached)),
            running: u64::from(r.outstanding) + self.running_for_peers(),
            recomputed_tokens: shared.saturating_sub(cached),
        };
        (choice, cost(&forecast, objective))
    }

    /// Returns the estimated number of other routers' requests on a replica, assuming that each
    /// router has as many as this one and spreads them evenly.
    fn running_for_peers(&self) -> u64 {
        let replicas = self.replicas.len().max(1) as u64;
        (self.outstanding * self.peers).div_ceil(replicas)
    }

    /// Returns how much of a prompt its home is assumed to have cached because of other routers,
    /// which send the shared prefix there first. It is 0 if this router knows of a replica that
    /// has the prefix.
    fn cached_at_home(&self, prefixes: &PromptPrefixes) -> u64 {
        let unknown = prefixes.shared_prefix().filter(|(hash, _)| !self.prefixes.is_known(*hash));
        unknown.map_or(0, |(_, size)| size)
    }

    /// Records a replica's load report made at `at`. A report older than the last one is ignored.
    pub fn record_load_report(
        &mut self,
        address: SocketAddr,
        at: Time,
        running: u32,
        waiting: u32,
    ) {
        if let Some(r) = self.replicas.get_mut(&address) {
            r.record_load_report(at, running, waiting);
        }
    }

    /// Returns the estimate of the replicas' caches, for applying the cache events that replicas
    /// publish.
    pub fn prefixes(&mut self) -> &mut PrefixTable {
        &mut self.prefixes
    }

    /// Records the first event of a request, `first_us` after it was sent. Its prompt is processed
    /// by then.
    pub fn record_first_event(&mut self, now: Time, c: &Choice, first_us: u64) {
        if let Some(r) = self.replicas.get_mut(&c.address) {
            r.record_first_event(now, c.ticket, first_us);
        }
    }

    /// Records the end of a request. Returns whether that ejects its replica.
    pub fn finish(&mut self, now: Time, c: &Choice, failed: bool) -> bool {
        let Some(r) = self.replicas.get_mut(&c.address) else { return false };
        r.backlog.remove(c.ticket);
        r.backoff.record_ended(c.ticket);
        self.outstanding -= u64::from(r.outstanding.min(1));
        r.set_outstanding(now, r.outstanding.saturating_sub(1));
        r.failures = if failed { r.failures + 1 } else { 0 };
        if r.failures < EJECTION_FAILURES {
            return false;
        }
        let unusable = self.replicas.len() - self.usable_count(now);
        if (unusable + 1) * 100 > self.replicas.len() * MAX_EJECTED_PERCENT {
            return false;
        }
        let Some(r) = self.replicas.get_mut(&c.address) else { return false };
        let doublings = (r.failures - EJECTION_FAILURES).min(8);
        let span = Millis((EJECTION_BASE.0 << doublings).min(EJECTION_MAX.0));
        r.ejected_until = now.after(span);
        // It may have restarted with an empty cache.
        self.prefixes.clear(now, c.address);
        true
    }

    /// Returns the replica at an address.
    pub fn get(&self, address: SocketAddr) -> Option<&Replica> {
        self.replicas.get(&address)
    }

    /// Returns all replicas.
    pub fn iter(&self) -> impl Iterator<Item = &Replica> {
        self.replicas.values()
    }
}
