//! The configuration document in force at a gateway, and the fetch of a newer one.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cypressfork_core::code::Code;
use cypressfork_core::fleet::fetch::{AbandonedSource, Fetch};
use cypressfork_core::fleet::format::DocumentFormat;
use cypressfork_core::fleet::routes::Routes;
use cypressfork_core::fleet::transfer::{Assembly, Part, PartOutcome, PartRequest};
use cypressfork_core::unit::{Millis, Time, Version};
use cypressfork_node::emit;
use cypressfork_node::event::Event;
use cypressfork_wire::compression;
use tokio::time::sleep;

use super::state::Gateway;

/// Interval of the check for a fetch that has timed out.
const OVERDUE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Time without a response from any control process that knows its group's leader, after which the gateway
/// counts as cut off. A reachable control process answers within a second.
const CUT_OFF_AFTER: Millis = Millis(2_000);

/// The document in force and the state of the fetch of a newer one.
#[derive(Default)]
pub struct Documents {
    in_force: RefCell<Option<Rc<Routes>>>,
    /// When that document came into force here.
    in_force_since: Cell<Time>,
    /// When a control process that knows its group's leader last answered.
    last_response: Cell<Time>,
    fetch: RefCell<Fetch>,
    assembly: RefCell<Assembly>,
    /// Whether the task that checks the fetch for timeouts is running.
    checker_running: Cell<bool>,
}

impl Documents {
    /// Returns the routes of the document in force; `None` until the first document arrives.
    pub fn in_force(&self) -> Option<Rc<Routes>> {
        self.in_force.borrow().clone()
    }

    /// Returns the version of the document in force; 0 if there is none.
    pub fn version(&self) -> Version {
        self.in_force.borrow().as_ref().map_or(0, |r| r.version())
    }

    /// Returns the higher of the version that the control process at `address` is known to have and the
    /// version in force here.
    pub fn version_at(&self, address: SocketAddr) -> Version {
        self.version().max(self.fetch.borrow().version_at(address))
    }

    /// Returns the request for the next part of the newer document, if it is fetched from the control
    /// process at `address`.
    pub fn part_request(&self, address: SocketAddr) -> Option<PartRequest> {
        let is_source = self.fetch.borrow().is_source(address);
        is_source.then(|| self.assembly.borrow().next_request(self.version()))
    }

    /// Returns whether a control process has announced a newer document than the one in force here.
    pub fn is_behind(&self) -> bool {
        self.fetch.borrow().latest_version() > self.version()
    }

    /// Returns whether no control process that knows its group's leader has answered recently. A newer
    /// document may then be in force elsewhere.
    pub fn is_cut_off(&self, now: Time) -> bool {
        now.since(self.last_response.get()) > CUT_OFF_AFTER
    }

    /// Returns the version of the document in force and its time in force, as text for error messages.
    pub fn describe(&self, now: Time) -> String {
        let span = now.since(self.in_force_since.get()).0;
        format!("by document {}, in force for {span} ms", self.version())
    }
}

/// Returns whether a request refused with this code could succeed under a newer document.
pub fn depends_on_document(code: Code) -> bool {
    matches!(code, Code::RouteUnknown | Code::KeyMissing | Code::KeyUnknown)
}

/// Records a response of the control process at `from`, which has the document of `version` and may know
/// its group's leader. Adds the part of a document in it, if there is one, and starts a fetch if a newer
/// document is available.
pub fn record_response<F: DocumentFormat>(
    gw: &Rc<Gateway>,
    from: SocketAddr,
    has_leader: bool,
    version: Version,
    part: Option<Part>,
) {
    let docs = &gw.documents;
    if has_leader {
        docs.last_response.set(gw.now());
    }
    if let Some(part) = part {
        add_part::<F>(gw, from, part);
    }
    let is_highest = docs.fetch.borrow_mut().record_version(from, version);
    if is_highest && version > docs.version() {
        emit!(Event::DocumentAnnounced, version = version, from = from, held = docs.version());
    }
    start_fetch(gw, None);
}

/// Records that the control process at `from` is unreachable. A fetch from it continues at another one.
pub fn record_failure(gw: &Rc<Gateway>, from: SocketAddr) {
    let abandoned = gw.documents.fetch.borrow_mut().drop_source(gw.now(), from);
    if let Some(source) = abandoned {
        replace_source(gw, source, "the link failed");
    }
}

/// Logs that the fetch from a control process was abandoned, and fetches from another one.
fn replace_source(gw: &Rc<Gateway>, abandoned: AbandonedSource, why: &str) {
    let received = gw.documents.assembly.borrow().next_request(0).offset;
    emit!(
        Event::DocumentTimedOut,
        from = abandoned.from,
        after_ms = abandoned.idle_for.0,
        has = received,
        why = why,
    );
    start_fetch(gw, Some(abandoned.from));
}

/// Starts to fetch a newer document, if one is known and no fetch is in progress. `after` is the source
/// just abandoned.
fn start_fetch(gw: &Rc<Gateway>, after: Option<SocketAddr>) {
    let docs = &gw.documents;
    let current = docs.version();
    let Some(address) = docs.fetch.borrow_mut().choose_source(gw.now(), current, after) else {
        return;
    };
    let received = docs.assembly.borrow().next_request(current).offset;
    let version = docs.fetch.borrow().version_at(address);
    emit!(
        Event::DocumentRequested,
        version = version,
        from = address,
        held = current,
        has = received
    );
    gw.poll_now(address);
    if !docs.checker_running.replace(true) {
        actix_rt::spawn(check_fetch(gw.clone()));
    }
}

/// Moves the fetch to another control process whenever a part times out, until the fetch ends.
async fn check_fetch(gw: Rc<Gateway>) {
    while gw.documents.fetch.borrow().is_active() {
        sleep(OVERDUE_CHECK_INTERVAL).await;
        let abandoned = gw.documents.fetch.borrow_mut().take_overdue(gw.now());
        if let Some(source) = abandoned {
            replace_source(&gw, source, "the request timed out");
        }
    }
    gw.documents.checker_running.set(false);
}

/// Adds a part to the document being assembled, and puts the document in force once it is complete.
fn add_part<F: DocumentFormat>(gw: &Gateway, from: SocketAddr, part: Part) {
    let docs = &gw.documents;
    docs.fetch.borrow_mut().record_progress(gw.now(), from);
    let outcome = docs.assembly.borrow_mut().add(docs.version(), part);
    match outcome {
        PartOutcome::Complete(bytes) => {
            docs.fetch.borrow_mut().finish();
            put_in_force::<F>(gw, &bytes);
        }
        PartOutcome::Corrupt => {
            emit!(
                Event::MessageInvalid,
                peer = from,
                why = "the digest of a document does not match"
            )
        }
        PartOutcome::Incomplete | PartOutcome::Ignored => {}
    }
}

/// Decompresses a document and puts it in force if it is newer than the current one.
fn put_in_force<F: DocumentFormat>(gw: &Gateway, bytes: &[u8]) {
    let current = gw.documents.version();
    let source = match compression::decompress_text(bytes) {
        Ok(source) => source,
        Err(e) => return emit!(Event::MessageInvalid, why = e),
    };
    match F::parse(&source) {
        Ok(d) if d.version > current => {
            emit!(
                Event::DocumentApplied,
                version = d.version,
                before = current,
                bytes = source.len(),
                packed = bytes.len(),
            );
            gw.origins.send_all(gw);
            gw.documents.in_force_since.set(gw.now());
            *gw.documents.in_force.borrow_mut() = Some(Rc::new(Routes::new(d)));
            gw.notify_waiters();
        }
        Ok(_) => {}
        // The control process has validated the document, so it must run another software version.
        Err(e) => emit!(Event::ConfigRefused, code = e.code.number(), why = e.reason),
    }
}
