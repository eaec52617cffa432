//! The client of a control group: finds the leader, resends, gives up at a deadline.
//!
//! Every command can be sent again without harm, so a call whose answer is lost is repeated.

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

/// Messages that may wait for a link.
const QUEUE: usize = 1024;

/// How long one try may take before another replica is asked.
const TRY: Duration = Duration::from_secs(2);

/// How long a replica may take to open a link before another is asked. A frozen one accepts
/// connections and says nothing.
const OPEN_WITHIN: Duration = Duration::from_millis(500);

/// The waits between tries: from the first, doubled up to the second.
const WAIT: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(200));

/// Addresses kept at most beside those of the settings: more than the control processes of a region.
const LEARNED: usize = 64;

type Waiting = Rc<RefCell<HashMap<i64, oneshot::Sender<Return>>>>;

#[derive(Clone)]
struct Live {
    address: SocketAddr,
    tx: mpsc::Sender<Frame>,
    waiting: Waiting,
}

struct Inner {
    me: Credentials,
    addresses: RefCell<Vec<SocketAddr>>,
    /// Addresses that other processes have told of.
    learned: RefCell<VecDeque<SocketAddr>>,
    turn: Cell<usize>,
    hint: Cell<Option<SocketAddr>>,
    /// The newest term of which the leader is known.
    term: Cell<Term>,
    ids: Cell<i64>,
    live: RefCell<Option<Live>>,
    opening: Mutex<()>,
    /// How often it was said that the group answers again.
    wakes: Cell<u64>,
    woken: Notify,
}

/// The client of one control group; clones share a link.
#[derive(Clone)]
pub struct Group {
    inner: Rc<Inner>,
}

impl Group {
    /// A client that knows some of the group's addresses.
    pub fn new(me: Credentials, addresses: Vec<SocketAddr>) -> Group {
        let inner = Inner {
            me,
            addresses: RefCell::new(addresses),
            learned: RefCell::default(),
            turn: Cell::new(0),
            hint: Cell::new(None),
            term: Cell::new(0),
            ids: Cell::new(0),
            live: RefCell::new(None),
            opening: Mutex::new(()),
            wakes: Cell::new(0),
            woken: Notify::new(),
        };
        Group { inner: Rc::new(inner) }
    }

    /// Takes other addresses of the group into use.
    pub fn set_addresses(&self, addresses: Vec<SocketAddr>) {
        *self.inner.addresses.borrow_mut() = addresses;
    }

    /// Takes addresses into use, besides those of the settings, that other processes tell of: the
    /// group may have none of the settings' addresses left.
    pub fn learn(&self, addresses: impl IntoIterator<Item = SocketAddr>) {
        let mut learned = self.inner.learned.borrow_mut();
        for a in addresses {
            if !learned.contains(&a) {
                learned.push_back(a);
            }
        }
        while learned.len() > LEARNED {
            learned.pop_front();
        }
    }

    /// Says who leads the group in `term`. A link to another process is given up if the word is newer
    /// than those before, and the calls that wait on it go on at the leader: one that has lost power
    /// says nothing, and they would wait for the rest of their tries.
    pub fn point_to(&self, term: Term, leader: SocketAddr) {
        if term <= self.inner.term.get() {
            return;
        }
        self.inner.term.set(term);
        let mut live = self.inner.live.borrow_mut();
        if live.as_ref().is_some_and(|l| l.address == leader) {
            return;
        }
        self.inner.hint.set(Some(leader));
        if let Some(old) = live.take() {
            // Who waits is told by that no answer can come any more.
            old.waiting.borrow_mut().clear();
        }
    }

    /// Says that the group answers again: calls that wait for their next try make it now.
    pub fn wake(&self) {
        self.inner.wakes.set(self.inner.wakes.get() + 1);
        self.inner.woken.notify_waiters();
    }

    /// Waits until the next try of a call that failed, unless the group was woken since that began.
    /// Returns whether it was.
    async fn pause(&self, wakes: u64, pause: Duration) -> bool {
        if self.inner.wakes.get() == wakes {
            tokio::select! {
                () = sleep(pause) => {}
                () = self.inner.woken.notified() => {}
            }
        }
        self.inner.wakes.get() != wakes
    }

    /// Has a command committed.
    pub async fn command(&self, c: &Command, within: Duration) -> Result<Answer, Code> {
        let bytes = self.call(Ask::Command(body::pack(c)), within).await?;
        body::unpack(&bytes).map_err(|_| Code::MessageBad)
    }

    /// Has a command committed that is made anew for each try, as it tells the time.
    pub async fn command_anew(
        &self,
        make: impl Fn() -> Command,
        within: Duration,
    ) -> Result<Answer, Code> {
        let bytes = self.call_anew(|| Ask::Command(body::pack(&make())), within).await?;
        body::unpack(&bytes).map_err(|_| Code::MessageBad)
    }

    /// Has a query answered.
    pub async fn query(&self, q: &Query, within: Duration) -> Result<Reply, Code> {
        let bytes = self.call(Ask::Query(body::pack(q)), within).await?;
        body::unpack(&bytes).map_err(|_| Code::MessageBad)
    }

    /// Asks the leader, again and again until `within` has passed.
    pub async fn call(&self, ask: Ask, within: Duration) -> Result<Vec<u8>, Code> {
        self.call_anew(|| ask.clone(), within).await
    }

    async fn call_anew(&self, make: impl Fn() -> Ask, within: Duration) -> Result<Vec<u8>, Code> {
        let deadline = Instant::now() + within;
        let mut wait = WAIT.0;
        loop {
            let end = deadline.min(Instant::now() + TRY);
            let wakes = self.inner.wakes.get();
            let code = match self.try_once(make(), end).await {
                Ok(bytes) => return Ok(bytes),
                Err(code) if is_final(code) => return Err(code),
                Err(code) => code,
            };
            let pause = wait.mul_f64(rand::rng().random_range(0.5..1.5));
            if Instant::now() + pause >= deadline {
                return Err(code);
            }
            let woken = self.pause(wakes, pause).await;
            wait = if woken { WAIT.0 } else { (wait * 2).min(WAIT.1) };
        }
    }

    async fn try_once(&self, ask: Ask, end: Instant) -> Result<Vec<u8>, Code> {
        let live = self.live(end).await?;
        let id = self.inner.ids.get() + 1;
        self.inner.ids.set(id);
        let (tx, rx) = oneshot::channel();
        live.waiting.borrow_mut().insert(id, tx);
        let call = Frame::Call(Call::new(id, ask, None));
        if live.tx.try_send(call).is_err() {
            live.waiting.borrow_mut().remove(&id);
            self.forget(&live);
            return Err(Code::LinkBroken);
        }
        match timeout_at(end, rx).await {
            Ok(Ok(r)) => self.take(&live, r),
            Ok(Err(_)) => {
                self.forget(&live);
                Err(Code::LinkBroken)
            }
            Err(_) => {
                live.waiting.borrow_mut().remove(&id);
                self.forget(&live);
                Err(Code::NoQuorum)
            }
        }
    }

    fn take(&self, live: &Live, r: Return) -> Result<Vec<u8>, Code> {
        let code = Code::ALL.iter().find(|c| i32::from(c.number()) == r.code);
        match code {
            None if r.code == 0 => Ok(r.body.unwrap_or_default()),
            Some(Code::NotLeader) => {
                self.inner.hint.set(r.leader.and_then(|a| a.parse().ok()));
                self.forget(live);
                Err(Code::NotLeader)
            }
            Some(c) => Err(*c),
            None => Err(Code::MessageBad),
        }
    }

    /// Drops the link unless another has taken its place.
    fn forget(&self, old: &Live) {
        let mut live = self.inner.live.borrow_mut();
        if live.as_ref().is_some_and(|l| l.tx.same_channel(&old.tx)) {
            *live = None;
        }
    }

    async fn live(&self, end: Instant) -> Result<Live, Code> {
        let _one = self.inner.opening.lock().await;
        if let Some(l) = &*self.inner.live.borrow() {
            return Ok(l.clone());
        }
        let address = self.next_address().ok_or(Code::NoQuorum)?;
        let end = end.min(Instant::now() + OPEN_WITHIN);
        match timeout_at(end, link::connect(address, &self.inner.me)).await {
            Ok(Ok(link)) => Ok(self.adopt(address, link)),
            Ok(Err(e)) => {
                emit!(Event::LinkFailed, address = address, why = e);
                Err(Code::LinkBroken)
            }
            Err(_) => Err(Code::NoQuorum),
        }
    }

    fn next_address(&self) -> Option<SocketAddr> {
        if let Some(a) = self.inner.hint.take() {
            return Some(a);
        }
        let own = self.inner.addresses.borrow();
        let learned = self.inner.learned.borrow();
        let all = || own.iter().chain(learned.iter().filter(|a| !own.contains(a)));
        let turn = self.inner.turn.get();
        self.inner.turn.set(turn + 1);
        all().nth(turn % all().count().max(1)).copied()
    }

    fn adopt(&self, address: SocketAddr, link: Link) -> Live {
        let (tx, rx) = mpsc::channel(QUEUE);
        let waiting = Waiting::default();
        let live = Live { address, tx, waiting: waiting.clone() };
        *self.inner.live.borrow_mut() = Some(live.clone());
        actix_rt::spawn(pump(link, rx, waiting));
        live
    }

    /// The replica that is asked now.
    pub fn address(&self) -> Option<SocketAddr> {
        self.inner.live.borrow().as_ref().map(|l| l.address)
    }
}

/// Whether asking again would bring the same answer.
fn is_final(code: Code) -> bool {
    !matches!(code, Code::NotLeader | Code::NoQuorum | Code::LinkBroken | Code::QueueFull)
}

/// Sends what is queued and hands out the answers until the link breaks.
async fn pump(link: Link, mut rx: mpsc::Receiver<Frame>, waiting: Waiting) {
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
            let waiter = waiting.borrow_mut().remove(&r.id);
            if let Some(tx) = waiter {
                // The waiter may have given up.
                let _ = tx.send(r);
            }
        }
    };
    tokio::select! {
        () = send => {}
        () = receive => {}
    }
    waiting.borrow_mut().clear();
}
