//! Attribution of replica terminations to the requests, or the parts of their prompts, that caused them.
//!
//! All control processes run this for each report, on the thread that also handles heartbeats of their
//! leader, so its cost must not grow with the square of the number of suspects. Strikes are recounted
//! only where they can matter, and the requests in flight at a termination are indexed by its number.

use std::collections::{BTreeMap, BinaryHeap};

use super::suspect::{STRIKES_IF_AMBIGUOUS, Subject, Suspect};
use super::{LastTermination, Quarantined};
use crate::fleet::fingerprint::Fingerprint;
use crate::unit::Time;

/// A suspect that can be a cause, or can make another one ambiguous.
struct Candidate<'a> {
    fingerprint: Fingerprint,
    suspect: &'a Suspect,
    /// Strikes that no other request explains, as of the last count.
    strikes: Vec<u64>,
    /// Whether terminations were explained since that count.
    is_outdated: bool,
    /// All strikes, explained or not.
    all_strikes: Vec<u64>,
    /// Whether it has not been identified as a cause.
    is_open: bool,
    /// Whether it is a part that is quarantined already.
    is_quarantined_part: bool,
    /// Whether other requests to its service have survived since its first termination.
    others_survive: bool,
}

/// Position of a candidate in the queue; the greatest is examined first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    /// Parts that were harmless before come last.
    is_new: bool,
    strikes: usize,
    /// Of a request and a part with as many strikes, the request is the narrower cause.
    is_request: bool,
    index: usize,
}

impl Candidate<'_> {
    fn reaches_threshold(&self) -> bool {
        self.is_open && self.may_be_cause() && self.strikes.len() >= self.threshold()
    }

    fn threshold(&self) -> usize {
        if self.is_quarantined_part { 1 } else { self.suspect.threshold() }
    }

    /// Returns whether it may be the cause, apart from the number of its strikes. A part that many requests
    /// have is in flight at most terminations, so something without it has to survive.
    fn may_be_cause(&self) -> bool {
        let s = self.suspect;
        match (&s.subject, s.was_harmless) {
            (Subject::Request, _) => s.may_reach_threshold(),
            _ if self.is_quarantined_part => true,
            (Subject::Part { .. }, false) => s.service_completes || self.others_survive,
            (Subject::Part { .. }, true) => self.others_survive && s.spans_survival(),
        }
    }

    /// Returns whether it may be the cause although others may have caused all of its strikes. `rivals` have the
    /// same ones.
    fn may_be_ambiguous(&self, rivals: &[&Candidate]) -> bool {
        let has_rival_part = rivals.iter().any(|r| r.suspect.subject.is_part());
        let is_certain = !self.suspect.subject.is_part()
            || rivals.is_empty()
            || (self.others_survive && (!has_rival_part || self.suspect.spans_survival()));
        is_certain && self.strikes.len() >= STRIKES_IF_AMBIGUOUS
    }

    /// Returns whether it is a new part that several different requests have.
    fn is_part_of_several(&self) -> bool {
        let s = self.suspect;
        self.is_open && s.subject.is_part() && s.has_several_requests && !s.was_harmless
    }

    fn rank(&self, index: usize) -> Rank {
        Rank {
            is_new: !self.suspect.is_harmless_part(),
            strikes: self.strikes.len(),
            is_request: !self.suspect.subject.is_part(),
            index,
        }
    }

    /// Returns whether `other` is as narrow a cause as this one, or narrower.
    fn is_as_narrow(&self, other: &Candidate) -> bool {
        let (own, other) = (self.rank(0), other.rank(0));
        other.is_request || (!own.is_request && own.is_new == other.is_new)
    }
}

/// One termination of a replica.
#[derive(Clone, Default)]
struct TerminationState {
    is_explained: bool,
    /// Indices of the candidates in flight.
    candidates: Vec<usize>,
}

/// The terminations of replicas, indexed by their consecutive numbers.
struct Terminations {
    first: u64,
    states: Vec<TerminationState>,
}

impl Terminations {
    fn of(candidates: &[Candidate]) -> Terminations {
        let numbers = || candidates.iter().flat_map(|c| &c.suspect.ends).map(|e| e.number);
        let (first, last) = (numbers().min().unwrap_or(0), numbers().max().unwrap_or(0));
        Terminations {
            first,
            states: vec![TerminationState::default(); (last - first) as usize + 1],
        }
    }

    fn get(&self, number: u64) -> &TerminationState {
        &self.states[(number - self.first) as usize]
    }

    fn is_explained(&self, number: u64) -> bool {
        let state = number.checked_sub(self.first).and_then(|n| self.states.get(n as usize));
        state.is_some_and(|s| s.is_explained)
    }

    fn get_mut(&mut self, number: u64) -> &mut TerminationState {
        &mut self.states[(number - self.first) as usize]
    }
}

struct Attribution<'a> {
    evidence: &'a Evidence<'a>,
    candidates: Vec<Candidate<'a>>,
    terminations: Terminations,
    /// Candidates that may reach their threshold, by their last count of strikes. The count is an upper
    /// bound, as explained terminations only reduce the strikes of others.
    queue: BinaryHeap<Rank>,
}

/// What is known besides the terminations.
pub(super) struct Evidence<'a> {
    /// When a request to each service last survived that was suspected.
    pub survivals: &'a BTreeMap<String, Time>,
    /// The last termination of each replica.
    pub replicas: &'a BTreeMap<String, LastTermination>,
    /// What is quarantined.
    pub quarantined: &'a BTreeMap<Fingerprint, Quarantined>,
}

impl Evidence<'_> {
    fn is_quarantined_part(&self, f: &Fingerprint, s: &Suspect) -> bool {
        s.subject.is_part() && self.quarantined.contains_key(f)
    }
}

/// Returns the requests and parts that explain the terminations of replicas, those with the most strikes
/// first, and the number of strikes of each.
pub(super) fn find_causes(
    suspects: &BTreeMap<Fingerprint, Suspect>,
    evidence: &Evidence,
) -> Vec<(Fingerprint, usize)> {
    let mut a = Attribution::new(suspects, evidence);
    let mut causes = Vec::new();
    while let Some((cause, equivalent)) = a.next() {
        let strikes = a.candidates[cause].strikes.clone();
        for n in equivalent.into_iter().chain([cause]) {
            a.candidates[n].is_open = false;
            causes.push((a.candidates[n].fingerprint, strikes.len()));
        }
        // The remaining strikes may no longer be ambiguous.
        strikes.iter().for_each(|number| a.explain(*number));
    }
    causes
}

impl<'a> Attribution<'a> {
    fn new(
        suspects: &'a BTreeMap<Fingerprint, Suspect>,
        evidence: &'a Evidence,
    ) -> Attribution<'a> {
        // Others have too few strikes, and a single strike makes no other candidate ambiguous.
        let is_relevant = |f: &Fingerprint, s: &Suspect| {
            s.ends.len() > 1 || s.may_reach_threshold() || evidence.is_quarantined_part(f, s)
        };
        let relevant = suspects.iter().filter(|(f, s)| is_relevant(f, s));
        let candidate = |(f, s): (&Fingerprint, &'a Suspect)| {
            let all_strikes = s.strikes(|_| false);
            Candidate {
                fingerprint: *f,
                suspect: s,
                strikes: all_strikes.clone(),
                is_outdated: false,
                all_strikes,
                is_open: true,
                is_quarantined_part: evidence.is_quarantined_part(f, s),
                others_survive: others_survive(s, evidence),
            }
        };
        let candidates: Vec<_> = relevant.map(candidate).collect();
        let mut terminations = Terminations::of(&candidates);
        for (n, c) in candidates.iter().enumerate() {
            c.suspect.ends.iter().for_each(|e| terminations.get_mut(e.number).candidates.push(n));
        }
        let eligible = candidates.iter().enumerate().filter(|(_, c)| c.reaches_threshold());
        let queue = eligible.map(|(n, c)| c.rank(n)).collect();
        Attribution { evidence, candidates, terminations, queue }
    }

    /// Marks a termination as explained.
    fn explain(&mut self, number: u64) {
        let termination = self.terminations.get_mut(number);
        termination.is_explained = true;
        termination.candidates.iter().for_each(|n| self.candidates[*n].is_outdated = true);
    }

    /// Recounts the strikes of candidate `n` if some of its terminations were explained since its last count.
    fn recount(&mut self, n: usize) {
        if !self.candidates[n].is_outdated {
            return;
        }
        let strikes = self.candidates[n].suspect.strikes(|e| self.terminations.get(e).is_explained);
        let c = &mut self.candidates[n];
        (c.strikes, c.is_outdated) = (strikes, false);
    }

    /// Returns the next cause and the candidates with the same strikes: the one with the highest rank
    /// that is unambiguous or has [`STRIKES_IF_AMBIGUOUS`].
    fn next(&mut self) -> Option<(usize, Vec<usize>)> {
        let mut ambiguous = Vec::new();
        let found = loop {
            let Some(rank) = self.queue.pop() else { break None };
            let n = rank.index;
            self.recount(n);
            let c = &self.candidates[n];
            if !c.reaches_threshold() {
                continue;
            }
            if c.strikes.len() < rank.strikes {
                self.queue.push(c.rank(n));
                continue;
            }
            let is_quarantined_part = c.is_quarantined_part;
            let mut rivals = self.equivalent(n);
            if is_quarantined_part {
                // No request with it has run since, so no further strike can confirm it.
                rivals.retain(|m| self.candidates[*m].is_quarantined_part);
                break Some((n, rivals));
            }
            let others: Vec<_> = rivals.iter().map(|m| &self.candidates[*m]).collect();
            let is_unambiguous =
                || rivals.is_empty() && self.has_unshared_strike(n) && !self.has_others_in_span(n);
            // The cheap check comes first.
            let may_be_cause = self.candidates[n].may_be_ambiguous(&others) || is_unambiguous();
            if may_be_cause && !self.yields_to_part(n) {
                let is_part = |n: usize| self.candidates[n].suspect.subject.is_part();
                rivals.retain(|m| is_part(*m) == is_part(n));
                break Some((n, rivals));
            }
            ambiguous.push(rank);
        };
        self.queue.extend(ambiguous);
        found
    }

    /// Returns the other open candidates whose strikes are the same and reach their thresholds, and that are
    /// as narrow.
    fn equivalent(&mut self, n: usize) -> Vec<usize> {
        let strikes = self.candidates[n].strikes.clone();
        let Some(first) = strikes.first() else { return Vec::new() };
        let mut others = self.terminations.get(*first).candidates.clone();
        others.retain(|m| {
            let other = &self.candidates[*m];
            *m != n
                && other.is_open
                && strikes.len() >= other.threshold()
                && self.candidates[n].is_as_narrow(other)
        });
        others.iter().for_each(|m| self.recount(*m));
        others.retain(|m| self.candidates[*m].strikes == strikes);
        others
    }

    /// Returns whether `n` is a request, and a part of several requests has all of its strikes. Requests with the
    /// part either survive and clear it, or it is the cause.
    fn yields_to_part(&self, n: usize) -> bool {
        let c = &self.candidates[n];
        let Some(first) = c.strikes.first().filter(|_| !c.suspect.subject.is_part()) else {
            return false;
        };
        self.terminations.get(*first).candidates.iter().any(|m| {
            let part = &self.candidates[*m];
            part.is_part_of_several()
                && c.strikes.iter().all(|number| part.all_strikes.contains(number))
        })
    }

    /// Returns whether `n` is a part whose strikes do not include all terminations at its service from the first
    /// to the last of them, so that replicas also terminate for another reason.
    fn has_others_in_span(&self, n: usize) -> bool {
        let s = self.candidates[n].suspect;
        let Subject::Part { service, .. } = &s.subject else { return false };
        let span = s.first_termination()..=s.last_termination();
        let is_own = |number: u64| s.ends.iter().any(|e| e.number == number);
        self.evidence.replicas.values().any(|t| {
            t.service == *service
                && span.contains(&t.at)
                && !is_own(t.number)
                && !self.terminations.is_explained(t.number)
        })
    }

    /// Returns whether candidate `n` has a strike that it shares with no independent candidate. Another
    /// candidate is independent if it has several strikes, at least one of them not among those of `n`,
    /// whether or not a third one explains it. Parts that were harmless before are in flight at most
    /// terminations, and are not considered.
    fn has_unshared_strike(&self, n: usize) -> bool {
        let strikes = &self.candidates[n].strikes;
        let is_independent = |m: &usize| {
            let other = &self.candidates[*m];
            let several = other.suspect.ends.len() > 1 && other.all_strikes.len() > 1;
            *m != n
                && other.is_open
                && several
                && !other.suspect.is_harmless_part()
                && other.all_strikes.iter().any(|e| !strikes.contains(e))
        };
        let is_shared = |number: &u64| {
            let mut others = self.terminations.get(*number).candidates.iter();
            others.any(|m| is_independent(m) && self.candidates[*m].all_strikes.contains(number))
        };
        strikes.iter().any(|number| !is_shared(number))
    }
}

/// Returns whether other requests to the service of a suspect part have survived since its first
/// termination.
fn others_survive(s: &Suspect, evidence: &Evidence) -> bool {
    let Subject::Part { service, .. } = &s.subject else { return false };
    evidence.survivals.get(service).is_some_and(|at| *at >= s.first_termination())
}
