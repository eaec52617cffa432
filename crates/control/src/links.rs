//! The links of a control process: accepted ones, and those to the other members.

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

/// Sends messages to the member at `address` until `rx` is closed, and reconnects when the link breaks.
/// `own` is the address under which the member reaches this process.
pub(crate) async fn send_messages(
    address: String,
    own: String,
    me: Credentials,
    mut rx: mpsc::Receiver<Message>,
) {
    let Ok(to) = address.parse::<SocketAddr>() else { return };
    while !rx.is_closed() {
        match link::connect(to, &me).await {
            Ok(mut link) => forward(&mut link.writer, &own, &mut rx).await,
            Err(e) => emit!(Event::LinkFailed, address = to, why = e),
        }
        sleep(RETRY_DELAY).await;
        // Messages queued for the broken link are out of date.
        while rx.try_recv().is_ok() {}
    }
}

/// Sends messages on one link until it breaks or `rx` is closed.
async fn forward(writer: &mut Writer, own: &str, rx: &mut mpsc::Receiver<Message>) {
    while let Some(m) = rx.recv().await {
        if writer.send(&Frame::Raft(from_raft(&m, own))).await.is_err() {
            return;
        }
    }
}
