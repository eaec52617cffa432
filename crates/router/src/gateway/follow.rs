//! The watches on the control processes, and the registration for tokens.
//!
//! Every control process sends replica records, the document in force and the addresses of the other
//! control processes. The registration and the recalls of leased tokens come from the leader.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cypressfork_core::command::{Answer, Command};
use cypressfork_core::fleet::registry::Record;
use cypressfork_core::fleet::router_directory::DataCentreRouters;
use cypressfork_core::fleet::sources::Nearness;
use cypressfork_core::fleet::watch::{RouterStatus, Watch, WatchResponse};
use cypressfork_core::query::{NO_SITES, Query, Reply};
use cypressfork_core::unit::{HolderId, Time, Version};
use cypressfork_node::emit;
use cypressfork_node::event::Event;
use cypressfork_node::metric;
use cypressfork_node::poll_trigger::PollTrigger;
use cypressfork_node::watch::{Watcher, watch};
use cypressfork_wire::compression;
use metrics::counter;
use tokio::time::sleep;

use super::dialect::Dialect;
use super::documents;
use super::state::Gateway;
use crate::token_store::TokenStore;

/// Timeout of one attempt to register.
const REGISTER_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout of the long poll for recalls.
const RECALLS_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Delay after a failed attempt.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Watches the control processes at `addresses` and all others that they list, each in its own task.
/// Those already watched are skipped.
pub fn watch_all<D: Dialect>(gw: &Rc<Gateway>, addresses: impl IntoIterator<Item = SocketAddr>) {
    for address in addresses {
        if gw.watches.borrow().contains_key(&address) {
            continue;
        }
        let poll_trigger = Rc::new(PollTrigger::default());
        gw.sources.borrow_mut().add(gw.now(), address);
        gw.watches.borrow_mut().insert(address, poll_trigger.clone());
        let watcher =
            ControlWatcher::<D> { gw: gw.clone(), poll_trigger, dialect: std::marker::PhantomData };
        actix_rt::spawn(watch(address, gw.credentials.clone(), watcher));
    }
}

/// Sends the watch requests of the gateway to one control process and applies its responses.
struct ControlWatcher<D> {
    gw: Rc<Gateway>,
    /// Triggers the next watch request before the current response arrives.
    poll_trigger: Rc<PollTrigger>,
    dialect: std::marker::PhantomData<D>,
}

impl<D: Dialect> Watcher for ControlWatcher<D> {
    fn next_request(&self, to: SocketAddr) -> Option<Watch> {
        let gw = &self.gw;
        self.poll_trigger.clear();
        let router = RouterStatus {
            vm: gw.settings.base.vm.clone(),
            data_centre: gw.settings.base.data_centre.clone(),
            address: gw.settings.listen.to_string(),
            link: gw.settings.link_advertise.to_string(),
            open: gw.is_open(),
            busy: gw.is_busy(),
            version: gw.documents.version(),
        };
        counter!(metric::WATCH_REQUESTS).increment(1);
        let feed = gw.feeds.borrow().get(&to).copied().unwrap_or_default();
        let version = gw.documents.version_at(to);
        let fetch = gw.documents.part_request(to);
        let areas = gw.peers.homes.digest_for(to);
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
            rollouts: gw.rollouts.revision(),
            reports: gw.rollouts.reports(),
            heard: if without_replicas { Vec::new() } else { gw.limits.take_due_reports(gw.now()) },
            leaving: if without_replicas { Vec::new() } else { gw.signals.pending_reports() },
            hears: Some(Vec::new()),
            confirm: (!without_replicas).then(|| gw.origins.confirm_request(gw.now())),
            few: gw.limits.small_data_centres_digest(gw.peers.homes.digest_for(to)),
        })
    }

    fn handle_response(&self, from: SocketAddr, response: WatchResponse) {
        let gw = &self.gw;
        gw.sources.borrow_mut().record_response(gw.now(), from, response.lead.is_some());
        if !response.data_centre.is_empty() {
            gw.sources.borrow_mut().set_nearness(
                gw.now(),
                from,
                nearness(gw, &response.data_centre),
            );
        }
        gw.feeds.borrow_mut().insert(from, response.feed);
        gw.set_router_count(response.routers);
        if response.part.is_some() {
            // A document has been committed, so there is a leader to register with.
            gw.group.retry_now();
        }
        // These precede the document, because the first document opens the gateway to callers.
        if let Some(evacuations) = &response.evacuations {
            gw.apply_evacuations(evacuations);
        }
        if let Some(quarantine) = &response.quarantine {
            gw.quarantines.update(quarantine);
        }
        if response.lead.is_some() {
            gw.rollouts.record_contact(gw.now());
        }
        if let Some(rollouts) = &response.rollouts {
            gw.apply_rollouts(rollouts);
        }
        let has_leader = response.lead.is_some();
        documents::record_response::<D>(gw, from, has_leader, response.version, response.part);
        gw.peers.add(gw.settings.link_advertise, &response.peers);
        if let Some(areas) = &response.areas {
            apply_router_lists(gw, from, areas);
        }
        if let Some(few) = response.few {
            gw.limits.set_small_data_centres(gw.now(), few);
        }
        gw.apply_control_records(response.replicas);
        if let Some(packed) = &response.packed {
            apply_packed_records(gw, from, packed);
        }
        if response.lead.is_some()
            && let (Some(c), Some(followed_for)) = (&response.confirmed, response.complete_for)
        {
            gw.origins.record_confirmation(c, followed_for);
        }
        gw.origins.send_due(gw);
        gw.limits.apply_reports(gw, &response.limits);
        let controls = || response.controls.iter().filter_map(|a| a.parse().ok());
        gw.group.add_addresses(controls());
        if let Some(lead) = &response.lead
            && let Ok(leader) = lead.address.parse()
        {
            gw.group.set_leader(lead.term, leader);
        }
        watch_all::<D>(gw, controls());
    }

    fn handle_disconnect(&self, from: SocketAddr) {
        self.gw.sources.borrow_mut().record_failure(self.gw.now(), from);
        documents::record_failure(&self.gw, from);
        self.gw.peers.homes.record_failure(from);
        emit!(Event::LinkFailed, address = from);
    }

    async fn poll_requested(&self) {
        self.poll_trigger.triggered().await;
    }
}

/// Returns how near a control process in `data_centre` is to this gateway.
fn nearness(gw: &Gateway, data_centre: &str) -> Nearness {
    let base = &gw.settings.base;
    match base.regions.same_region(&base.data_centre, data_centre) {
        _ if base.data_centre == data_centre => Nearness::DataCentre,
        true => Nearness::Region,
        false => Nearness::Far,
    }
}

/// Applies a compressed list of replica records.
fn apply_packed_records(gw: &Gateway, from: SocketAddr, packed: &[u8]) {
    match compression::decompress_value::<Vec<Record>>(packed) {
        Ok(records) => gw.apply_control_records(records),
        Err(e) => emit!(Event::MessageInvalid, peer = from, why = e),
    }
}

/// Applies the gateways of all data centres, and returns the tokens of budgets for which this gateway is no
/// longer a home.
fn apply_router_lists(gw: &Gateway, from: SocketAddr, routers: &[DataCentreRouters]) {
    let homes = &gw.peers.homes;
    let base = &gw.settings.base;
    homes.update(from, &base.data_centre, &base.regions, routers);
    gw.peers.update_from_homes(gw.settings.link_advertise);
    gw.limits.set_large_data_centres(gw.now(), routers);
    let own = gw.settings.link_advertise;
    let is_elsewhere = |budget: &str| {
        let all = homes.for_budget(gw.now(), own, budget);
        !all.is_empty() && !all.contains(&own)
    };
    if let Some(token_store) = gw.token_store() {
        token_store.return_idle_where(is_elsewhere);
    }
}

/// Registers for tokens and processes their recalls, and registers anew whenever the registration is no
/// longer known. Never returns.
pub async fn register_forever(gw: Rc<Gateway>) {
    // The previous registration of this VM spends no tokens from this time on. At the first registration it
    // is that of a process that ended before this one started; later it is this process's own, whose token
    // store is retired before the new request.
    let mut predecessor_ended = gw.now();
    loop {
        if let Some(old) = gw.take_token_store() {
            old.retire();
            predecessor_ended = gw.now();
        }
        let holder = register(&gw, predecessor_ended).await;
        let token_store = Rc::new(TokenStore::new(holder, gw.group.clone(), None, gw.clock));
        let report_interval = {
            let gw = gw.clone();
            move || gw.report_interval()
        };
        actix_rt::spawn(token_store.clone().send_reports_forever(report_interval));
        gw.set_token_store(token_store);
        process_recalls(&gw, holder).await;
    }
}

/// Registers for tokens, retrying until it succeeds. Returns the holder id of the registration.
async fn register(gw: &Gateway, predecessor_ended: Time) -> HolderId {
    let base = &gw.settings.base;
    let nonce = rand::random();
    // `age` is the time since the predecessor's end, which grows with each attempt.
    let register = || Command::Register {
        vm: base.vm.clone(),
        data_centre: base.data_centre.clone(),
        address: gw.settings.listen.to_string(),
        nonce,
        age: gw.now().since(predecessor_ended),
        link: gw.settings.link_advertise.to_string(),
    };
    loop {
        if let Ok(Answer::Registered(holder)) =
            gw.group.command_with(register, REGISTER_TIMEOUT).await
        {
            emit!(Event::RouterRegistered, holder = holder);
            return holder;
        }
        emit!(Event::ControlUnreachable);
        sleep(RETRY_DELAY).await;
    }
}

/// Receives and applies recalls until the registration is no longer known.
async fn process_recalls(gw: &Gateway, holder: HolderId) {
    let mut is_reachable = true;
    loop {
        // The highest version and no sites limit the response to recalls. The rest comes with the watches.
        let q = Query::Follow { holder, version: Version::MAX, sites: NO_SITES };
        let answer = gw.group.query(&q, RECALLS_TIMEOUT).await;
        let answered = matches!(answer, Ok(Reply::News(_)));
        if answered != is_reachable {
            emit!(if answered { Event::ControlReachable } else { Event::ControlUnreachable });
        }
        is_reachable = answered;
        let Some(token_store) = gw.token_store() else { return };
        token_store.set_group_unreachable(!is_reachable);
        match answer {
            Ok(Reply::News(news)) if news.stranger => return,
            Ok(Reply::News(news)) => {
                news.recalls.iter().for_each(|budget| token_store.return_idle(budget));
            }
            _ => sleep(RETRY_DELAY).await,
        }
    }
}
