//! The links of a control process: those that it accepts, and those to the other replicas.

use std::net::SocketAddr;
use std::time::Duration;

use cypressfork_core::raft::Message;
use cypressfork_node::emit;
use cypressfork_node::event::Event;
use cypressfork_node::link::{self, Credentials, Link, Writer};
use cypressfork_wire::{Frame, from_raft, into_raft};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::server::{Input, MAX_QUEUED_MESSAGES, ReplyTo};

/// How long to wait before a peer that cannot be reached is tried again.
const RECONNECT: Duration = Duration::from_millis(50);

/// Accepts links from routers, operators and other control processes.
pub(crate) async fn accept_all(listener: TcpListener, me: Credentials, tx: mpsc::Sender<Input>) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                actix_rt::spawn(serve(stream, from, me.clone(), tx.clone()));
            }
            // Out of descriptors, most likely: those in use come free again.
            Err(_) => sleep(RECONNECT).await,
        }
    }
}

async fn serve(stream: TcpStream, from: SocketAddr, me: Credentials, tx: mpsc::Sender<Input>) {
    let link = match link::accept(stream, &me).await {
        Ok(link) => link,
        Err(e) => return emit!(Event::LinkRefused, address = from, why = e),
    };
    emit!(Event::LinkOpened, peer = link.peer, address = from);
    let Link { peer, mut reader, writer } = link;
    let (answers, rx) = mpsc::channel(MAX_QUEUED_MESSAGES);
    let writing = actix_rt::spawn(write_all(writer, rx));
    let why = loop {
        let input = match reader.next().await {
            Ok(Frame::Call(c)) => Input::Call(c.ask, ReplyTo { id: c.id, tx: answers.clone() }),
            Ok(Frame::Raft(m)) => match (m.reply_to.clone(), into_raft(m)) {
                (reply_to, Ok(m)) => Input::Raft(m, reply_to),
                (_, Err(e)) => {
                    emit!(Event::MessageBad, peer = peer, why = e);
                    break e.to_string();
                }
            },
            Ok(_) => break "an unexpected message".to_owned(),
            Err(e) => break e.to_string(),
        };
        if tx.send(input).await.is_err() {
            break "the process stops".to_owned();
        }
    };
    writing.abort();
    emit!(Event::LinkClosed, peer = peer, why = why);
}

async fn write_all(mut writer: Writer, mut rx: mpsc::Receiver<Frame>) {
    while let Some(f) = rx.recv().await {
        if let Err(e) = writer.send(&f).await {
            return emit!(Event::LinkSlow, why = e);
        }
    }
}

/// Sends to one replica, connecting again whenever the link breaks.
pub(crate) async fn send_all(
    address: String,
    own: String,
    me: Credentials,
    mut rx: mpsc::Receiver<Message>,
) {
    let Ok(to) = address.parse::<SocketAddr>() else { return };
    while !rx.is_closed() {
        match link::connect(to, &me).await {
            Ok(mut link) => pump(&mut link.writer, &own, &mut rx).await,
            Err(e) => emit!(Event::LinkFailed, address = to, why = e),
        }
        sleep(RECONNECT).await;
        // What waits for a broken link is out of date.
        while rx.try_recv().is_ok() {}
    }
}

async fn pump(writer: &mut Writer, own: &str, rx: &mut mpsc::Receiver<Message>) {
    while let Some(m) = rx.recv().await {
        if writer.send(&Frame::Raft(from_raft(&m, own))).await.is_err() {
            return;
        }
    }
}
