//! The client of a control group. It finds the leader and retries calls until a deadline.
//!
//! All commands are idempotent, so a call whose response is lost is sent again.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cypressfork_core::code::Code;
use cypressfork_core::command::{Answer, Command};
use cypressfork_core::query::{Query, Reply};
use cypressfork_core::unit::Term;
use cypressfork_wire::{Ask, Call, Frame, Return, body};
use rand::Rng;
use tokio::sync::{Mutex, Notify, mpsc, oneshot};
use tokio::time::{Instant, sleep, timeout_at};

use crate::emit;
use crate::event::Event;
use crate::link::{self, Credentials, Link};

/// Maximum number of calls queued for a link.
const MAX_QUEUED_CALLS: usize = 1024;

/// Timeout of one try. The next one opens a new link.
const TRY_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout for opening a link before another control process is tried. A suspended process still accepts
/// connections but does not complete the handshake.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);

/// Initial and maximum backoff between tries, before jitter. It doubles with each try.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(200));

/// Maximum number of addresses kept besides those of the settings. A region has fewer control
/// processes.
const MAX_LEARNED_ADDRESSES: usize = 64;

/// Senders for the responses of calls in flight, by call id.
type PendingCalls = Rc<RefCell<HashMap<i64, oneshot::Sender<Return>>>>;

/// An open link to a control process.
#[derive(Clone)]
struct OpenLink {
    address: SocketAddr,
    tx: mpsc::Sender<Frame>,
    pending: PendingCalls,
}

struct Inner {
    credentials: Credentials,
    addresses: RefCell<Vec<SocketAddr>>,
    /// Addresses received from other processes, oldest first.
    learned: RefCell<VecDeque<SocketAddr>>,
    next_index: Cell<usize>,
    /// Address of the leader, if known, for the next link.
    leader_hint: Cell<Option<SocketAddr>>,
    /// Newest term whose leader is known.
    term: Cell<Term>,
    last_id: Cell<i64>,
    link: RefCell<Option<OpenLink>>,
    /// Held while a link is opened, so that concurrent calls share it.
    opening: Mutex<()>,
    /// Number of calls of [`GroupClient::retry_now`].
    wake_count: Cell<u64>,
    woken: Notify,
}

/// The client of one control group. Clones share one link.
#[derive(Clone)]
pub struct GroupClient {
    inner: Rc<Inner>,
}

impl GroupClient {
    /// Creates a client that starts with some addresses of the group.
    pub fn new(credentials: Credentials, addresses: Vec<SocketAddr>) -> GroupClient {
        let inner = Inner {
            credentials,
            addresses: RefCell::new(addresses),
            learned: RefCell::default(),
            next_index: Cell::new(0),
            leader_hint: Cell::new(None),
            term: Cell::new(0),
            last_id: Cell::new(0),
            link: RefCell::new(None),
            opening: Mutex::new(()),
            wake_count: Cell::new(0),
            woken: Notify::new(),
        };
        GroupClient { inner: Rc::new(inner) }
    }

    /// Replaces the addresses that came from the settings. Those of [`GroupClient::add_addresses`] stay.
    pub fn set_addresses(&self, addresses: Vec<SocketAddr>) {
        *self.inner.addresses.borrow_mut() = addresses;
    }

    /// Adds addresses received from other processes. They matter once none of the addresses in the
    /// settings belongs to the group any more. Only the newest 64 are kept.
    pub fn add_addresses(&self, addresses: impl IntoIterator<Item = SocketAddr>) {
        let mut learned = self.inner.learned.borrow_mut();
        for a in addresses {
            if !learned.contains(&a) {
                learned.push_back(a);
            }
        }
        while learned.len() > MAX_LEARNED_ADDRESSES {
            learned.pop_front();
        }
    }

    /// Sets the leader of `term`. If the term is newer than the last one set, a link to another process is
    /// dropped and its pending calls are retried at the leader at once. A process that lost power sends
    /// no error, so they would otherwise wait for their timeouts.
    pub fn set_leader(&self, term: Term, leader: SocketAddr) {
        if term <= self.inner.term.get() {
            return;
        }
        self.inner.term.set(term);
        let mut link = self.inner.link.borrow_mut();
        if link.as_ref().is_some_and(|l| l.address == leader) {
            return;
        }
        self.inner.leader_hint.set(Some(leader));
        if let Some(old) = link.take() {
            // Dropping the senders fails the pending calls, which then retry.
            old.pending.borrow_mut().clear();
        }
    }

    /// Makes the calls that are in backoff retry at once, for when the group is known to respond again.
    pub fn retry_now(&self) {
        self.inner.wake_count.set(self.inner.wake_count.get() + 1);
        self.inner.woken.notify_waiters();
    }

    /// Waits before the next try of a call, at most until [`GroupClient::retry_now`] is called. Returns
    /// whether it was called since `wake_count` was read.
    async fn pause(&self, wake_count: u64, pause: Duration) -> bool {
        if self.inner.wake_count.get() == wake_count {
            tokio::select! {
                () = sleep(pause) => {}
                () = self.inner.woken.notified() => {}
            }
        }
        self.inner.wake_count.get() != wake_count
    }

    /// Sends a command and returns its answer once it is committed.
    ///
    /// Retries until `within` has passed, then fails with the code of the last try. Fails at once with an
    /// error that a retry cannot change.
    pub async fn command(&self, c: &Command, within: Duration) -> Result<Answer, Code> {
        let bytes = self.call(Ask::Command(body::pack(c)), within).await?;
        body::unpack(&bytes).map_err(|_| Code::MessageBad)
    }

    /// Like [`GroupClient::command`], but builds the command again for each try, because it contains the
    /// current time.
    pub async fn command_with(
        &self,
        build: impl Fn() -> Command,
        within: Duration,
    ) -> Result<Answer, Code> {
        let bytes = self.call_with(|| Ask::Command(body::pack(&build())), within).await?;
        body::unpack(&bytes).map_err(|_| Code::MessageBad)
    }

    /// Sends a query and returns the reply. Fails like [`GroupClient::command`].
    pub async fn query(&self, q: &Query, within: Duration) -> Result<Reply, Code> {
        let bytes = self.call(Ask::Query(body::pack(q)), within).await?;
        body::unpack(&bytes).map_err(|_| Code::MessageBad)
    }

    /// Sends a request to the leader and returns the body of the response. Retries until `within` has
    /// passed.
    pub async fn call(&self, ask: Ask, within: Duration) -> Result<Vec<u8>, Code> {
        self.call_with(|| ask.clone(), within).await
    }

    async fn call_with(&self, build: impl Fn() -> Ask, within: Duration) -> Result<Vec<u8>, Code> {
        let deadline = Instant::now() + within;
        let mut backoff = BACKOFF.0;
        loop {
            let end = deadline.min(Instant::now() + TRY_TIMEOUT);
            let wake_count = self.inner.wake_count.get();
            let code = match self.try_once(build(), end).await {
                Ok(bytes) => return Ok(bytes),
                Err(code) if is_final(code) => return Err(code),
                Err(code) => code,
            };
            let pause = backoff.mul_f64(rand::rng().random_range(0.5..1.5));
            if Instant::now() + pause >= deadline {
                return Err(code);
            }
            let woken = self.pause(wake_count, pause).await;
            backoff = if woken { BACKOFF.0 } else { (backoff * 2).min(BACKOFF.1) };
        }
    }

    /// Sends a request once, on the open link or a new one.
    async fn try_once(&self, ask: Ask, end: Instant) -> Result<Vec<u8>, Code> {
        let link = self.open_link(end).await?;
        let id = self.inner.last_id.get() + 1;
        self.inner.last_id.set(id);
        let (tx, rx) = oneshot::channel();
        link.pending.borrow_mut().insert(id, tx);
        let call = Frame::Call(Call::new(id, ask, None));
        if link.tx.try_send(call).is_err() {
            link.pending.borrow_mut().remove(&id);
            self.drop_link(&link);
            return Err(Code::LinkBroken);
        }
        match timeout_at(end, rx).await {
            Ok(Ok(r)) => self.handle_return(&link, r),
            Ok(Err(_)) => {
                self.drop_link(&link);
                Err(Code::LinkBroken)
            }
            Err(_) => {
                link.pending.borrow_mut().remove(&id);
                self.drop_link(&link);
                Err(Code::NoQuorum)
            }
        }
    }

    /// Returns the body of a response, or its error. Drops the link if the process is not the leader.
    fn handle_return(&self, link: &OpenLink, r: Return) -> Result<Vec<u8>, Code> {
        let code = Code::ALL.iter().find(|c| i32::from(c.number()) == r.code);
        match code {
            None if r.code == 0 => Ok(r.body.unwrap_or_default()),
            Some(Code::NotLeader) => {
                self.inner.leader_hint.set(r.leader.and_then(|a| a.parse().ok()));
                self.drop_link(link);
                Err(Code::NotLeader)
            }
            Some(c) => Err(*c),
            None => Err(Code::MessageBad),
        }
    }

    /// Drops the link if it is still the current one.
    fn drop_link(&self, old: &OpenLink) {
        let mut link = self.inner.link.borrow_mut();
        if link.as_ref().is_some_and(|l| l.tx.same_channel(&old.tx)) {
            *link = None;
        }
    }

    /// Returns the current link, or opens one to the next address.
    async fn open_link(&self, end: Instant) -> Result<OpenLink, Code> {
        let _guard = self.inner.opening.lock().await;
        if let Some(l) = &*self.inner.link.borrow() {
            return Ok(l.clone());
        }
        let address = self.next_address().ok_or(Code::NoQuorum)?;
        let end = end.min(Instant::now() + OPEN_TIMEOUT);
        match timeout_at(end, link::connect(address, &self.inner.credentials)).await {
            Ok(Ok(link)) => Ok(self.adopt_link(address, link)),
            Ok(Err(e)) => {
                emit!(Event::LinkFailed, address = address, why = e);
                Err(Code::LinkBroken)
            }
            Err(_) => Err(Code::NoQuorum),
        }
    }

    /// Returns the leader if it is known, else the next of all known addresses in turn.
    fn next_address(&self) -> Option<SocketAddr> {
        if let Some(a) = self.inner.leader_hint.take() {
            return Some(a);
        }
        let configured = self.inner.addresses.borrow();
        let learned = self.inner.learned.borrow();
        let all = || configured.iter().chain(learned.iter().filter(|a| !configured.contains(a)));
        let index = self.inner.next_index.get();
        self.inner.next_index.set(index + 1);
        all().nth(index % all().count().max(1)).copied()
    }

    /// Makes a link the current one and starts its task.
    fn adopt_link(&self, address: SocketAddr, link: Link) -> OpenLink {
        let (tx, rx) = mpsc::channel(MAX_QUEUED_CALLS);
        let pending = PendingCalls::default();
        let open = OpenLink { address, tx, pending: pending.clone() };
        *self.inner.link.borrow_mut() = Some(open.clone());
        actix_rt::spawn(run_link(link, rx, pending));
        open
    }

    /// Returns the address of the control process that the client has a link to, if any.
    pub fn connected_address(&self) -> Option<SocketAddr> {
        self.inner.link.borrow().as_ref().map(|l| l.address)
    }
}

/// Returns whether a retry would end with the same error.
fn is_final(code: Code) -> bool {
    !matches!(code, Code::NotLeader | Code::NoQuorum | Code::LinkBroken | Code::QueueFull)
}

/// Sends queued calls and delivers the responses to their callers, until the link breaks.
async fn run_link(link: Link, mut rx: mpsc::Receiver<Frame>, pending: PendingCalls) {
    let Link { mut reader, mut writer, .. } = link;
    let send = async {
        while let Some(f) = rx.recv().await {
            if writer.send(&f).await.is_err() {
                break;
            }
        }
    };
    let receive = async {
        while let Ok(Frame::Answer(r)) = reader.next().await {
            let caller = pending.borrow_mut().remove(&r.id);
            if let Some(tx) = caller {
                // The caller may have timed out.
                let _ = tx.send(r);
            }
        }
    };
    tokio::select! {
        () = send => {}
        () = receive => {}
    }
    pending.borrow_mut().clear();
}
