//! The document in force at a gateway, and the newer one that is on its way.

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
use cypressfork_wire::packed;
use tokio::time::sleep;

use super::state::Gateway;

/// How often it is looked whether a control process lets a fetch wait.
const LOOK_EVERY: Duration = Duration::from_millis(200);

/// How long after the last word of any control process a gateway may be behind. One that is in
/// reach answers within a second.
const SURE_FOR: Millis = Millis(2_000);

/// What a gateway knows of documents.
#[derive(Default)]
pub struct Documents {
    in_force: RefCell<Option<Rc<Routes>>>,
    since: Cell<Time>,
    heard: Cell<Time>,
    fetch: RefCell<Fetch>,
    assembly: RefCell<Assembly>,
    /// A task looks after the fetch under way.
    watched: Cell<bool>,
}

impl Documents {
    /// The document in force; none since the start.
    pub fn in_force(&self) -> Option<Rc<Routes>> {
        self.in_force.borrow().clone()
    }

    /// Its version; 0 for none.
    pub fn held(&self) -> Version {
        self.in_force.borrow().as_ref().map_or(0, |r| r.version())
    }

    /// Version of the document that the control process at `address` is known to have, or that is
    /// in force here.
    pub fn version_at(&self, address: SocketAddr) -> Version {
        self.held().max(self.fetch.borrow().version_at(address))
    }

    /// What to ask of the control process at `address`, if the newer document is fetched there.
    pub fn want(&self, address: SocketAddr) -> Option<PartRequest> {
        let fetched = self.fetch.borrow().is_source(address);
        fetched.then(|| self.assembly.borrow().want(self.held()))
    }

    /// Whether somebody has told of a newer document than the one in force here.
    pub fn is_behind(&self) -> bool {
        self.fetch.borrow().latest_version() > self.held()
    }

    /// Whether a newer document may be in force elsewhere that this gateway has not heard of: no
    /// control process has said anything for a while.
    pub fn is_cut_off(&self, now: Time) -> bool {
        now.since(self.heard.get()) > SURE_FOR
    }

    /// By which document a request was judged, for logs.
    pub fn describe(&self, now: Time) -> String {
        let span = now.since(self.since.get()).0;
        format!("by document {}, in force for {span} ms", self.held())
    }
}

/// Whether a newer document could lead to another answer than this one.
pub fn depends_on_document(code: Code) -> bool {
    matches!(code, Code::RouteUnknown | Code::KeyMissing | Code::KeyUnknown)
}

/// Takes the word of a control process that it has the document of `version`, and a part of it.
pub fn take<F: DocumentFormat>(
    gw: &Rc<Gateway>,
    from: SocketAddr,
    version: Version,
    part: Option<Part>,
) {
    let docs = &gw.documents;
    docs.heard.set(gw.now());
    if let Some(part) = part {
        take_part::<F>(gw, from, part);
    }
    let first = docs.fetch.borrow_mut().record_version(from, version);
    if first && version > docs.held() {
        emit!(Event::DocumentKnown, version = version, from = from, held = docs.held());
    }
    ask_next(gw, None);
}

/// Notes that a control process is out of reach.
pub fn lost(gw: &Rc<Gateway>, from: SocketAddr) {
    let given_up = gw.documents.fetch.borrow_mut().drop_source(gw.now(), from);
    if let Some(g) = given_up {
        give_up(gw, g, "the link failed");
    }
}

fn give_up(gw: &Rc<Gateway>, g: AbandonedSource, why: &str) {
    let has = gw.documents.assembly.borrow().want(0).offset;
    emit!(Event::DocumentGivenUp, from = g.from, after_ms = g.after.0, has = has, why = why);
    ask_next(gw, Some(g.from));
}

/// Asks a control process for a newer document, if there is one that nobody is asked for.
fn ask_next(gw: &Rc<Gateway>, after: Option<SocketAddr>) {
    let docs = &gw.documents;
    let held = docs.held();
    let Some(address) = docs.fetch.borrow_mut().choose_source(gw.now(), held, after) else {
        return;
    };
    let has = docs.assembly.borrow().want(held).offset;
    let version = docs.fetch.borrow().version_at(address);
    emit!(Event::DocumentAsked, version = version, from = address, held = held, has = has);
    gw.urge(address);
    if !docs.watched.replace(true) {
        actix_rt::spawn(look_after_fetch(gw.clone()));
    }
}

/// Asks elsewhere whenever a part does not come in time, until nothing is fetched any more.
async fn look_after_fetch(gw: Rc<Gateway>) {
    while gw.documents.fetch.borrow().is_active() {
        sleep(LOOK_EVERY).await;
        let given_up = gw.documents.fetch.borrow_mut().take_overdue(gw.now());
        if let Some(g) = given_up {
            give_up(&gw, g, "it took too long");
        }
    }
    gw.documents.watched.set(false);
}

fn take_part<F: DocumentFormat>(gw: &Gateway, from: SocketAddr, part: Part) {
    let docs = &gw.documents;
    docs.fetch.borrow_mut().record_progress(gw.now(), from);
    let taken = docs.assembly.borrow_mut().take(docs.held(), part);
    match taken {
        PartOutcome::Complete(bytes) => {
            docs.fetch.borrow_mut().finish();
            put_in_force::<F>(gw, &bytes);
        }
        PartOutcome::Corrupt => emit!(Event::MessageBad, peer = from, why = "a document's digest"),
        PartOutcome::Incomplete | PartOutcome::Ignored => {}
    }
}

/// Puts a document in force if it is newer than the present one.
fn put_in_force<F: DocumentFormat>(gw: &Gateway, bytes: &[u8]) {
    let held = gw.documents.held();
    let source = match packed::unpack(bytes) {
        Ok(source) => source,
        Err(e) => return emit!(Event::MessageBad, why = e),
    };
    match F::parse(&source) {
        Ok(d) if d.version > held => {
            emit!(
                Event::DocumentSeen,
                version = d.version,
                before = held,
                bytes = source.len(),
                packed = bytes.len(),
            );
            gw.documents.since.set(gw.now());
            *gw.documents.in_force.borrow_mut() = Some(Rc::new(Routes::new(d)));
            gw.notify();
        }
        Ok(_) => {}
        // The control process has checked it: another release of this program reads it otherwise.
        Err(e) => emit!(Event::ConfigRefused, code = e.code.number(), why = e.reason),
    }
}
