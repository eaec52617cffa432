//! HTTP/1.1 server.

use std::convert::Infallible;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use actix_http::{HttpService, KeepAlive, Request, Response};
use actix_service::{Service, ServiceFactory};
use cypressfork_node::silence;
use tokio::net::TcpListener;
use tokio::time::sleep;

use crate::Body;

/// Timeout for reading the headers of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after which an idle connection is closed.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(75);

/// Pause after a failure to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections until the process ends and answers every request with `handle`.
pub async fn serve<F, R>(listener: TcpListener, handle: F)
where
    F: Fn(Request) -> R + Clone + 'static,
    R: Future<Output = Response<Body>> + 'static,
{
    let http = HttpService::build()
        .client_request_timeout(HEAD_TIMEOUT)
        .keep_alive(KeepAlive::Timeout(KEEP_ALIVE_TIMEOUT))
        .finish(move |req: Request| {
            let response = handle(req);
            async move { Ok::<_, Infallible>(response.await) }
        })
        .tcp();
    let Ok(service) = http.new_service(()).await else { return };
    let service = Rc::new(service);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // Small chunks of a stream must be sent without delay.
                let _: io::Result<()> = stream.set_nodelay(true);
                // Without the options, a connection of a client that is gone stays open for longer.
                let _: io::Result<()> = silence::RELAXED.apply(&stream);
                let service = service.clone();
                actix_rt::spawn(async move {
                    // An error of one connection does not affect the others.
                    let _ = service.call(stream).await;
                });
            }
            // Usually the process has too many open files: wait until some are closed.
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }
}
