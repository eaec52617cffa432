//! A control process's fleet side without its group: it answers standing questions from what the
//! test puts into it, and everything else as one that does not lead.

use std::net::{SocketAddr, TcpListener as StdListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use cypressfork_control::fleet_view::{FleetView, WatchedState};
use cypressfork_core::code::Code;
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

/// How often it looks for answers that are due.
const TICK: Duration = Duration::from_millis(5);

/// Answers of this size hold a document, or a part of one.
const LARGE: usize = 8 * 1024;

/// Answers that may wait for one link.
const QUEUE: usize = 64;

/// What the test puts in and reads off.
#[derive(Default)]
pub struct Inside {
    /// The document in force: its version and source.
    pub document: Mutex<(u64, String)>,
    /// Large answers are never sent.
    pub withholds: Mutex<bool>,
    /// Nothing is ever sent.
    pub silent: Mutex<bool>,
    /// Standing questions that have come.
    pub questions: AtomicUsize,
}

/// A running stand-in, for as long as the test process lives.
pub struct Control {
    pub address: SocketAddr,
    pub inside: Arc<Inside>,
}

struct ReplyTo {
    id: i64,
    tx: queue::Sender<Frame>,
}

impl Control {
    pub fn start() -> Control {
        let inside = Arc::new(Inside::default());
        let (tx, rx) = mpsc::channel();
        let shared = inside.clone();
        thread::spawn(move || actix_rt::System::new().block_on(serve(shared, tx)));
        Control { address: rx.recv().unwrap(), inside }
    }

    pub fn publish(&self, version: u64, source: &str) {
        *self.inside.document.lock().unwrap() = (version, source.to_owned());
    }
}

async fn serve(inside: Arc<Inside>, address: mpsc::Sender<SocketAddr>) {
    let listener = StdListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    address.send(listener.local_addr().unwrap()).unwrap();
    let listener = TcpListener::from_std(listener).unwrap();
    let (tx, mut rx) = queue::channel(QUEUE);
    let mut view = FleetView::new(1, Millis::seconds(1));
    let clock = Clock::start();
    let count = inside.clone();
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            actix_rt::spawn(read(stream, tx.clone(), count.clone()));
        }
    });
    loop {
        while let Ok((bytes, to)) = rx.try_recv() {
            let bytes: Vec<u8> = bytes;
            view.watch(clock.now(), body::unpack(&bytes).unwrap(), to);
        }
        let (version, source) = inside.document.lock().unwrap().clone();
        let registered = Routers::default();
        let (controls, wall) = (Vec::new(), Time(0));
        let evacuations = Evacuations::default();
        let (quarantine, rollouts) = (Quarantine::default(), Rollouts::default());
        let f = WatchedState {
            version,
            source: &source,
            controls,
            wall,
            registered: &registered,
            lead: None,
            data_centre: "tamar-a",
            evacuations: &evacuations,
            quarantine: &quarantine,
            rollouts: &rollouts,
        };
        for (to, seen) in view.due_responses(clock.now(), &f) {
            let bytes = body::pack(&seen);
            let kept_back = bytes.len() >= LARGE && *inside.withholds.lock().unwrap();
            if !kept_back && !*inside.silent.lock().unwrap() {
                let to: ReplyTo = to;
                let _ = to.tx.send(Frame::Answer(Return::new(to.id, 0, bytes, None))).await;
            }
        }
        sleep(TICK).await;
    }
}

async fn read(stream: TcpStream, watches: queue::Sender<(Vec<u8>, ReplyTo)>, inside: Arc<Inside>) {
    let name = "control".to_owned();
    let me = Credentials { key: Key::new(b"test"), cluster: "test".to_owned(), name };
    let Ok(link) = link::accept(stream, &me).await else { return };
    let mut reader = link.reader;
    let (tx, rx) = queue::channel(QUEUE);
    actix_rt::spawn(write(link.writer, rx));
    while let Ok(Frame::Call(c)) = reader.next().await {
        match c.ask {
            Ask::Watch(bytes) => {
                inside.questions.fetch_add(1, Ordering::Relaxed);
                let to = ReplyTo { id: c.id, tx: tx.clone() };
                if watches.send((bytes, to)).await.is_err() {
                    return;
                }
            }
            _ => {
                let no = Return::new(c.id, i32::from(Code::NotLeader.number()), None, None);
                if tx.send(Frame::Answer(no)).await.is_err() {
                    return;
                }
            }
        }
    }
}

async fn write(mut writer: Writer, mut rx: queue::Receiver<Frame>) {
    while let Some(f) = rx.recv().await {
        if writer.send(&f).await.is_err() {
            return;
        }
    }
}
