//! A test double for a control process: it answers watches with the state set by the test, and every other
//! call with `NotLeader`.

use std::net::{SocketAddr, TcpListener as StdListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use cypressfork_control::fleet_view::{FleetView, WatchedState};
use cypressfork_core::code::Code;
use cypressfork_core::fleet::contacts::Leader;
use cypressfork_core::fleet::evacuation::Evacuations;
use cypressfork_core::fleet::quarantine::Quarantine;
use cypressfork_core::fleet::rollout::Rollouts;
use cypressfork_core::member::Routers;
use cypressfork_core::unit::{Millis, Time};
use cypressfork_node::link::{self, Credentials, Writer};
use cypressfork_node::time::Clock;
use cypressfork_wire::auth::Key;
use cypressfork_wire::{Ask, Frame, Return, body};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc as queue;
use tokio::time::sleep;

/// Interval at which due answers are sent.
const TICK: Duration = Duration::from_millis(5);

/// Minimum size, in bytes, of an answer that counts as holding a document or a part of one.
const LARGE_ANSWER: usize = 8 * 1024;

/// Capacity of each queue: watches to the fleet view, and answers to one link.
const QUEUE: usize = 64;

/// State shared with the test.
#[derive(Default)]
pub struct ControlState {
    /// The document in force: its version and source.
    pub document: Mutex<(u64, String)>,
    /// Whether answers of at least `LARGE_ANSWER` bytes are dropped.
    pub withholds_documents: Mutex<bool>,
    /// Whether all answers to watches are dropped.
    pub silent: Mutex<bool>,
    /// Whether it knows no leader of its group.
    pub leaderless: Mutex<bool>,
    /// Number of watches received.
    pub watches: AtomicUsize,
}

/// A running test double; it runs until the test process exits.
pub struct Control {
    pub address: SocketAddr,
    pub state: Arc<ControlState>,
}

struct ReplyTo {
    id: i64,
    tx: queue::Sender<Frame>,
}

impl Control {
    pub fn start() -> Control {
        let state = Arc::new(ControlState::default());
        let (tx, rx) = mpsc::channel();
        let shared = state.clone();
        thread::spawn(move || actix_rt::System::new().block_on(serve(shared, tx)));
        Control { address: rx.recv().unwrap(), state }
    }

    /// Replaces the document in force.
    pub fn publish(&self, version: u64, source: &str) {
        *self.state.document.lock().unwrap() = (version, source.to_owned());
    }
}

async fn serve(state: Arc<ControlState>, address: mpsc::Sender<SocketAddr>) {
    let listener = StdListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    address.send(listener.local_addr().unwrap()).unwrap();
    let listener = TcpListener::from_std(listener).unwrap();
    let (tx, mut rx) = queue::channel(QUEUE);
    let mut view = FleetView::new(1, Millis::seconds(1));
    let clock = Clock::start();
    let link_state = state.clone();
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            actix_rt::spawn(handle_calls(stream, tx.clone(), link_state.clone()));
        }
    });
    loop {
        while let Ok((bytes, to)) = rx.try_recv() {
            let bytes: Vec<u8> = bytes;
            view.watch(clock.now(), body::unpack(&bytes).unwrap(), to);
        }
        let (version, source) = state.document.lock().unwrap().clone();
        let registered = Routers::default();
        let (controls, wall) = (Vec::new(), Time(0));
        let evacuations = Evacuations::default();
        let (quarantine, rollouts) = (Quarantine::default(), Rollouts::default());
        let leader = Leader { term: 1, address: "127.0.0.1:1".to_owned() };
        let knows_leader = !*state.leaderless.lock().unwrap();
        let watched = WatchedState {
            version,
            source: &source,
            controls,
            wall,
            registered: &registered,
            lead: knows_leader.then_some(leader),
            data_centre: "tamar-a",
            evacuations: &evacuations,
            quarantine: &quarantine,
            rollouts: &rollouts,
            since_founding: false,
        };
        for (to, response) in view.due_responses(clock.now(), &watched) {
            let bytes = body::pack(&response);
            let withheld =
                bytes.len() >= LARGE_ANSWER && *state.withholds_documents.lock().unwrap();
            if !withheld && !*state.silent.lock().unwrap() {
                let to: ReplyTo = to;
                let _ = to.tx.send(Frame::Answer(Return::new(to.id, 0, bytes, None))).await;
            }
        }
        sleep(TICK).await;
    }
}

async fn handle_calls(
    stream: TcpStream,
    watches: queue::Sender<(Vec<u8>, ReplyTo)>,
    state: Arc<ControlState>,
) {
    let name = "control".to_owned();
    let credentials = Credentials { key: Key::new(b"test"), cluster: "test".to_owned(), name };
    let Ok(link) = link::accept(stream, &credentials).await else { return };
    let mut reader = link.reader;
    let (tx, rx) = queue::channel(QUEUE);
    actix_rt::spawn(send_answers(link.writer, rx));
    while let Ok(Frame::Call(c)) = reader.next().await {
        match c.ask {
            Ask::Watch(bytes) => {
                state.watches.fetch_add(1, Ordering::Relaxed);
                let to = ReplyTo { id: c.id, tx: tx.clone() };
                if watches.send((bytes, to)).await.is_err() {
                    return;
                }
            }
            _ => {
                let refusal = Return::new(c.id, i32::from(Code::NotLeader.number()), None, None);
                if tx.send(Frame::Answer(refusal)).await.is_err() {
                    return;
                }
            }
        }
    }
}

async fn send_answers(mut writer: Writer, mut rx: queue::Receiver<Frame>) {
    while let Some(f) = rx.recv().await {
        if writer.send(&f).await.is_err() {
            return;
        }
    }
}
