//! The links of a control process: accepted ones, and those to the other members.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use cypressfork_core::keep_alive::{Action, KeepAlive, TICK_INTERVAL};
use cypressfork_core::raft::Message;
use cypressfork_node::event::Event;
use cypressfork_node::link::{self, Credentials, Link, Writer};
use cypressfork_node::time::Clock;
use cypressfork_node::{emit, metric, silence};
use cypressfork_wire::{Ask, Call, Frame, from_raft, into_raft};
use metrics::counter;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc};
use tokio::time::{MissedTickBehavior, interval, sleep};

use crate::server::{Input, MAX_QUEUED_MESSAGES, ReplyTo};

/// Delay before a failed connection or accept is retried.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts links from routers, operators and other control processes.
pub(crate) async fn accept_links(listener: TcpListener, me: Credentials, tx: mpsc::Sender<Input>) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                actix_rt::spawn(serve_link(stream, from, me.clone(), tx.clone()));
            }
            // Probably out of file descriptors, which are freed as links close.
            Err(_) => sleep(RETRY_DELAY).await,
        }
    }
}

/// Reads the messages of one accepted link into `tx` until the link breaks or the server stops.
async fn serve_link(stream: TcpStream, from: SocketAddr, me: Credentials, tx: mpsc::Sender<Input>) {
    // Without the options, the link of a peer that is gone occupies memory for longer.
    let _ = silence::RELAXED.apply(&stream);
    let link = match link::accept(stream, &me).await {
        Ok(link) => link,
        Err(e) => return emit!(Event::LinkRefused, address = from, why = e),
    };
    emit!(Event::LinkOpened, peer = link.peer, address = from);
    let Link { peer, mut reader, writer } = link;
    let (answers, rx) = mpsc::channel(MAX_QUEUED_MESSAGES);
    let writer_task = actix_rt::spawn(write_frames(writer, rx));
    let reason = loop {
        let input = match reader.next().await {
            Ok(Frame::Call(c)) => Input::Call(c.ask, ReplyTo { id: c.id, tx: answers.clone() }),
            Ok(Frame::Raft(m)) => match (m.reply_to.clone(), into_raft(m)) {
                (reply_to, Ok(m)) => Input::Raft(m, reply_to),
                (_, Err(e)) => {
                    emit!(Event::MessageInvalid, peer = peer, why = e);
                    break e.to_string();
                }
            },
            Ok(_) => break "an unexpected message".to_owned(),
            Err(e) => break e.to_string(),
        };
        if tx.send(input).await.is_err() {
            break "the process is stopping".to_owned();
        }
    };
    writer_task.abort();
    emit!(Event::LinkClosed, peer = peer, why = reason);
}

/// Writes answers to a link until one cannot be sent.
async fn write_frames(mut writer: Writer, mut rx: mpsc::Receiver<Frame>) {
    while let Some(f) = rx.recv().await {
        if let Err(e) = writer.send(&f).await {
            return emit!(Event::LinkSlow, why = e);
        }
    }
}

/// Sends messages to the member at `address` until `rx` is closed, and reconnects when the link breaks or falls
/// silent. `own` is the address under which the member reaches this process.
pub(crate) async fn send_messages(
    address: String,
    own: String,
    me: Credentials,
    clock: Clock,
    mut rx: mpsc::Receiver<Message>,
) {
    let Ok(to) = address.parse::<SocketAddr>() else { return };
    while !rx.is_closed() {
        match link::connect(to, &me).await {
            Ok(link) => match forward(link, &own, clock, &mut rx).await {
                Broken::Failed => {}
                Broken::Silent => {
                    counter!(metric::SILENT_LINKS).increment(1);
                    emit!(Event::LinkSilent, address = to);
                }
            },
            Err(e) => emit!(Event::LinkFailed, address = to, why = e),
        }
        sleep(RETRY_DELAY).await;
        // Messages queued for the broken link are out of date.
        while rx.try_recv().is_ok() {}
    }
}

/// Why messages are no longer sent on a link.
enum Broken {
    /// It has ended, or the process stops.
    Failed,
    /// The peer has not answered a probe.
    Silent,
}

/// Sends messages on one link until it breaks, falls silent or `rx` is closed.
async fn forward(link: Link, own: &str, clock: Clock, rx: &mut mpsc::Receiver<Message>) -> Broken {
    let Link { mut reader, mut writer, .. } = link;
    let keep_alive = RefCell::new(KeepAlive::new(clock.now()));
    let probe_due = Notify::new();
    let send = async {
        loop {
            let f = tokio::select! {
                m = rx.recv() => match m {
                    Some(m) => Frame::Raft(from_raft(&m, own)),
                    None => return,
                },
                () = probe_due.notified() => probe(),
            };
            if writer.send(&f).await.is_err() {
                return;
            }
        }
    };
    let receive = async {
        while reader.next().await.is_ok() {
            keep_alive.borrow_mut().record_answer();
        }
    };
    let watch = async {
        let mut ticks = interval(Duration::from_millis(TICK_INTERVAL.0));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let action = keep_alive.borrow_mut().tick(clock.now());
            match action {
                Action::Wait => {}
                Action::Probe => probe_due.notify_one(),
                Action::GiveUp => return,
            }
        }
    };
    tokio::select! {
        () = send => Broken::Failed,
        () = receive => Broken::Failed,
        () = watch => Broken::Silent,
    }
}

/// Returns a call that every process answers by itself, those of earlier releases too.
fn probe() -> Frame {
    Frame::Call(Call::new(0, Ask::Identify(true), None))
}
