//! The origins of streams at a gateway: stores where its own streams began, keeps the origins of other
//! gateways' streams, and finds those of streams that callers resume. `core::fleet::origin` says why.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use cypressfork_core::code::Code;
use cypressfork_core::fleet::document::Route;
use cypressfork_core::fleet::origin::{Origin, OriginRecord, Origins, REFRESH_INTERVAL, StreamId};
use cypressfork_core::fleet::peer::{PeerReply, PeerRequest};
use cypressfork_core::fleet::registry::Record;
use cypressfork_core::fleet::routes::Routes;
use cypressfork_core::fleet::software::SoftwareVersions;
use cypressfork_core::fleet::watch::{ConfirmRequest, Confirmation};
use cypressfork_core::unit::{Millis, Time};
use cypressfork_node::event::Event;
use cypressfork_node::{emit, metric};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use metrics::counter;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

use super::routed_request::RoutedRequest;
use super::state::Gateway;
use crate::reply::Refusal;

/// Maximum number of streams whose origins are stored, about 10 MB.
const MAX_STREAMS: usize = 32_768;

/// Maximum number of origins in one message, about 30 kB.
const MAX_BATCH: usize = 256;

/// Time within which keepers respond.
const FIND_TIMEOUT: Duration = Duration::from_millis(150);

/// Time for which further keepers are awaited where the stream may continue without its origin.
const SHORT_FIND_TIMEOUT: Duration = Duration::from_millis(20);

/// Time within which a control process confirms that this gateway has all replicas.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which a confirmation is requested again.
const CONFIRM_RETRY_INTERVAL: Millis = Millis(100);

/// `Retry-After` while this gateway does not know all replicas, or nobody confirms that it does.
const INCOMPLETE_RETRY_AFTER: Millis = Millis(400);

/// The origins that this gateway knows, and the software versions by which it decides who has to know them.
pub struct StreamOrigins {
    known: RefCell<Origins>,
    versions: RefCell<SoftwareVersions>,
    /// Services with origins that the keepers do not have, because the service had a single version.
    unsent_services: RefCell<HashSet<String>>,
    /// When a confirmation was last requested that has not arrived yet.
    requested_at: Cell<Option<Time>>,
    /// Notified when a confirmation has arrived.
    confirmed: Notify,
}

impl Default for StreamOrigins {
    fn default() -> StreamOrigins {
        StreamOrigins {
            known: RefCell::new(Origins::new(MAX_STREAMS)),
            versions: RefCell::default(),
            unsent_services: RefCell::default(),
            requested_at: Cell::default(),
            confirmed: Notify::new(),
        }
    }
}

/// What shows where a resumed stream began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OriginGround {
    /// This gateway stored its origin.
    Own,
    /// Another gateway stored its origin.
    Keeper,
    /// Its service has a single version.
    SingleVersion,
}

impl OriginGround {
    /// Returns its label in metrics and log lines.
    pub fn label(self) -> &'static str {
        match self {
            OriginGround::Own => "own",
            OriginGround::Keeper => "keeper",
            OriginGround::SingleVersion => "single_version",
        }
    }
}

/// Why the origin of a resumed stream is not known.
struct UnknownOrigin {
    why: &'static str,
    /// Whether it may be known a little later.
    may_change: bool,
}

impl From<&'static str> for UnknownOrigin {
    fn from(why: &'static str) -> UnknownOrigin {
        UnknownOrigin { why, may_change: false }
    }
}

/// The origin of a stream that this gateway forwards.
#[derive(Clone, Debug)]
pub struct ForwardedStream {
    /// Version of the replica that brought the last event.
    pub version: String,
    stored_at: Time,
}

impl ForwardedStream {
    /// Returns whether the origin has to be stored again, so that it does not expire.
    pub fn is_due(&self, now: Time) -> bool {
        now.since(self.stored_at) >= REFRESH_INTERVAL
    }
}

impl StreamOrigins {
    /// Records the state of a replica.
    pub fn record_replica(&self, now: Time, r: &Record) {
        self.versions.borrow_mut().record(now, r);
    }

    /// Returns the request for a confirmation that goes with a watch sent at `now`.
    pub fn confirm_request(&self, now: Time) -> ConfirmRequest {
        ConfirmRequest { sent_at: now, at_once: self.is_awaiting_confirmation(now) }
    }

    /// Records the confirmation of a control process, see [`SoftwareVersions::record_confirmation`].
    pub fn record_confirmation(&self, c: &Confirmation, followed_for: Millis) {
        self.versions.borrow_mut().record_confirmation(c, followed_for);
        if self.requested_at.get().is_some_and(|at| c.as_of >= at) {
            self.requested_at.set(None);
        }
        self.confirmed.notify_waiters();
    }

    fn is_awaiting_confirmation(&self, now: Time) -> bool {
        self.requested_at.get().is_some_and(|at| now.since(at) < CONFIRM_RETRY_INTERVAL)
    }

    /// Asks the control processes that send replica records for a confirmation, unless one is awaited already.
    fn request_confirmation(&self, gw: &Gateway) {
        let now = gw.now();
        if !self.is_awaiting_confirmation(now) {
            self.requested_at.set(Some(now));
            gw.poll_sources_now();
        }
    }

    /// Waits until a control process confirms that this gateway has all replicas as of `since` or later. Returns
    /// false if none does by `until`.
    async fn wait_confirmed(&self, gw: &Gateway, since: Time, until: Instant) -> bool {
        loop {
            let mut confirmed = pin!(self.confirmed.notified());
            confirmed.as_mut().enable();
            if self.versions.borrow().is_confirmed_since(since) {
                return true;
            }
            if Instant::now() >= until {
                return false;
            }
            self.request_confirmation(gw);
            let retry = Instant::now() + Duration::from_millis(CONFIRM_RETRY_INTERVAL.0);
            let _ = timeout_at(until.min(retry), confirmed).await;
        }
    }

    /// Returns whether the origins of a service's streams may be found out without asking.
    fn has_single_version(&self, now: Time, service: &str) -> bool {
        self.versions.borrow().single(now, service).is_some()
    }

    /// Stores the origin of a stream whose events are about to be forwarded, and sends it to its keepers unless
    /// its service has a single version.
    pub fn store(&self, request: &RoutedRequest, version: &str) -> ForwardedStream {
        let now = request.gw.now();
        let forwarded = ForwardedStream { version: version.to_owned(), stored_at: now };
        let Some(stream) = request.stream_id() else { return forwarded };
        let (route, service) = (request.route.clone(), request.service.clone());
        let origin = Origin { route, service, version: version.to_owned() };
        let record = OriginRecord { stream, origin };
        let stays = request.infers_origin
            && !request.gw.stop.is_requested()
            && self.has_single_version(now, &request.service);
        if !self.known.borrow_mut().store(now, record.clone(), stays) {
            counter!(metric::ORIGINS_DROPPED).increment(1);
        }
        match stays {
            true => {
                self.unsent_services.borrow_mut().insert(request.service.clone());
            }
            false => send(&request.gw, vec![record]),
        }
        forwarded
    }

    /// Sends the origins of streams whose services no longer have a single version to their keepers.
    pub fn send_due(&self, gw: &Gateway) {
        let now = gw.now();
        self.send_unsent(gw, |service| !self.has_single_version(now, service));
    }

    /// Sends all origins to their keepers, because this gateway stops or routes may lead to other services.
    pub fn send_all(&self, gw: &Gateway) {
        self.send_unsent(gw, |_| true);
    }

    fn send_unsent(&self, gw: &Gateway, is_due: impl Fn(&str) -> bool) {
        let due: Vec<_> = {
            let mut services = self.unsent_services.borrow_mut();
            services.extract_if(|s| is_due(s)).collect()
        };
        for service in due {
            let records = self.known.borrow_mut().take_unsent(gw.now(), &service);
            send(gw, records);
        }
    }

    /// Removes versions that no stream can be resumed at.
    pub fn remove_expired(&self, gw: &Gateway) {
        self.versions.borrow_mut().expire(gw.now());
        self.send_due(gw);
    }

    /// Keeps the origins of another gateway's streams.
    pub fn keep(&self, now: Time, records: Vec<OriginRecord>) {
        let mut known = self.known.borrow_mut();
        let dropped = records.into_iter().filter(|r| !known.store(now, r.clone(), false)).count();
        counter!(metric::ORIGINS_DROPPED).increment(dropped as u64);
    }

    /// Returns the origin of a stream, if this gateway knows it.
    pub fn get(&self, now: Time, stream: &StreamId) -> Option<Origin> {
        self.known.borrow().get(now, stream).cloned()
    }

    /// Restricts a request that resumes a stream to the service and the version that began it. Fails if they
    /// are not known or take no requests.
    pub async fn restrict(
        &self,
        request: &mut RoutedRequest,
        routes: &Routes,
        route: &Route,
    ) -> Result<(), Refusal> {
        if !request.is_resumed() {
            return Ok(());
        }
        let gw = request.gw.clone();
        let (origin, ground) = match self.find(request).await {
            Ok(found) => found,
            Err(UnknownOrigin { why, may_change }) => {
                let refusal = self.refuse(request, Code::OriginUnknown, why);
                return Err(match may_change {
                    true => refusal.retry_after(INCOMPLETE_RETRY_AFTER),
                    false => refusal,
                });
            }
        };
        if origin.route != route.name {
            return Err(self.refuse(request, Code::OriginUnknown, "it began on another route"));
        }
        let is_target = route.targets.iter().any(|t| t.service == origin.service && t.weight > 0);
        let Some(backend) = routes.backend(&origin.service).filter(|_| is_target) else {
            return Err(self.refuse(request, Code::VersionGone, "its service left the route"));
        };
        request.set_backend(backend);
        if !gw.may_serve_version(&origin.service, &origin.version) {
            return Err(self.refuse(request, Code::VersionGone, "no replica of its version"));
        }
        request.version = Some(origin.version);
        request.origin_ground = Some(ground);
        counter!(metric::STREAMS_RESUMED, "ground" => ground.label()).increment(1);
        Ok(())
    }

    /// Returns the origin of the stream that a request resumes, or the reason why it is unknown.
    async fn find(&self, request: &RoutedRequest) -> Result<(Origin, OriginGround), UnknownOrigin> {
        let gw = &request.gw;
        let (arrived, until) = (gw.now(), Instant::now() + CONFIRM_TIMEOUT);
        let is_single = request.infers_origin && self.has_single_version(arrived, &request.service);
        let Some(stream) = request.stream_id() else {
            let unknown = UnknownOrigin::from("the caller does not name its first attempt");
            return if is_single {
                self.infer(request, arrived, until).await
            } else {
                Err(unknown)
            };
        };
        if let Some(origin) = self.get(arrived, &stream) {
            return Ok((origin, OriginGround::Own));
        }
        if is_single {
            self.request_confirmation(gw);
        }
        match ask_keepers(request, &stream, is_single).await {
            Found::Origin(origin) => Ok((origin, OriginGround::Keeper)),
            Found::Unknown if is_single => self.infer(request, arrived, until).await,
            Found::Unknown => Err("no gateway knows the attempt that it names".into()),
            // A gateway that is cut off does not hear of a second version.
            Found::NoAnswer => Err("no gateway that may know the attempt answers".into()),
        }
    }

    /// Infers the origin of a stream from the only version of its service. That must be known as of the time at
    /// which the request arrived, because another version may have begun the stream just before.
    async fn infer(
        &self,
        request: &RoutedRequest,
        arrived: Time,
        until: Instant,
    ) -> Result<(Origin, OriginGround), UnknownOrigin> {
        let gw = &request.gw;
        if !self.wait_confirmed(gw, arrived, until.min(request.deadline)).await {
            let why = "no control process confirms that its service has a single version";
            return Err(UnknownOrigin { why, may_change: true });
        }
        let versions = self.versions.borrow();
        let single = versions.single(gw.now(), &request.service);
        let version = single.ok_or("its service has several versions")?.to_owned();
        let (route, service) = (request.route.clone(), request.service.clone());
        Ok((Origin { route, service, version }, OriginGround::SingleVersion))
    }

    /// Returns the refusal of a request that resumes a stream, counts and logs it.
    fn refuse(&self, request: &RoutedRequest, code: Code, why: &'static str) -> Refusal {
        let is_complete = self.versions.borrow().is_complete(request.gw.now());
        let inbound = &request.inbound;
        counter!(metric::STREAMS_NOT_RESUMED, "reason" => why).increment(1);
        emit!(
            Event::StreamNotResumed,
            id = inbound.id,
            resumes = inbound.resumes.as_deref().unwrap_or_default(),
            after = inbound.last_event.unwrap_or_default(),
            service = request.service,
            why = why,
            knows_all_replicas = is_complete,
            origins = self.known.borrow().len(),
        );
        let refusal = Refusal::from(code).detail(why);
        // Without all replicas, one of the version may still be reported.
        match code == Code::VersionGone && !is_complete {
            true => refusal.retry_after(INCOMPLETE_RETRY_AFTER),
            false => refusal,
        }
    }
}

/// Sends origins to their keepers, without waiting for responses. An origin that does not arrive is unknown there.
fn send(gw: &Gateway, records: Vec<OriginRecord>) {
    let lists = gw.peers.relay_lists();
    let own = gw.settings.link_advertise;
    let mut by_keeper: BTreeMap<SocketAddr, Vec<OriginRecord>> = BTreeMap::new();
    for r in records {
        for keeper in r.stream.keepers(own, &lists.near, &lists.far) {
            by_keeper.entry(keeper).or_default().push(r.clone());
        }
    }
    for (keeper, records) in by_keeper {
        for batch in records.chunks(MAX_BATCH) {
            gw.peers.tell(gw, keeper, &PeerRequest::KeepOrigins(batch.to_vec()));
        }
    }
}

/// What the keepers of a stream know.
enum Found {
    Origin(Origin),
    /// Those that answered do not know its origin, or there are no other gateways.
    Unknown,
    NoAnswer,
}

/// Asks the keepers of a stream for its origin until one of them knows it. If the stream may continue without it
/// (`is_optional`), does not wait for all of them.
async fn ask_keepers(request: &RoutedRequest, stream: &StreamId, is_optional: bool) -> Found {
    let gw = &request.gw;
    let own = gw.settings.link_advertise;
    let keepers = stream.asked_keepers(own, gw.peers.data_centres());
    if keepers.is_empty() {
        return Found::Unknown;
    }
    let started = Instant::now();
    let ask = PeerRequest::FindOrigin(stream.clone());
    let answers = keepers.iter().map(|keeper| gw.peers.ask(gw, *keeper, &ask, FIND_TIMEOUT));
    let mut answers: FuturesUnordered<_> = answers.collect();
    let mut found = Found::NoAnswer;
    loop {
        let within = match found {
            Found::Unknown if is_optional => SHORT_FIND_TIMEOUT,
            _ => FIND_TIMEOUT,
        };
        let until = request.deadline.min(started + within);
        match timeout_at(until, answers.next()).await {
            Ok(Some(Some(PeerReply::Origin(Some(origin))))) => return Found::Origin(origin),
            Ok(Some(Some(_))) => found = Found::Unknown,
            Ok(Some(None)) => {}
            Ok(None) | Err(_) => return found,
        }
    }
}
