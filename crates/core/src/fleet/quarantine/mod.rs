//! Quarantine of requests, and of parts of prompts, that terminate every replica that runs them.
//!
//! When a replica terminates, each request in flight gets a strike, and so does each part of its prompt that
//! other requests may share, whether it is the cause or not. A suspect is quarantined at [`STRIKES`] strikes,
//! unless another one explains those terminations better. Four rules separate causes from coincidence:
//!
//! - A strike counts only if the request was sent after its previous strike. Replicas that terminate
//!   together, as when a rack loses power, give one strike to a request that ran on several of them.
//! - The request with the most strikes explains its terminations. Others get no strikes for them, and
//!   are released if they were quarantined because of them.
//! - A request is ambiguous if another has the same strikes, or if it shares each strike with a request
//!   that also has strikes without it. It is quarantined once a further termination resolves this, or
//!   at [`STRIKES_IF_AMBIGUOUS`] strikes.
//! - A request that any gateway answers completely is no cause, and gets no strikes for a while.
//!
//! Parts need more, because some are in most requests and therefore in flight at most terminations:
//!
//! - Only a request whose response began less than [`SURVIVAL_TIME`] before the termination gives its parts
//!   strikes.
//! - A part is cleared by one request that was sent after its second strike and survives: its response
//!   continues for [`SURVIVAL_TIME`] or ends completely.
//! - Something at the service has to survive without the part. A total failure quarantines no part.
//! - A part that was harmless before is considered after all others.
//! - Of a request and a part with the same strikes, the request is quarantined if it is the only one with the
//!   part. Otherwise it waits until the part is quarantined or cleared.
//!
//! The state is replicated, so it survives the loss of all gateways and a power failure of all data
//! centres. A gateway that reaches no control process uses a local state of the terminations that it
//! detected itself.

mod attribution;
mod message;
mod suspect;

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use attribution::{Evidence, find_causes};
pub use message::{
    InFlightPart, InFlightRequest, QuarantineChange, QuarantineList, TerminationReport,
};
pub use suspect::{STRIKES, STRIKES_IF_AMBIGUOUS, SURVIVAL_TIME, Subject};
use suspect::{Suspect, Termination};

use super::fingerprint::{Fingerprint, PartScope};
use crate::unit::{Index, Millis, Time};

/// Reports on one replica within this time of each other concern the same termination. Gateways detect
/// it at nearly the same time, and their reports take some tens of milliseconds.
const SAME_TERMINATION_WINDOW: Millis = Millis(300);

/// How long after its first report a termination is remembered: a gateway that was disconnected reports
/// late.
const REPORT_WINDOW: Millis = Millis::seconds(60);

/// How long after its last termination a suspect is remembered.
const SUSPECT_RETENTION: Millis = Millis::seconds(600);

/// How long a request that was answered completely gets no strikes.
const COMPLETION_EXEMPTION: Millis = Millis::seconds(600);

/// How long a part gets no strikes after one of its requests survived. Short, because a part may begin to
/// crash replicas, as with another version of the model. Limits the messages on parts of many requests.
const PART_EXEMPTION: Millis = Millis::seconds(5);

/// Maximum number of services whose last survival is remembered.
const MAX_SURVIVALS: usize = 256;

/// Length of a request's first quarantine, doubled for each further one. After each the request may
/// terminate one replica more, so a wrong quarantine lasts an hour and a correct one costs at most one
/// replica per hour.
const FIRST_DURATION: Millis = Millis::seconds(3_600);

/// Maximum number of doublings of [`FIRST_DURATION`]: 64 hours.
const MAX_DOUBLINGS: u32 = 6;

/// How long an expired quarantine is remembered.
const PAST_RETENTION: Millis = Millis::seconds(7 * 24 * 3_600);

/// Maximum number of expired quarantines remembered.
const MAX_PAST: usize = 1_024;

/// Maximum number of requests exempt because they were answered completely.
const MAX_EXEMPT: usize = 1_024;

/// Maximum number of suspects: the requests on 32 replicas with 64 slots each, with a part of their own.
const MAX_SUSPECTS: usize = 4_096;

/// Maximum number of a request's parts that get strikes.
pub const MAX_PARTS: usize = 32;

/// Maximum number of quarantined requests.
const MAX_QUARANTINED: usize = 256;

/// Maximum number of quarantined requests per client account, so that none fills the list alone.
const MAX_QUARANTINED_PER_ACCOUNT: usize = 32;

/// Maximum number of suspects sent to gateways, at some 20 bytes each.
const MAX_LISTED_SUSPECTS: usize = 128;

/// The last termination of a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct LastTermination {
    number: u64,
    service: String,
    at: Time,
    /// When the first report arrived.
    heard: Time,
}

/// A request whose quarantine has expired.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct PastQuarantine {
    terms: u32,
    over: Time,
}

/// A quarantined request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantined {
    /// The client account; empty if there is none.
    pub account: String,
    /// Whether this is a request or a part of prompts.
    pub subject: Subject,
    /// Start of the quarantine.
    pub since: Time,
    /// When the quarantine expires.
    pub until: Time,
    /// Number of quarantines of this request, including this one.
    pub terms: u32,
    /// Terminations of replicas that are attributed to the request.
    pub strikes: usize,
}

/// The replicated state of quarantined requests and suspects.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantine {
    /// Log position of the last change of the list for gateways; 0 if there was none.
    revision: Index,
    /// Log position of the last change of `quarantined`.
    urgent: Index,
    next_number: u64,
    /// The last termination of each replica that terminated recently.
    replicas: BTreeMap<String, LastTermination>,
    suspects: BTreeMap<Fingerprint, Suspect>,
    /// Suspects by the time of their first termination.
    order: VecDeque<Fingerprint>,
    quarantined: BTreeMap<Fingerprint, Quarantined>,
    /// Requests whose quarantine has expired.
    former: BTreeMap<Fingerprint, PastQuarantine>,
    /// Suspects that were released as answered completely, and until when they get no strikes.
    sound: BTreeMap<Fingerprint, Time>,
    /// When a replica of each service last survived a request, as far as that is reported.
    survivals: BTreeMap<String, Time>,
}

impl Quarantine {
    /// Returns the log position of the last change of the list for gateways; 0 if there was none.
    pub fn revision(&self) -> Index {
        self.revision
    }

    /// Returns the log position of the last change of the quarantined requests; 0 if there was none.
    pub fn quarantined_revision(&self) -> Index {
        self.urgent
    }

    /// Returns whether a request is quarantined.
    pub fn contains(&self, f: &Fingerprint) -> bool {
        self.quarantined.contains_key(f)
    }

    /// Iterates over the quarantined requests.
    pub fn iter(&self) -> impl Iterator<Item = (&Fingerprint, &Quarantined)> {
        self.quarantined.iter()
    }

    /// Records reports on terminated replicas at log position `pos`. Returns the requests that are
    /// quarantined or released as a result.
    pub fn record_terminations(
        &mut self,
        now: Time,
        pos: Index,
        reports: &[TerminationReport],
    ) -> Vec<(Fingerprint, QuarantineChange)> {
        self.expire(now);
        let mut may_change = false;
        for r in reports {
            let at = Time(now.0.saturating_sub(r.ago.0));
            let number = self.termination_number(now, r, at);
            if let Some(ago) = r.completed_ago {
                self.record_survival(now.before(ago), &r.service);
            }
            for u in &r.under_way {
                may_change |= self.record_in_flight(number, at, u, pos);
                may_change |= self.record_parts(number, at, r, u, pos);
            }
        }
        if may_change { self.attribute(now, pos) } else { Vec::new() }
    }

    /// Returns the number of a replica's termination: that of an earlier report, or a new one.
    fn termination_number(&mut self, now: Time, r: &TerminationReport, at: Time) -> u64 {
        let known = self.replicas.get(&r.replica);
        if let Some(known) = known.filter(|k| at.0.abs_diff(k.at.0) <= SAME_TERMINATION_WINDOW.0) {
            return known.number;
        }
        self.next_number += 1;
        let (number, service) = (self.next_number, r.service.clone());
        let last = LastTermination { number, service, at, heard: now };
        self.replicas.insert(r.replica.clone(), last);
        self.next_number
    }

    /// Records the termination of a replica that had a request in flight. Returns whether the request may
    /// reach its threshold of strikes.
    fn record_in_flight(&mut self, number: u64, at: Time, u: &InFlightRequest, pos: Index) -> bool {
        if u.completed || self.sound.contains_key(&u.fingerprint) {
            return false;
        }
        let sent = Time(at.0.saturating_sub(u.age.0));
        let s = self.suspects.entry(u.fingerprint).or_default();
        if s.ends.is_empty() {
            s.account.clone_from(&u.account);
            s.terms = self.former.get(&u.fingerprint).map_or(0, |f| f.terms);
            self.order.push_back(u.fingerprint);
        }
        s.record(Termination { number, at, sent });
        self.revision = pos;
        s.may_reach_threshold()
    }

    /// Records the parts of a request that a terminated replica had in flight. Returns whether one may reach
    /// its threshold of strikes.
    fn record_parts(
        &mut self,
        number: u64,
        at: Time,
        r: &TerminationReport,
        u: &InFlightRequest,
        pos: Index,
    ) -> bool {
        if u.answering.is_some_and(|span| span >= SURVIVAL_TIME) {
            return false;
        }
        let scope = PartScope { account: Some(&u.account), service: &r.service };
        let sent = Time(at.0.saturating_sub(u.age.0));
        let mut may_change = false;
        for part in u.parts.iter().take(MAX_PARTS) {
            let f = scope.fingerprint(part.id);
            if self.sound.contains_key(&f) {
                continue;
            }
            if !self.suspects.contains_key(&f) {
                self.add_part(f, &u.account, &r.service, part.id);
            }
            let Some(s) = self.suspects.get_mut(&f) else { continue };
            s.was_harmless |= part.completed;
            s.service_completes |= r.completed_ago.is_some();
            s.has_several_requests |= s.request.is_some_and(|known| known != u.fingerprint);
            s.request.get_or_insert(u.fingerprint);
            s.record(Termination { number, at, sent });
            self.revision = pos;
            may_change |= s.may_reach_threshold();
        }
        may_change
    }

    /// Adds a part to the suspects.
    fn add_part(&mut self, f: Fingerprint, account: &str, service: &str, id: u64) {
        let subject = Subject::Part { service: service.to_owned(), id };
        let has_precedent = self.quarantined.values().any(|q| q.subject == subject);
        let terms = self.former.get(&f).map_or(0, |f| f.terms);
        let account = account.to_owned();
        let s = Suspect { account, subject, terms, has_precedent, ..Suspect::default() };
        self.suspects.insert(f, s);
        self.order.push_back(f);
    }

    /// Quarantines the requests and parts that explain the terminations of replicas, and releases those that
    /// no longer do.
    fn attribute(&mut self, now: Time, pos: Index) -> Vec<(Fingerprint, QuarantineChange)> {
        let evidence = Evidence {
            survivals: &self.survivals,
            replicas: &self.replicas,
            quarantined: &self.quarantined,
        };
        let causes = find_causes(&self.suspects, &evidence);
        self.quarantine(now, pos, &causes)
    }

    fn quarantine(
        &mut self,
        now: Time,
        pos: Index,
        causes: &[(Fingerprint, usize)],
    ) -> Vec<(Fingerprint, QuarantineChange)> {
        let mut changes = Vec::new();
        // A request whose terminations were dropped stays quarantined until the quarantine expires.
        let explained = |f: &Fingerprint| {
            self.suspects.contains_key(f) && !causes.iter().any(|(other, _)| other == f)
        };
        let released: Vec<_> = self.quarantined.keys().copied().filter(explained).collect();
        for f in released {
            self.quarantined.remove(&f);
            changes.push((f, QuarantineChange::Explained));
        }
        for (f, strikes) in causes {
            let Some(s) = self.suspects.get_mut(f) else { continue };
            if let Some(q) = self.quarantined.get_mut(f) {
                q.strikes = *strikes;
                continue;
            }
            let duration = Millis(FIRST_DURATION.0 << s.terms.min(MAX_DOUBLINGS));
            let q = Quarantined {
                account: s.account.clone(),
                subject: s.subject.clone(),
                since: now,
                until: now.after(duration),
                terms: s.terms + 1,
                strikes: *strikes,
            };
            self.mark_precedent(&q.subject);
            self.quarantined.insert(*f, q);
            changes.push((*f, QuarantineChange::Quarantined));
        }
        changes.extend(self.evict_surplus());
        if !changes.is_empty() {
            (self.revision, self.urgent) = (pos, pos);
        }
        changes
    }

    /// Marks the suspects of other accounts that are the same part.
    fn mark_precedent(&mut self, subject: &Subject) {
        if subject.is_part() {
            let same = self.suspects.values_mut().filter(|s| s.subject == *subject);
            same.for_each(|s| s.has_precedent = true);
        }
    }

    /// Releases the oldest quarantined requests beyond the limits per account and in total.
    fn evict_surplus(&mut self) -> Vec<(Fingerprint, QuarantineChange)> {
        let mut by_account: BTreeMap<&str, usize> = BTreeMap::new();
        let mut by_age: Vec<_> = self.quarantined.iter().collect();
        by_age.sort_by_key(|(f, q)| (std::cmp::Reverse(q.since), **f));
        let mut surplus = Vec::new();
        for (kept, (f, q)) in by_age.into_iter().enumerate() {
            let of_account = by_account.entry(&q.account).or_default();
            *of_account += 1;
            if *of_account > MAX_QUARANTINED_PER_ACCOUNT || kept >= MAX_QUARANTINED {
                surplus.push(*f);
            }
        }
        let evict = |f: Fingerprint| {
            self.quarantined.remove(&f);
            self.suspects.remove(&f);
            (f, QuarantineChange::Evicted)
        };
        surplus.into_iter().map(evict).collect()
    }

    /// Records at log position `pos` that requests were answered completely. Returns those that are
    /// released from quarantine.
    pub fn record_completions(
        &mut self,
        now: Time,
        pos: Index,
        all: &[Fingerprint],
    ) -> Vec<(Fingerprint, QuarantineChange)> {
        self.release(now, pos, all, QuarantineChange::Completed)
    }

    /// Releases a request on an operator's command and removes its history. Returns the change, if it
    /// was quarantined.
    pub fn lift(
        &mut self,
        now: Time,
        pos: Index,
        f: Fingerprint,
    ) -> Vec<(Fingerprint, QuarantineChange)> {
        let changes = self.release(now, pos, &[f], QuarantineChange::Lifted);
        // Later strikes count as for a new request.
        self.sound.remove(&f);
        self.former.remove(&f);
        changes
    }

    fn release(
        &mut self,
        now: Time,
        pos: Index,
        all: &[Fingerprint],
        reason: QuarantineChange,
    ) -> Vec<(Fingerprint, QuarantineChange)> {
        self.expire(now);
        let mut changes = Vec::new();
        let mut parts_survived = false;
        for f in all {
            if let Some(s) = self.suspects.remove(f) {
                let survived = reason == QuarantineChange::Completed;
                parts_survived |= self.exempt(now, *f, s.subject) && survived;
                self.revision = pos;
            }
            if self.quarantined.remove(f).is_some() {
                (self.revision, self.urgent) = (pos, pos);
                changes.push((*f, reason));
            }
        }
        if parts_survived {
            // Others may be the only explanation now.
            changes.extend(self.attribute(now, pos));
        }
        changes
    }

    /// Exempts a suspect that survived from strikes for a while. Returns whether it is a part.
    fn exempt(&mut self, now: Time, f: Fingerprint, subject: Subject) -> bool {
        let Subject::Part { service, .. } = subject else {
            self.sound.insert(f, now.after(COMPLETION_EXEMPTION));
            return false;
        };
        self.sound.insert(f, now.after(PART_EXEMPTION));
        self.record_survival(now, &service);
        true
    }

    /// Records that a replica of a service survived a request.
    fn record_survival(&mut self, at: Time, service: &str) {
        let last = self.survivals.entry(service.to_owned()).or_default();
        *last = at.max(*last);
        while self.survivals.len() > MAX_SURVIVALS {
            let oldest = self.survivals.iter().min_by_key(|(_, at)| **at);
            let Some(oldest) = oldest.map(|(service, _)| service.clone()) else { break };
            self.survivals.remove(&oldest);
        }
    }

    /// Returns whether a part got its first strike at `at` or before, and has not been cleared since.
    pub fn is_suspect_since(&self, f: &Fingerprint, at: Time) -> bool {
        self.suspects.get(f).is_some_and(|s| s.first_termination() <= at)
    }

    /// Returns whether several terminations may be strikes of this suspect.
    pub fn has_several_strikes(&self, f: &Fingerprint) -> bool {
        self.suspects.get(f).is_some_and(|s| s.ends.len() > 1)
    }

    /// Returns whether there are no suspects.
    pub fn has_no_suspects(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns whether a quarantine has expired.
    pub fn has_expired(&self, now: Time) -> bool {
        self.quarantined.values().any(|q| q.until <= now)
    }

    /// Releases the requests whose quarantine has expired, at log position `pos`. One further strike
    /// quarantines such a request again.
    pub fn release_expired(
        &mut self,
        now: Time,
        pos: Index,
    ) -> Vec<(Fingerprint, QuarantineChange)> {
        let expired = self.quarantined.iter().filter(|(_, q)| q.until <= now);
        let expired: Vec<_> = expired.map(|(f, q)| (*f, q.clone())).collect();
        for (f, q) in &expired {
            self.quarantined.remove(f);
            self.suspects.remove(f);
            self.former.insert(*f, PastQuarantine { terms: q.terms, over: now });
            (self.revision, self.urgent) = (pos, pos);
        }
        expired.into_iter().map(|(f, _)| (f, QuarantineChange::Expired)).collect()
    }

    /// Removes expired entries, and the oldest ones beyond each limit.
    fn expire(&mut self, now: Time) {
        self.sound.retain(|_, until| *until > now);
        keep_newest(&mut self.sound, MAX_EXEMPT, |at| *at);
        self.former.retain(|_, f| now.since(f.over) < PAST_RETENTION);
        keep_newest(&mut self.former, MAX_PAST, |f| f.over);
        self.replicas.retain(|_, n| now.since(n.heard) < REPORT_WINDOW);
        let mut requeued = 0;
        while let Some(f) = self.order.front().copied() {
            let is_old = |s: &Suspect| now.since(s.last_termination()) >= SUSPECT_RETENTION;
            let old = self.suspects.get(&f).is_none_or(is_old);
            let surplus = self.order.len() > MAX_SUSPECTS;
            if !old && !surplus {
                return;
            }
            self.order.pop_front();
            let several = self.suspects.get(&f).is_some_and(|s| s.ends.len() > 1);
            if !old && several && requeued < MAX_SUSPECTS {
                // Suspects with a single termination are removed first.
                self.order.push_back(f);
                requeued += 1;
                continue;
            }
            self.suspects.remove(&f);
        }
    }

    /// Returns the list for gateways. Of the suspects it has those with the most terminations, then the
    /// newest.
    pub fn list(&self) -> QuarantineList {
        let mut all: Vec<_> = self.suspects.iter().filter(|(f, _)| !self.contains(f)).collect();
        all.sort_by_key(|(f, s)| std::cmp::Reverse((s.ends.len(), s.last_termination(), **f)));
        all.truncate(MAX_LISTED_SUSPECTS);
        let (suspects, struck): (Vec<_>, Vec<_>) =
            all.into_iter().partition(|(_, s)| s.ends.len() > 1);
        let fingerprints =
            |all: Vec<(&Fingerprint, &Suspect)>| all.into_iter().map(|(f, _)| *f).collect();
        QuarantineList {
            revision: self.revision,
            quarantined: self.quarantined.keys().copied().collect(),
            suspects: fingerprints(suspects),
            struck: fingerprints(struck),
        }
    }
}

/// Removes the oldest entries beyond `max`.
fn keep_newest<T>(all: &mut BTreeMap<Fingerprint, T>, max: usize, at: impl Fn(&T) -> Time) {
    while all.len() > max {
        let Some(oldest) = all.iter().min_by_key(|(_, t)| at(t)).map(|(f, _)| *f) else { return };
        all.remove(&oldest);
    }
}
