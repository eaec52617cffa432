//! The clients' connections of a process: tells a connection when it has to make room.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cypressfork_core::fleet::client_table::{
    ClientTable, CloseReason, Closed, ConnectionId, Full, ListenerId,
};
use cypressfork_core::unit::{Millis, Time};
use cypressfork_node::event::Event;
use cypressfork_node::time::Clock;
use cypressfork_node::{emit, metric};
use metrics::{counter, gauge};
use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, sleep};

use super::exchanges::{ExchangeGuard, Exchanges};
use super::signal::CutSignal;

/// Receive buffer of a client's connection in bytes. Bytes that have arrived use memory of the process before they
/// are read.
pub const RECEIVE_BUFFER: usize = 32 * 1024;

/// Pause after a long head, as a multiple of the time that decoding it took. Serving its request takes a few times as
/// long as decoding it.
const LONG_HEAD_PAUSE: u32 = 16;

/// Connections that are accepted in a row before the open ones have their turn.
pub const ACCEPTED_IN_ROW: usize = 16;

/// Time from when much memory has become free until it is returned to the system.
const RELEASE_DELAY: Duration = Duration::from_secs(2);

/// Minimum interval between two log lines about connections that were closed.
const LOG_INTERVAL: Millis = Millis::seconds(1);

/// The connections that were closed to make room since the last log line.
#[derive(Default)]
struct ClosedCount {
    connections: Cell<u64>,
    memory: Cell<u64>,
    refused: Cell<u64>,
    logged_at: Cell<Option<Time>>,
}

/// The connections of clients of a process.
pub struct Clients {
    clock: Clock,
    table: RefCell<ClientTable>,
    signals: RefCell<HashMap<ConnectionId, Rc<CloseSignal>>>,
    closed: ClosedCount,
    long_heads: Arc<Semaphore>,
    /// Whether free memory is about to be returned to the system.
    is_releasing: Cell<bool>,
}

/// Tells a connection that it has to be closed.
#[derive(Default)]
struct CloseSignal {
    /// For any reason.
    any: CutSignal,
    /// At once, because its listener has too many.
    at_once: CutSignal,
}

impl Clients {
    /// Returns a table for connections for which at most `max_bytes` are held.
    pub fn new(clock: Clock, max_bytes: u64) -> Rc<Clients> {
        Rc::new(Clients {
            clock,
            table: RefCell::new(ClientTable::new(max_bytes)),
            signals: RefCell::default(),
            closed: ClosedCount::default(),
            long_heads: Arc::new(Semaphore::new(1)),
            is_releasing: Cell::new(false),
        })
    }

    /// Adds a listener that may have `max_connections` at once.
    pub fn add_listener(self: &Rc<Self>, max_connections: usize) -> ClientListener {
        let id = self.table.borrow_mut().add_listener(max_connections);
        ClientListener { clients: self.clone(), id, exchanges: Rc::default() }
    }

    fn close(&self, closed: Closed) {
        let (count, reason) = match closed.reason {
            CloseReason::Connections => (&self.closed.connections, "connections"),
            CloseReason::Memory => (&self.closed.memory, "memory"),
        };
        count.set(count.get() + 1);
        counter!(metric::CLIENTS_CLOSED, "reason" => reason).increment(1);
        if let Some(close) = self.signals.borrow().get(&closed.id) {
            close.any.set();
            if closed.reason == CloseReason::Connections {
                close.at_once.set();
            }
        }
        self.log_closed();
    }

    fn refuse(&self) {
        self.closed.refused.set(self.closed.refused.get() + 1);
        counter!(metric::CLIENTS_CLOSED, "reason" => "refused").increment(1);
        self.log_closed();
    }

    fn log_closed(&self) {
        let now = self.clock.now();
        let c = &self.closed;
        if c.logged_at.get().is_some_and(|at| now.since(at) < LOG_INTERVAL) {
            return;
        }
        c.logged_at.set(Some(now));
        emit!(
            Event::ClientsClosed,
            connections = c.connections.take(),
            memory = c.memory.take(),
            refused = c.refused.take(),
            held = self.table.borrow().held_bytes(),
        );
    }

    /// Closes connections until the bytes held for the others are within the bound.
    fn make_room(&self) {
        loop {
            let closed = self.table.borrow_mut().next_closed(self.clock.now());
            let Some(closed) = closed else { break };
            self.close(closed);
        }
        gauge!(metric::HELD_FOR_REQUESTS).set(self.table.borrow().held_bytes() as f64);
    }

    /// Returns free memory to the system soon, if there is much.
    fn release_memory(self: &Rc<Self>) {
        if !self.table.borrow().is_release_due() || self.is_releasing.replace(true) {
            return;
        }
        let clients = self.clone();
        actix_rt::spawn(async move {
            sleep(RELEASE_DELAY).await;
            clients.is_releasing.set(false);
            // Others may use it by now.
            if clients.table.borrow().is_release_due() {
                clients.table.borrow_mut().record_release();
                cypressfork_heap::release();
            }
        });
    }
}

/// A listener of a process for clients.
#[derive(Clone)]
pub struct ClientListener {
    clients: Rc<Clients>,
    id: ListenerId,
    exchanges: Rc<Exchanges>,
}

impl ClientListener {
    /// Sets the socket options of a listener, which its connections inherit.
    ///
    /// # Errors
    /// Fails if the system does not support the options.
    pub fn configure(listener: &TcpListener) -> io::Result<()> {
        SockRef::from(listener).set_recv_buffer_size(RECEIVE_BUFFER)
    }

    /// Returns the exchanges under way on the listener's connections.
    pub fn exchanges(&self) -> Rc<Exchanges> {
        self.exchanges.clone()
    }

    /// Returns the account of a connection that was accepted, and closes another one for it if there are too many.
    ///
    /// # Errors
    /// Fails if the connection has to be closed itself.
    pub fn register(&self) -> Result<ConnectionAccount, Full> {
        let clients = &self.clients;
        let opened = clients.table.borrow_mut().open(clients.clock.now(), self.id);
        let (id, closed) = opened.inspect_err(|_| clients.refuse())?;
        if let Some(closed) = closed {
            clients.close(closed);
        }
        let close = Rc::<CloseSignal>::default();
        clients.signals.borrow_mut().insert(id, close.clone());
        Ok(ConnectionAccount {
            clients: clients.clone(),
            id,
            close,
            exchanges: self.exchanges.clone(),
            exchange: None,
        })
    }
}

/// The turn of a long head. The next one comes once the process had time for other work.
pub struct LongHeadTurn {
    permit: Option<OwnedSemaphorePermit>,
    started: Instant,
}

impl Drop for LongHeadTurn {
    fn drop(&mut self) {
        let (permit, pause) = (self.permit.take(), self.started.elapsed() * LONG_HEAD_PAUSE);
        actix_rt::spawn(async move {
            sleep(pause).await;
            drop(permit);
        });
    }
}

/// The account of a connection. Dropping it releases what it holds.
pub struct ConnectionAccount {
    clients: Rc<Clients>,
    id: ConnectionId,
    close: Rc<CloseSignal>,
    exchanges: Rc<Exchanges>,
    exchange: Option<ExchangeGuard>,
}

impl ConnectionAccount {
    /// Returns whether the connection closes after its response.
    pub fn is_closing(&self) -> bool {
        self.exchanges.is_closing()
    }

    /// Records that a request has begun to arrive.
    pub fn begin_exchange(&mut self) {
        let exchanges = &self.exchanges;
        self.exchange.get_or_insert_with(|| exchanges.begin());
    }

    /// Records that the connection is idle: no request has begun to arrive since the last response was sent.
    pub fn end_exchange(&mut self) {
        self.exchange = None;
    }

    /// Waits for the turn to decode a long head, which takes much of the processor.
    pub async fn long_head_turn(&self) -> LongHeadTurn {
        // The semaphore is never closed.
        let permit = self.clients.long_heads.clone().acquire_owned().await.ok();
        LongHeadTurn { permit, started: Instant::now() }
    }

    /// Records that the client sent or accepted bytes, and that `held` bytes are held for it.
    pub fn record_progress(&self, held: usize) {
        let now = self.clients.clock.now();
        self.clients.table.borrow_mut().record_progress(now, self.id, held as u64);
        self.clients.make_room();
    }

    /// Returns whether `bytes` more may be held.
    pub fn has_room(&self, bytes: usize) -> bool {
        self.clients.table.borrow().has_room(bytes as u64)
    }

    /// Records that `held` bytes are held.
    pub fn record_held(&self, held: usize) {
        self.clients.table.borrow_mut().record_held(self.id, held as u64);
        self.clients.make_room();
    }

    /// Records that a whole request was received, which uses `held` bytes while it is being served.
    ///
    /// # Errors
    /// Fails if there is too little memory.
    pub fn begin_request(&self, held: usize) -> Result<(), Full> {
        let now = self.clients.clock.now();
        let begun = self.clients.table.borrow_mut().begin_request(now, self.id, held as u64);
        begun.inspect_err(|_| self.clients.refuse())?;
        self.clients.make_room();
        Ok(())
    }

    /// Records that the request is no longer being served; `held` bytes of its response are left to send.
    pub fn end_request(&self, held: usize) {
        let now = self.clients.clock.now();
        self.clients.table.borrow_mut().end_request(now, self.id, held as u64);
        self.clients.make_room();
    }

    /// Returns whether the connection has to be closed.
    pub fn is_closed(&self) -> bool {
        self.close.any.is_set()
    }

    /// Returns whether the connection has to be closed because its listener has too many.
    pub fn is_crowded_out(&self) -> bool {
        self.close.at_once.is_set()
    }

    /// Waits until the connection has to be closed because its listener has too many.
    pub async fn wait_crowded_out(&self) {
        self.close.at_once.wait().await;
    }

    /// Waits until the connection has to be closed.
    pub async fn wait_closed(&self) {
        self.close.any.wait().await;
    }
}

impl Drop for ConnectionAccount {
    fn drop(&mut self) {
        self.clients.table.borrow_mut().remove(self.id);
        self.clients.signals.borrow_mut().remove(&self.id);
        self.clients.release_memory();
    }
}
