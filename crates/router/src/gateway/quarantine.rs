//! What a gateway does about requests that end every replica that runs them: it reports ends of
//! replicas to the control group, refuses what the group has quarantined, and tells it of suspects
//! that are answered whole.
//!
//! While its reports do not arrive, it goes by what it saw itself as well.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashSet};
use std::hash::{BuildHasher, RandomState};
use std::rc::Rc;
use std::time::Duration;

use cypressfork_core::command::Command;
use cypressfork_core::fleet::fingerprint::Fingerprint;
use cypressfork_core::fleet::quarantine::{
    InFlightRequest, Quarantine, QuarantineList, TerminationReport,
};
use cypressfork_core::fleet::sound::CompletedRequests;
use cypressfork_core::unit::{Index, Time};
use cypressfork_node::digest::fingerprint;
use cypressfork_node::event::Event;
use cypressfork_node::{emit, metric};
use metrics::gauge;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

use super::job::RoutedRequest;
use super::state::Gateway;
use super::witness::LostRequest;

/// How long one report may take before it is put back.
const REPORT_WITHIN: Duration = Duration::from_secs(5);

/// How long after a report that failed the next is made.
const PAUSE: Duration = Duration::from_millis(200);

/// How long a report may be under way before this gateway goes by what it saw itself. A commit takes
/// tens of milliseconds, and an election about a second.
const ALONE_AFTER: Duration = Duration::from_millis(200);

/// Ended replicas that wait for their report; the oldest go first.
const REPORTS_MOST: usize = 64;

/// An ended replica that has yet to be reported.
#[derive(Clone)]
struct Waiting {
    replica: String,
    since: Time,
    under_way: Vec<InFlightRequest>,
}

/// What a gateway knows of quarantined requests.
#[derive(Default)]
pub struct Quarantines {
    told: RefCell<QuarantineList>,
    /// Requests that this gateway answered whole lately.
    sound: RefCell<CompletedRequests>,
    hasher: RandomState,
    /// Briefs of all that `told` names, for a first look at each request.
    briefs: RefCell<HashSet<u64>>,
    /// By the ends of replicas that this gateway saw.
    own: RefCell<Quarantine>,
    own_position: Cell<Index>,
    waiting: RefCell<Vec<Waiting>>,
    survived: RefCell<BTreeSet<Fingerprint>>,
    /// Requests of one strike that this gateway answered whole once since.
    answered_once: RefCell<HashSet<Fingerprint>>,
    /// Since when a report is under way.
    reporting: Cell<Option<Instant>>,
    wake: Notify,
}

impl Quarantines {
    /// Revision of what the control processes told.
    pub fn revision(&self) -> Index {
        self.told.borrow().revision
    }

    /// Takes what a control process tells.
    pub fn take(&self, told: &QuarantineList) {
        if !self.told.borrow_mut().replace_if_newer(told.clone()) {
            return;
        }
        let all = told.quarantined.iter().chain(&told.suspects).chain(&told.struck);
        *self.briefs.borrow_mut() = all.map(|f| f.brief).collect();
        gauge!(metric::QUARANTINED).set(told.quarantined.len() as f64);
        emit!(
            Event::QuarantineSeen,
            revision = told.revision,
            quarantined = told.quarantined.len(),
            suspects = told.suspects.len(),
            struck = told.struck.len(),
        );
        self.answered_once.borrow_mut().retain(|f| told.struck.contains(f));
    }

    /// The fingerprint of a request, if it is quarantined.
    pub fn find(&self, request: &RoutedRequest) -> Option<Fingerprint> {
        let alone = self.is_alone();
        if self.briefs.borrow().is_empty() && !alone {
            return None;
        }
        let identity = request.identity();
        let named = self.briefs.borrow().contains(&identity.brief());
        if !named && !alone {
            return None;
        }
        let f = fingerprint(&identity);
        let told = self.told.borrow().quarantined.contains(&f);
        (told || (alone && self.own.borrow().contains(&f))).then_some(f)
    }

    /// Whether the group has not heard of the ends that this gateway saw.
    fn is_alone(&self) -> bool {
        self.reporting.get().is_some_and(|since| since.elapsed() >= ALONE_AFTER)
    }

    /// Notes that a request was answered whole, and tells the group if that matters to anybody.
    pub fn answered(&self, request: &RoutedRequest) {
        let identity = request.identity();
        self.sound.borrow_mut().record(self.hasher.hash_one(identity));
        if self.briefs.borrow().is_empty() {
            return;
        }
        if !self.briefs.borrow().contains(&identity.brief()) {
            return;
        }
        let f = fingerprint(&identity);
        let told = self.told.borrow();
        let again = || told.struck.contains(&f) && !self.answered_once.borrow_mut().insert(f);
        if told.suspects.contains(&f) || told.quarantined.contains(&f) || again() {
            self.survived.borrow_mut().insert(f);
            self.wake.notify_one();
        }
    }

    /// What this process knows a request by among those that it answered whole.
    pub fn hash(&self, request: &RoutedRequest) -> u64 {
        self.hasher.hash_one(request.identity())
    }

    /// Whether this gateway answered a copy of a request whole lately.
    pub fn is_sound(&self, hash: u64) -> bool {
        self.sound.borrow().contains(hash)
    }

    /// Notes that a replica has ended at `since` with these requests under way.
    pub fn ended(&self, gw: &Gateway, replica: &str, since: Time, victims: Vec<LostRequest>) {
        let under_way = |v: LostRequest| InFlightRequest {
            fingerprint: v.fingerprint,
            account: v.account.unwrap_or_default(),
            age: v.age,
        };
        let suspects = victims.into_iter().filter(|v| !self.is_sound(v.hash));
        let under_way: Vec<_> = suspects.map(under_way).collect();
        if under_way.is_empty() {
            return;
        }
        let own = TerminationReport {
            replica: replica.to_owned(),
            ago: gw.now().since(since),
            under_way: under_way.clone(),
        };
        self.own.borrow_mut().record_terminations(gw.now(), self.own_position.get(), &[own]);
        self.own_position.set(self.own_position.get() + 1);
        let mut waiting = self.waiting.borrow_mut();
        if waiting.len() >= REPORTS_MOST {
            let lost = waiting.remove(0);
            emit!(Event::EndsUnreported, replica = lost.replica, requests = lost.under_way.len());
        }
        waiting.push(Waiting { replica: replica.to_owned(), since, under_way });
        self.wake.notify_one();
    }
}

fn report(now: Time, all: &[Waiting]) -> Command {
    let ended = |w: &Waiting| TerminationReport {
        replica: w.replica.clone(),
        ago: now.since(w.since),
        under_way: w.under_way.clone(),
    };
    Command::Ended(all.iter().map(ended).collect())
}

/// Tells the control group what has been noted, for as long as the process runs. What comes up while a
/// report is under way shares the next.
pub async fn report_forever(gw: Rc<Gateway>) {
    let own = &gw.quarantines;
    loop {
        let survived = std::mem::take(&mut *own.survived.borrow_mut());
        if !survived.is_empty() {
            let command = Command::Survived(survived.into_iter().collect());
            // Out of reach, its next copy that is answered whole says the same.
            if let Err(code) = gw.group.command(&command, REPORT_WITHIN).await {
                emit!(Event::EndsUnreported, why = code);
            }
        }
        let waiting = std::mem::take(&mut *own.waiting.borrow_mut());
        if waiting.is_empty() {
            if own.survived.borrow().is_empty() {
                own.wake.notified().await;
            }
            continue;
        }
        if own.reporting.get().is_none() {
            own.reporting.set(Some(Instant::now()));
        }
        match gw.group.command_anew(|| report(gw.now(), &waiting), REPORT_WITHIN).await {
            Ok(_) => own.reporting.set(None),
            Err(code) => {
                emit!(Event::EndsUnreported, replicas = waiting.len(), why = code);
                put_back(own, waiting);
                sleep(PAUSE).await;
            }
        }
    }
}

/// Keeps reports that did not arrive for the next try, before those that came up meanwhile.
fn put_back(own: &Quarantines, mut old: Vec<Waiting>) {
    let mut waiting = own.waiting.borrow_mut();
    old.append(&mut waiting);
    let surplus = old.len().saturating_sub(REPORTS_MOST);
    old.drain(..surplus);
    *waiting = old;
}
