//! Following one control process: what it knows of replicas, routers and the document in force.

use std::net::SocketAddr;
use std::time::Duration;

use cypressfork_core::fleet::watch::{Watch, WatchResponse};
use cypressfork_wire::{Ask, Call, Frame, body};
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::link::{self, Credentials, Link};

/// How long a link may take to open. One that was cut off needs no longer than a fresh one.
const OPEN_WITHIN: Duration = Duration::from_millis(600);

/// How long an answer may take; a control process answers within a second.
const ANSWER_WITHIN: Duration = Duration::from_millis(1_700);

/// How long to wait after a failed try.
const PAUSE: Duration = Duration::from_millis(250);

/// What follows a control process.
pub trait Watcher {
    /// The question to put next; `None` ends the watch.
    fn question(&self, to: SocketAddr) -> Option<Watch>;
    /// Takes an answer.
    fn seen(&self, from: SocketAddr, seen: WatchResponse);
    /// The control process is out of reach.
    fn lost(&self, from: SocketAddr);
    /// Waits until the next question is to be put though the last is not answered yet.
    fn urged(&self) -> impl Future<Output = ()>;
}

/// Follows the control process at `address` until there is no question left.
pub async fn watch(address: SocketAddr, me: Credentials, watcher: impl Watcher) {
    while watcher.question(address).is_some() {
        if let Ok(Ok(link)) = timeout(OPEN_WITHIN, link::connect(address, &me)).await {
            ask_on(link, address, &watcher).await;
        }
        watcher.lost(address);
        sleep(PAUSE).await;
    }
}

/// Asks again and again until the link breaks. Answers come in the order of the questions. One to a
/// question that a later one has overtaken is taken as well: its sender counts the news as told.
async fn ask_on(link: Link, address: SocketAddr, watcher: &impl Watcher) {
    let Link { mut reader, mut writer, .. } = link;
    let mut id = 0;
    let mut due = true;
    let mut until = Instant::now() + ANSWER_WITHIN;
    loop {
        let answer = reader.next();
        tokio::pin!(answer);
        let answer = loop {
            if due {
                let Some(question) = watcher.question(address) else { return };
                id += 1;
                let call = Frame::Call(Call::new(id, Ask::Watch(body::pack(&question)), None));
                if writer.send(&call).await.is_err() {
                    return;
                }
                until = Instant::now() + ANSWER_WITHIN;
            }
            tokio::select! {
                answer = timeout_at(until, &mut answer) => break answer,
                () = watcher.urged() => due = true,
            }
        };
        let Ok(Ok(Frame::Answer(r))) = answer else { return };
        let seen = r.body.as_deref().and_then(|b| body::unpack::<WatchResponse>(b).ok());
        let Some(seen) = seen.filter(|_| r.code == 0) else { return };
        watcher.seen(address, seen);
        due = r.id == id;
    }
}
