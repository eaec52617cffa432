//! Limits that replicas name, at a gateway: what it knows of them, the permits that it asks other
//! gateways for before it sends, and those that it hands out itself.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use cypressfork_core::fleet::limit::homes::PermitIssuers;
use cypressfork_core::fleet::limit::known::{self, LimitChange, LimitReport};
use cypressfork_core::fleet::limit::permits::{Grant, PERMIT_TTL, PermitBuckets, PermitRequest};
use cypressfork_core::fleet::limit::{DisplayLimit, LimitHeader, Rate};
use cypressfork_core::fleet::neighbours::{DataCentreRouters, NOT_WANTED, digest};
use cypressfork_core::route::turns::{RetrySchedule, RetrySpacing};
use cypressfork_core::unit::{Millis, Time};
use cypressfork_node::event::Event;
use cypressfork_node::{emit, metric};
use metrics::{counter, gauge};
use rand::Rng;
use tokio::time::Instant;

use super::stand_in::Looks;
use super::state::Gateway;

/// How long another gateway may take to answer an ask. The request waits for it: no longer than a loan's.
const ASK_WITHIN: Duration = Duration::from_millis(100);

/// How long a gateway that did not answer is not asked again.
const OUT_SPAN: Millis = Millis(1_500);

/// When a replica whose permits nobody hands out is tried again.
const NOBODY_AFTER: Millis = Millis(500);

/// Permits that are asked for at once, at most.
const WANTED_MOST: u32 = 16;

/// How often it is told again that a replica goes on naming the same limit.
const TELL_AGAIN: Millis = Millis::seconds(5);

/// Words that one question to a control process carries, at most.
const WORDS: usize = 64;

/// Replicas that are remembered for having said what cannot be read.
const UNREADABLE_MOST: usize = 256;

/// How long permits of a replica that nobody asks for are remembered.
const PERMITS_KEPT: Millis = Millis::seconds(120);

/// The longest after which callers are told to come back: until then others that went away have made room.
const BACK_MOST: Millis = Millis::seconds(3);

/// Why a request gets no permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Denied {
    /// When to ask again.
    pub after: Millis,
    /// Nobody answered: more asks would make the request wait.
    pub unanswered: bool,
}

/// Permits at hand for one replica.
#[derive(Clone, Copy, Debug, Default)]
struct Stock {
    left: u32,
    until: Time,
    /// How many were asked for last.
    wanted: u32,
}

impl Stock {
    fn take(&mut self, now: Time) -> bool {
        let there = self.left > 0 && now < self.until;
        self.left -= u32::from(there);
        there
    }

    /// How many to ask for: twice as many as last if those were used up while they were good.
    fn next(&self, now: Time) -> u32 {
        let used_up = self.left == 0 && now < self.until;
        if used_up { (self.wanted * 2).clamp(1, WANTED_MOST) } else { 1 }
    }
}

/// What a gateway knows of the limits of replicas.
#[derive(Default)]
pub struct Limits {
    known: RefCell<known::Limits>,
    /// The same number as there are in `known`, for a first look at each request.
    named: Cell<usize>,
    permits: RefCell<PermitBuckets>,
    homes: RefCell<PermitIssuers>,
    /// The gateways of data centres with many and with few of them.
    areas: RefCell<Vec<DataCentreRouters>>,
    few: RefCell<Vec<DataCentreRouters>>,
    stock: RefCell<HashMap<String, Stock>>,
    /// When gateways last did not answer an ask.
    out: RefCell<BTreeMap<SocketAddr, Time>>,
    /// When the next caller of each service is told to come back.
    turns: RefCell<HashMap<String, RetrySchedule>>,
    /// Gateways that are to be looked at.
    pub looks: Looks,
    /// Replicas whose word could not be read, and has been logged.
    unreadable: RefCell<BTreeSet<String>>,
}

impl Limits {
    /// Whether a replica names a limit.
    pub fn names_one(&self, replica: &str) -> bool {
        self.named.get() > 0 && self.known.borrow().rate(replica).is_some()
    }

    /// What holds of a replica, for a refusal: its limit and since when it names one.
    pub fn describe(&self, now: Time, replica: &str) -> String {
        let known = self.known.borrow();
        let (rate, age) = (DisplayLimit(known.rate(replica)), known.age(now, replica));
        format!("replica {replica} takes {rate} a second, named {} ms ago", age.0)
    }

    /// Takes what an answer to the request `id`, sent at `sent`, says of its replica's limit.
    pub fn heard(&self, gw: &Gateway, replica: &str, id: &str, sent: Instant, said: LimitHeader) {
        let rate = match said {
            LimitHeader::Absent if self.named.get() == 0 => return,
            LimitHeader::Absent => None,
            LimitHeader::Limit(rate) => Some(rate),
            LimitHeader::Invalid => return self.tell_unreadable(replica, id),
        };
        let now = gw.now();
        let sent = now.before(Millis(sent.elapsed().as_millis() as u64));
        let born = gw.born(replica);
        let change = self.known.borrow_mut().record_response(now, replica, born, sent, rate);
        if let Some(change) = change {
            self.apply(gw, replica, change, "answer", id);
            gw.poll_sources_now();
        }
    }

    /// Takes what a control process tells of limits.
    pub fn told(&self, gw: &Gateway, words: &[LimitReport]) {
        for w in words.iter().filter(|w| gw.is_running(&w.replica, w.born)) {
            let change = self.known.borrow_mut().apply(gw.now(), w);
            if let Some(change) = change {
                self.apply(gw, &w.replica, change, "control", "");
            }
        }
    }

    fn apply(&self, gw: &Gateway, replica: &str, change: LimitChange, by: &str, id: &str) {
        self.count();
        gw.set_rate_limited(replica, change.to.is_some());
        emit!(
            Event::LimitChanged,
            replica = replica,
            from = DisplayLimit(change.from),
            to = DisplayLimit(change.to),
            by = by,
            id = id,
        );
    }

    fn count(&self) {
        let named = self.known.borrow().limited().count();
        self.named.set(named);
        gauge!(metric::LIMITED).set(named as f64);
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

    /// What control processes are to be told: what this gateway heard itself.
    pub fn reports(&self, now: Time) -> Vec<LimitReport> {
        if self.named.get() == 0 && self.known.borrow().position() == 0 {
            return Vec::new();
        }
        self.known.borrow_mut().take_due_reports(now, TELL_AGAIN, WORDS)
    }

    /// Forgets a replica that has left or started again.
    pub fn forget(&self, replica: &str) {
        self.stock.borrow_mut().remove(replica);
        self.permits.borrow_mut().remove(replica);
        self.homes.borrow_mut().remove(replica);
        if self.known.borrow_mut().remove(replica).is_some() {
            self.count();
        }
    }

    /// Forgets what is old.
    pub fn trim(&self, gw: &Gateway) {
        let now = gw.now();
        let gone =
            self.known.borrow_mut().expire(now, |replica, born| gw.is_running(replica, born));
        for replica in gone {
            self.forget(&replica);
            gw.set_rate_limited(&replica, false);
        }
        self.count();
        self.permits.borrow_mut().expire(now, PERMITS_KEPT);
        self.stock.borrow_mut().retain(|_, s| now.since(s.until) < PERMITS_KEPT);
        self.turns.borrow_mut().retain(|_, turns| !turns.is_idle(now));
        self.out.borrow_mut().retain(|_, at| now.since(*at) < OUT_SPAN);
    }

    /// The digest of the gateways of small data centres, to tell a control process whose word on the
    /// others is wanted or not.
    pub fn few_digest(&self, areas: u64) -> u64 {
        if areas == NOT_WANTED { NOT_WANTED } else { digest(&self.few.borrow()) }
    }

    /// Takes the gateways of data centres with many of them into use.
    pub fn set_areas(&self, now: Time, areas: &[DataCentreRouters]) {
        *self.areas.borrow_mut() = areas.to_vec();
        self.set_homes(now);
    }

    /// Takes the gateways of data centres with few of them into use.
    pub fn set_few(&self, now: Time, few: Vec<DataCentreRouters>) {
        *self.few.borrow_mut() = few;
        self.set_homes(now);
    }

    fn set_homes(&self, now: Time) {
        let (areas, few) = (self.areas.borrow(), self.few.borrow());
        let links = |a: &DataCentreRouters| a.links.iter().filter_map(|l| l.parse().ok()).collect();
        let all = areas.iter().chain(few.iter()).map(|a| (a.data_centre.clone(), links(a)));
        self.homes.borrow_mut().set_routers(now, all.collect());
    }

    /// Has a request of this priority let through to a replica, if that names a limit. Every send needs
    /// one: first tries, further ones, and the second on a connection that turned out to be closed.
    pub async fn permit(
        &self,
        gw: &Gateway,
        replica: &str,
        data_centre: &str,
        priority: u8,
    ) -> Result<(), Denied> {
        if self.named.get() == 0 {
            return Ok(());
        }
        let Some(rate) = self.known.borrow().rate(replica) else { return Ok(()) };
        let asked = gw.now();
        let wanted = {
            let mut stock = self.stock.borrow_mut();
            let s = stock.entry(replica.to_owned()).or_default();
            if s.take(asked) {
                counter!(metric::PERMITS, "end" => "at_hand").increment(1);
                return Ok(());
            }
            s.next(asked)
        };
        let ask = PermitRequest {
            replica: replica.to_owned(),
            data_centre: data_centre.to_owned(),
            rate,
            priority,
            wanted,
        };
        let grant = self.ask(gw, &ask).await;
        self.take(gw, &ask, asked, grant)
    }

    fn take(
        &self,
        gw: &Gateway,
        ask: &PermitRequest,
        asked: Time,
        grant: Option<Grant>,
    ) -> Result<(), Denied> {
        let end = match grant {
            Some(g) if g.permits > 0 => "granted",
            Some(_) => "denied",
            None => "unanswered",
        };
        counter!(metric::PERMITS, "end" => end).increment(1);
        match grant {
            Some(g) if g.permits > 0 => {
                let left = g.permits - 1;
                let s = Stock { left, until: asked.after(PERMIT_TTL), wanted: ask.wanted };
                self.stock.borrow_mut().insert(ask.replica.clone(), s);
                Ok(())
            }
            Some(g) => Err(Denied { after: spread(g.after), unanswered: false }),
            None => {
                emit!(
                    Event::PermitUnanswered,
                    replica = ask.replica,
                    routers = self.homes.borrow().router_count(),
                    ago_ms = gw.now().since(asked).0,
                );
                Err(Denied { after: spread(NOBODY_AFTER), unanswered: true })
            }
        }
    }

    /// Asks the first gateway that hands out a replica's permits, and the second where that is out or stands
    /// back and has none.
    async fn ask(&self, gw: &Gateway, ask: &PermitRequest) -> Option<Grant> {
        let own = gw.settings.link;
        let mut denied = None;
        for to in self.homes_in_reach(gw, ask) {
            let grant = match to == own {
                true => Some(self.serve(gw, ask)),
                false => gw.peers.permits(gw, to, ask, ASK_WITHIN).await,
            };
            match grant {
                Some(g) if g.permits == 0 && g.reduced => denied = Some(g),
                Some(g) => return Some(g),
                None => {
                    self.out.borrow_mut().insert(to, gw.now());
                }
            }
        }
        denied
    }

    fn homes_in_reach(&self, gw: &Gateway, ask: &PermitRequest) -> Vec<SocketAddr> {
        let now = gw.now();
        let mut homes = self.homes.borrow_mut();
        let all = homes.issuers(gw.settings.link, &ask.replica, &ask.data_centre).iter().copied();
        all.filter(|a| !self.is_out(now, a)).collect()
    }

    fn is_out(&self, now: Time, gateway: &SocketAddr) -> bool {
        self.out.borrow().get(gateway).is_some_and(|at| now.since(*at) < OUT_SPAN)
    }

    /// Answers an ask for permits: another gateway's, or the own.
    pub fn serve(&self, gw: &Gateway, ask: &PermitRequest) -> Grant {
        let (now, own) = (gw.now(), gw.settings.link);
        let issue_rate =
            self.homes.borrow_mut().issue_rate(now, own, &ask.replica, &ask.data_centre);
        // Whoever asks has another list than this one.
        let Some(issue_rate) = issue_rate else {
            return Grant { after: NOBODY_AFTER, ..Grant::default() };
        };
        self.look_after_first(gw, ask);
        // Of two that heard different limits the lower holds until both know.
        let known = self.known.borrow().rate(&ask.replica).unwrap_or(ask.rate);
        let ask = PermitRequest { rate: ask.rate.min(known), ..ask.clone() };
        let grant = self.permits.borrow_mut().grant(now, &ask, issue_rate);
        counter!(metric::PERMITS_GIVEN).increment(u64::from(grant.permits));
        let settles =
            self.homes.borrow_mut().reduced_until(now, own, &ask.replica, &ask.data_centre);
        Grant { reduced: settles.is_some(), ..grant }
    }

    /// How much longer this gateway stands back as the first of a replica.
    pub fn settles(&self, gw: &Gateway, replica: &str, data_centre: &str) -> Option<Millis> {
        let (now, own) = (gw.now(), gw.settings.link);
        let until = self.homes.borrow_mut().reduced_until(now, own, replica, data_centre)?;
        Some(until.since(now))
    }

    /// Has the first of a replica looked at, if this gateway is the second and does not know that it stands
    /// back.
    fn look_after_first(&self, gw: &Gateway, ask: &PermitRequest) {
        let (now, own) = (gw.now(), gw.settings.link);
        let mut homes = self.homes.borrow_mut();
        if let Some(first) = homes.primary_to_probe(now, own, &ask.replica, &ask.data_centre) {
            self.looks.wish(first, &ask.replica, &ask.data_centre);
        }
    }

    /// Takes what a look at the first of a replica has shown: it stands back until `until`.
    pub fn stands_back(&self, now: Time, replica: &str, first: SocketAddr, until: Time) {
        self.homes.borrow_mut().record_reduced(now, replica, first, until);
    }

    /// When a caller is to come back that no replica of `service` takes before `first`. Callers come back
    /// one after the other, at this gateway's part of what the service's limits allow.
    pub fn come_back(&self, gw: &Gateway, service: &str, first: Millis) -> Millis {
        let now = gw.now();
        let allowed: u64 = gw.rate_limited(service).iter().map(|r| self.rate(r).0).sum();
        let routers = self.homes.borrow().router_count().max(1) as u64;
        let each = Millis(1_000_000 * routers / allowed.max(1));
        let mut turns = self.turns.borrow_mut();
        let turns = turns.entry(service.to_owned()).or_default();
        turns.next_delay(
            now,
            &RetrySpacing { earliest: first, interval: each, max: BACK_MOST },
            &mut rand::rng(),
        )
    }

    fn rate(&self, replica: &str) -> Rate {
        self.known.borrow().rate(replica).unwrap_or_default()
    }
}

/// A span, or up to a quarter less: those that were told the same do not come back together, and one that
/// is early finds what others have left.
fn spread(span: Millis) -> Millis {
    Millis(span.0 - rand::rng().random_range(0..=span.0 / 4))
}
