//! The client side of watch requests (long polls): follows the replicas, routers and document version
//! that one control process reports.

use std::net::SocketAddr;
use std::time::Duration;

use cypressfork_core::fleet::watch::{Watch, WatchResponse};
use cypressfork_wire::{Ask, Call, Frame, body};
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::link::{self, Credentials, Link};

/// Timeout for opening a link.
const OPEN_TIMEOUT: Duration = Duration::from_millis(600);

/// Timeout for a response. A control process responds within a second, even if nothing has changed.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_700);

/// Delay before a new connection after a failure.
const RECONNECT_DELAY: Duration = Duration::from_millis(250);

/// Supplies the requests of a watch and handles its responses.
pub trait Watcher {
    /// Returns the next request to the control process at `to`. `None` ends the watch.
    fn next_request(&self, to: SocketAddr) -> Option<Watch>;
    /// Handles a response.
    fn handle_response(&self, from: SocketAddr, response: WatchResponse);
    /// Handles a request that the control process refused; the link is closed after it.
    fn handle_refusal(&self, _from: SocketAddr) {}
    /// Handles a failed connection or a broken link.
    fn handle_disconnect(&self, from: SocketAddr);
    /// Waits until the next request must be sent although the last one has no response yet.
    fn poll_requested(&self) -> impl Future<Output = ()>;
}

/// Watches the control process at `address` until [`Watcher::next_request`] returns `None`. Reconnects
/// after failures.
pub async fn watch(address: SocketAddr, credentials: Credentials, watcher: impl Watcher) {
    while watcher.next_request(address).is_some() {
        if let Ok(Ok(link)) = timeout(OPEN_TIMEOUT, link::connect(address, &credentials)).await {
            poll(link, address, &watcher).await;
        }
        watcher.handle_disconnect(address);
        sleep(RECONNECT_DELAY).await;
    }
}

/// Sends requests on a link until it breaks. Responses arrive in the order of the requests. A response to
/// a superseded request is handled too, because its sender will not repeat the changes in it.
async fn poll(link: Link, address: SocketAddr, watcher: &impl Watcher) {
    let Link { mut reader, mut writer, .. } = link;
    let mut id = 0;
    let mut due = true;
    let mut deadline = Instant::now() + RESPONSE_TIMEOUT;
    loop {
        let response = reader.next();
        tokio::pin!(response);
        let result = loop {
            if due {
                let Some(request) = watcher.next_request(address) else { return };
                id += 1;
                let call = Frame::Call(Call::new(id, Ask::Watch(body::pack(&request)), None));
                if writer.send(&call).await.is_err() {
                    return;
                }
                deadline = Instant::now() + RESPONSE_TIMEOUT;
            }
            tokio::select! {
                result = timeout_at(deadline, &mut response) => break result,
                () = watcher.poll_requested() => due = true,
            }
        };
        let Ok(Ok(Frame::Answer(r))) = result else { return };
        if r.code != 0 {
            return watcher.handle_refusal(address);
        }
        let response = r.body.as_deref().and_then(|b| body::unpack::<WatchResponse>(b).ok());
        let Some(response) = response else { return };
        watcher.handle_response(address, response);
        due = r.id == id;
    }
}
