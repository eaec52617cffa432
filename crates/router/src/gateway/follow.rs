//! What a gateway hears from the control processes: from each of them replicas, the document in
//! force and the other control processes; from the leader its registration and recalled tokens.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cypressfork_core::command::{Answer, Command};
use cypressfork_core::fleet::neighbours::DataCentreRouters;
use cypressfork_core::fleet::registry::Record;
use cypressfork_core::fleet::sources::Nearness;
use cypressfork_core::fleet::watch::{RouterStatus, Watch, WatchResponse};
use cypressfork_core::query::{NO_SITES, Query, Reply};
use cypressfork_core::unit::{HolderId, Time, Version};
use cypressfork_node::emit;
use cypressfork_node::event::Event;
use cypressfork_node::metric;
use cypressfork_node::urge::Urge;
use cypressfork_node::watch::{Watcher, watch};
use cypressfork_wire::packed;
use metrics::counter;
use tokio::time::sleep;

use super::dialect::Dialect;
use super::documents;
use super::state::Gateway;
use crate::token_store::TokenStore;

/// How long a registration may take before it is tried anew.
const REGISTER_WITHIN: Duration = Duration::from_secs(1);

/// How long a standing question may go without an answer.
const FOLLOW_WITHIN: Duration = Duration::from_millis(2_500);

/// How long to wait after a failed try.
const PAUSE: Duration = Duration::from_millis(200);

/// Follows the control processes at `addresses`, and those that they tell of.
pub fn follow_all<D: Dialect>(gw: &Rc<Gateway>, addresses: impl IntoIterator<Item = SocketAddr>) {
    for address in addresses {
        if gw.following.borrow().contains_key(&address) {
            continue;
        }
        let urge = Rc::new(Urge::default());
        gw.sources.borrow_mut().add(gw.now(), address);
        gw.following.borrow_mut().insert(address, urge.clone());
        let follower = Follower::<D> { gw: gw.clone(), urge, dialect: std::marker::PhantomData };
        actix_rt::spawn(watch(address, gw.me.clone(), follower));
    }
}

struct Follower<D> {
    gw: Rc<Gateway>,
    urge: Rc<Urge>,
    dialect: std::marker::PhantomData<D>,
}

impl<D: Dialect> Watcher for Follower<D> {
    fn question(&self, to: SocketAddr) -> Option<Watch> {
        let gw = &self.gw;
        self.urge.clear();
        let router = RouterStatus {
            vm: gw.settings.base.vm.clone(),
            data_centre: gw.settings.base.data_centre.clone(),
            address: gw.settings.listen.to_string(),
            link: gw.settings.link.to_string(),
            open: gw.is_open(),
            busy: gw.is_busy(),
        };
        counter!(metric::QUESTIONS).increment(1);
        let feed = gw.feeds.borrow().get(&to).copied().unwrap_or_default();
        let version = gw.documents.version_at(to);
        let fetch = gw.documents.want(to);
        let areas = gw.share.homes.digest_for(to);
        let evacuations = gw.evacuations.borrow().revision;
        let quarantine = gw.quarantines.revision();
        let without_replicas = !gw.sources.borrow().is_selected(to);
        Some(Watch {
            router: Some(router),
            feed,
            version,
            fetch,
            areas,
            control: None,
            evacuations,
            without_replicas,
            quarantine,
            rollouts: gw.trials.revision(),
            reports: gw.trials.reports(),
            heard: if without_replicas { Vec::new() } else { gw.limits.reports(gw.now()) },
            leaving: if without_replicas { Vec::new() } else { gw.notices.to_tell() },
            few: gw.limits.few_digest(gw.share.homes.digest_for(to)),
        })
    }

    fn seen(&self, from: SocketAddr, seen: WatchResponse) {
        let gw = &self.gw;
        gw.sources.borrow_mut().record_response(gw.now(), from, seen.lead.is_some());
        if !seen.data_centre.is_empty() {
            gw.sources.borrow_mut().set_nearness(gw.now(), from, nearness(gw, &seen.data_centre));
        }
        gw.feeds.borrow_mut().insert(from, seen.feed);
        gw.routers.set(gw.routers.get().max(seen.routers));
        if seen.part.is_some() {
            // A document is committed: there was a leader to register with.
            gw.group.wake();
        }
        // Before a first document lets callers in.
        if let Some(told) = &seen.evacuations {
            gw.take_evacuations(told);
        }
        if let Some(told) = &seen.quarantine {
            gw.quarantines.take(told);
        }
        if seen.lead.is_some() {
            gw.trials.note_heard(gw.now());
        }
        if let Some(told) = &seen.rollouts {
            gw.take_rollouts(told);
        }
        documents::take::<D>(gw, from, seen.version, seen.part);
        gw.share.meet(gw.settings.link, &seen.peers);
        if let Some(areas) = &seen.areas {
            take_areas(gw, from, areas);
        }
        if let Some(few) = seen.few {
            gw.limits.set_few(gw.now(), few);
        }
        gw.take_replicas(seen.replicas);
        if let Some(packed) = &seen.packed {
            take_packed(gw, from, packed);
        }
        gw.limits.told(gw, &seen.limits);
        let controls = || seen.controls.iter().filter_map(|a| a.parse().ok());
        gw.group.learn(controls());
        if let Some(lead) = &seen.lead
            && let Ok(leader) = lead.address.parse()
        {
            gw.group.point_to(lead.term, leader);
        }
        follow_all::<D>(gw, controls());
    }

    fn lost(&self, from: SocketAddr) {
        self.gw.sources.borrow_mut().record_failure(self.gw.now(), from);
        documents::lost(&self.gw, from);
        self.gw.share.homes.lost(from);
        emit!(Event::LinkFailed, address = from);
    }

    async fn urged(&self) {
        self.urge.wished().await;
    }
}

fn nearness(gw: &Gateway, data_centre: &str) -> Nearness {
    let base = &gw.settings.base;
    match base.regions.same_region(&base.data_centre, data_centre) {
        _ if base.data_centre == data_centre => Nearness::DataCentre,
        true => Nearness::Region,
        false => Nearness::Far,
    }
}

/// Takes a compressed list of replicas.
fn take_packed(gw: &Gateway, from: SocketAddr, packed: &[u8]) {
    match packed::unpack_value::<Vec<Record>>(packed) {
        Ok(records) => gw.take_replicas(records),
        Err(e) => emit!(Event::MessageBad, peer = from, why = e),
    }
}

/// Takes the gateways of all data centres into use, and gives back the tokens of budgets whose home
/// this gateway is no longer.
fn take_areas(gw: &Gateway, from: SocketAddr, areas: &[DataCentreRouters]) {
    let homes = &gw.share.homes;
    let base = &gw.settings.base;
    homes.set(from, &base.data_centre, &base.regions, areas);
    gw.share.meet_near(gw.settings.link);
    gw.limits.set_areas(gw.now(), areas);
    let own = gw.settings.link;
    let is_elsewhere = |budget: &str| {
        let all = homes.of(gw.now(), own, budget);
        !all.is_empty() && !all.contains(&own)
    };
    if let Some(token_store) = gw.token_store() {
        token_store.recall_where(is_elsewhere);
    }
}

/// Registers for tokens, and follows what is called back, for as long as the process runs.
pub async fn register_forever(gw: Rc<Gateway>) {
    // The first registration follows a process that had ended before this one started. A later one
    // follows this process's own, whose tokens are given up before it is asked for.
    let mut begun = gw.now();
    loop {
        if let Some(old) = gw.take_token_store() {
            old.retire();
            begun = gw.now();
        }
        let holder = register(&gw, begun).await;
        let token_store = Rc::new(TokenStore::new(holder, gw.group.clone(), None, gw.clock));
        let every = {
            let gw = gw.clone();
            move || gw.report_every()
        };
        actix_rt::spawn(token_store.clone().tally_forever(every));
        gw.set_token_store(token_store);
        follow_as(&gw, holder).await;
    }
}

async fn register(gw: &Gateway, begun: Time) -> HolderId {
    let base = &gw.settings.base;
    let nonce = rand::random();
    // Its predecessor was dead for as long as this process has been running when it is registered.
    let register = || Command::Register {
        vm: base.vm.clone(),
        data_centre: base.data_centre.clone(),
        address: gw.settings.listen.to_string(),
        nonce,
        age: gw.now().since(begun),
        link: gw.settings.link.to_string(),
    };
    loop {
        if let Ok(Answer::Registered(holder)) =
            gw.group.command_anew(register, REGISTER_WITHIN).await
        {
            emit!(Event::RouterRegistered, holder = holder);
            return holder;
        }
        emit!(Event::ControlLost);
        sleep(PAUSE).await;
    }
}

/// Follows until the registration is no longer known.
async fn follow_as(gw: &Gateway, holder: HolderId) {
    let mut reached = true;
    loop {
        // Only what is called back is asked for here; the rest comes from every control process.
        let q = Query::Follow { holder, version: Version::MAX, sites: NO_SITES };
        let answer = gw.group.query(&q, FOLLOW_WITHIN).await;
        let now_reached = matches!(answer, Ok(Reply::News(_)));
        if now_reached != reached {
            emit!(if now_reached { Event::ControlFound } else { Event::ControlLost });
        }
        reached = now_reached;
        let Some(token_store) = gw.token_store() else { return };
        token_store.set_away(!reached);
        match answer {
            Ok(Reply::News(news)) if news.stranger => return,
            Ok(Reply::News(news)) => {
                news.recalls.iter().for_each(|b| token_store.recall(b));
            }
            _ => sleep(PAUSE).await,
        }
    }
}
