//! Which requests explain the ends of replicas.
//!
//! All control processes judge each report, in the one thread that also hears their leader: the work
//! must not grow with the square of the suspects. Strikes are counted again only where it matters, and who
//! was at an end of a replica is looked up.

use std::collections::{BTreeMap, BinaryHeap};

use super::suspect::{STRIKES_OF_RIVALS, Suspect};
use crate::fleet::fingerprint::Fingerprint;

/// One suspect of whom something can depend on others.
struct Case<'a> {
    fingerprint: Fingerprint,
    suspect: &'a Suspect,
    /// Its strikes, but for those that others explain, as they were counted in this round.
    strikes: Vec<u64>,
    counted: usize,
    /// Its strikes whatever others explain.
    all: Vec<u64>,
    /// Nobody has found it guilty yet.
    open: bool,
}

impl Case<'_> {
    fn is_enough(&self) -> bool {
        self.open && self.suspect.may_be_enough() && self.strikes.len() >= self.suspect.bound()
    }
}

/// What holds of one end of a replica.
#[derive(Clone, Default)]
struct Known {
    explained: bool,
    /// The cases that were there.
    there: Vec<usize>,
}

/// The ends of replicas, by number: they are numbered one after the other.
struct Ends {
    first: u64,
    all: Vec<Known>,
}

impl Ends {
    fn of(cases: &[Case]) -> Ends {
        let numbers = || cases.iter().flat_map(|c| &c.suspect.ends).map(|e| e.number);
        let (first, last) = (numbers().min().unwrap_or(0), numbers().max().unwrap_or(0));
        Ends { first, all: vec![Known::default(); (last - first) as usize + 1] }
    }

    fn get(&self, number: u64) -> &Known {
        &self.all[(number - self.first) as usize]
    }

    fn get_mut(&mut self, number: u64) -> &mut Known {
        &mut self.all[(number - self.first) as usize]
    }
}

struct Judgement<'a> {
    cases: Vec<Case<'a>>,
    ends: Ends,
    /// The cases that may have enough strikes, by how many they had when they were counted last: never
    /// fewer than now, as what others explain only takes strikes away.
    foremost: BinaryHeap<(usize, usize)>,
    /// How often ends were explained.
    round: usize,
}

/// The requests that explain the ends of replicas, those with the most strikes first, and how many
/// strikes each has.
pub(super) fn guilty(suspects: &BTreeMap<Fingerprint, Suspect>) -> Vec<(Fingerprint, usize)> {
    let mut j = Judgement::new(suspects);
    let mut guilty = Vec::new();
    while let Some((case, rivals)) = j.next() {
        let strikes = j.cases[case].strikes.clone();
        for n in rivals.into_iter().chain([case]) {
            j.cases[n].open = false;
            guilty.push((j.cases[n].fingerprint, strikes.len()));
        }
        // What the others have left may tell them apart now.
        strikes.iter().for_each(|end| j.ends.get_mut(*end).explained = true);
        j.round += 1;
    }
    guilty
}

impl<'a> Judgement<'a> {
    fn new(suspects: &'a BTreeMap<Fingerprint, Suspect>) -> Judgement<'a> {
        // One with a single strike, of which more are wanted, is neither guilty nor speaks for others.
        let matters = |s: &&Suspect| s.ends.len() > 1 || s.may_be_enough();
        let known = suspects.iter().filter(|(_, s)| matters(s));
        let case = |(f, s): (&Fingerprint, &'a Suspect)| {
            let all = s.strikes(|_| false);
            Case { fingerprint: *f, suspect: s, strikes: all.clone(), counted: 0, all, open: true }
        };
        let cases: Vec<_> = known.map(case).collect();
        let mut ends = Ends::of(&cases);
        for (n, c) in cases.iter().enumerate() {
            c.suspect.ends.iter().for_each(|e| ends.get_mut(e.number).there.push(n));
        }
        let enough = cases.iter().enumerate().filter(|(_, c)| c.is_enough());
        let foremost = enough.map(|(n, c)| (c.strikes.len(), n)).collect();
        Judgement { cases, ends, foremost, round: 0 }
    }

    /// Counts the strikes of a case anew, if ends were explained since it was done last.
    fn count(&mut self, n: usize) {
        if self.cases[n].counted == self.round {
            return;
        }
        let strikes = self.cases[n].suspect.strikes(|e| self.ends.get(e).explained);
        let c = &mut self.cases[n];
        (c.strikes, c.counted) = (strikes, self.round);
    }

    /// The next request that explains ends, with those that explain just the same: the one with the most
    /// strikes that is told apart from others, or has so many that it need not be.
    fn next(&mut self) -> Option<(usize, Vec<usize>)> {
        let mut doubtful = Vec::new();
        let found = loop {
            let Some((strikes, n)) = self.foremost.pop() else { break None };
            self.count(n);
            let c = &self.cases[n];
            if !c.is_enough() {
                continue;
            }
            if c.strikes.len() < strikes {
                self.foremost.push((c.strikes.len(), n));
                continue;
            }
            let rivals = self.rivals(n);
            let told_apart = rivals.is_empty() && self.is_alone_once(n);
            if told_apart || strikes >= STRIKES_OF_RIVALS {
                break Some((n, rivals));
            }
            doubtful.push((strikes, n));
        };
        self.foremost.extend(doubtful);
        found
    }

    /// The other requests that have the same strikes, and enough of them.
    fn rivals(&mut self, n: usize) -> Vec<usize> {
        let strikes = self.cases[n].strikes.clone();
        let Some(first) = strikes.first() else { return Vec::new() };
        let mut there = self.ends.get(*first).there.clone();
        there.retain(|m| {
            let other = &self.cases[*m];
            *m != n && other.open && strikes.len() >= other.suspect.bound()
        });
        there.iter().for_each(|m| self.count(*m));
        there.retain(|m| self.cases[*m].strikes == strikes);
        there
    }

    /// Whether a replica ended under a request where no other was that other ends speak against: one with
    /// several strikes, some of them without it. Strikes that a third one explains speak against it too.
    fn is_alone_once(&self, n: usize) -> bool {
        let strikes = &self.cases[n].strikes;
        let is_apart = |m: &usize| {
            let other = &self.cases[*m];
            let several = other.suspect.ends.len() > 1 && other.all.len() > 1;
            *m != n && other.open && several && other.all.iter().any(|e| !strikes.contains(e))
        };
        let shares = |end: &u64| {
            let mut there = self.ends.get(*end).there.iter();
            there.any(|m| is_apart(m) && self.cases[*m].all.contains(end))
        };
        strikes.iter().any(|end| !shares(end))
    }
}
