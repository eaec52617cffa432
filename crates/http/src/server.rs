//! Accepting connections and serving them.

use std::convert::Infallible;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use actix_http::{HttpService, KeepAlive, Request, Response};
use actix_service::{Service, ServiceFactory};
use tokio::net::TcpListener;
use tokio::time::sleep;

use crate::Body;

/// How long a caller may take to send its headers.
const HEAD_WITHIN: Duration = Duration::from_secs(10);

/// How long an idle connection is kept open.
const KEEP_ALIVE: Duration = Duration::from_secs(75);

/// How long to wait when no connection can be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves every connection with `handle`.
pub async fn serve<F, R>(listener: TcpListener, handle: F)
where
    F: Fn(Request) -> R + Clone + 'static,
    R: Future<Output = Response<Body>> + 'static,
{
    let http = HttpService::build()
        .client_request_timeout(HEAD_WITHIN)
        .keep_alive(KeepAlive::Timeout(KEEP_ALIVE))
        .finish(move |req: Request| {
            let answer = handle(req);
            async move { Ok::<_, Infallible>(answer.await) }
        })
        .tcp();
    let Ok(service) = http.new_service(()).await else { return };
    let service = Rc::new(service);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // Small pieces of a stream must not wait for each other.
                let _: io::Result<()> = stream.set_nodelay(true);
                let service = service.clone();
                actix_rt::spawn(async move {
                    // A connection that fails concerns its caller alone.
                    let _ = service.call(stream).await;
                });
            }
            // Out of descriptors, most likely: those in use come free again.
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }
}
