//! The control process's HTTP side: documents, registrations and answers on where to go.

use std::rc::Rc;
use std::time::Duration;

use actix_http::{Request, Response};
use bytes::BytesMut;
use cypressfork_core::code::Code;
use cypressfork_core::command::{Answer as Committed, Command};
use cypressfork_core::query::{Query, Reply};
use cypressfork_http::Body;
use cypressfork_node::event::Event;
use cypressfork_node::group::Group;
use cypressfork_node::{emit, metric};
use futures_util::StreamExt;
use metrics::counter;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

use crate::dialect::{Answer, Call, Dialect, Incoming};

/// How long a document may take to be committed.
const PUBLISH_WITHIN: Duration = Duration::from_millis(3_500);

/// How long an order about a data centre or a roll-out may take to be committed.
const ORDER_WITHIN: Duration = Duration::from_millis(900);

/// How long a confirmed read may take.
const READ_WITHIN: Duration = Duration::from_millis(900);

/// How long a body may take to arrive.
const BODY_WITHIN: Duration = Duration::from_secs(5);

/// The largest body.
const BODY_CAP: usize = 8 * 1024 * 1024;

/// A call that the process answers out of what it knows itself, and where the answer goes.
pub struct Local {
    /// The call: never one of a document.
    pub call: Call,
    /// Where the answer goes.
    pub to: oneshot::Sender<Answer>,
}

/// What all requests share.
pub struct Api {
    /// The control group.
    pub group: Group,
    /// The process's own state.
    pub local: mpsc::Sender<Local>,
}

/// Serves one request.
pub async fn serve<D: Dialect>(api: Rc<Api>, req: Request) -> Response<Body> {
    let method = req.method().clone();
    let uri = req.uri().clone();
    let answer = match body(req).await {
        Some(bytes) => {
            let (path, query) = (uri.path(), uri.query().unwrap_or_default());
            let incoming = Incoming { method: &method, path, query, body: &bytes };
            match D::call(&incoming) {
                Ok(call) => answer::<D>(&api, call).await,
                Err(refused) => refused,
            }
        }
        None => Answer::Refused(Code::BodyCut, "the body did not arrive whole".to_owned()),
    };
    if let Answer::Refused(code, why) = &answer {
        counter!(metric::CALLS_REFUSED, "code" => code.number().to_string()).increment(1);
        emit!(Event::CallRefused, code = code.number(), path = uri.path(), why = why);
    }
    D::write(answer)
}

async fn body(req: Request) -> Option<BytesMut> {
    let mut payload = req.into_parts().1;
    let collect = async {
        let mut all = BytesMut::new();
        while let Some(piece) = payload.next().await {
            let piece = piece.ok()?;
            if all.len() + piece.len() > BODY_CAP {
                return None;
            }
            all.extend_from_slice(&piece);
        }
        Some(all)
    };
    timeout(BODY_WITHIN, collect).await.ok()?
}

async fn answer<D: Dialect>(api: &Api, call: Call) -> Answer {
    match call {
        Call::Publish(source) => publish::<D>(api, source).await,
        Call::Current => current(api).await,
        Call::Evacuate(data_centre, evacuate) => {
            order(api, Command::Evacuate { data_centre, evacuate }).await
        }
        Call::StartRollout(service, version, within) => {
            order(api, Command::StartRollout { service, version, within }).await
        }
        Call::AbortRollout(service) => order(api, Command::AbortRollout(service)).await,
        Call::Rollout(service) => rollout(api, service).await,
        call => local(api, call).await,
    }
}

async fn publish<D: Dialect>(api: &Api, source: String) -> Answer {
    let document = match D::parse(&source) {
        Ok(d) => d,
        Err(e) => return Answer::Refused(e.code, e.reason),
    };
    let budgets = document.budgets().collect();
    let services = document.services.iter().map(|s| s.name.clone()).collect();
    let version = document.version;
    let command = Command::Publish { version, source, budgets, services };
    match api.group.command(&command, PUBLISH_WITHIN).await {
        Ok(Committed::Published(held)) => {
            emit!(Event::DocumentPublished, version = version, held = held);
            Answer::Published(held)
        }
        Ok(_) => Answer::Refused(Code::MessageBad, "the group gave another answer".to_owned()),
        Err(code) => Answer::Refused(code, "the group did not commit it in time".to_owned()),
    }
}

/// Has an order committed. A caller sends it again elsewhere after a second: it
/// is not kept for longer, lest it overtake the caller's next order.
async fn order(api: &Api, command: Command) -> Answer {
    match api.group.command(&command, ORDER_WITHIN).await {
        Ok(Committed::Done) => Answer::Noted,
        Ok(Committed::Refused(code)) => Answer::Refused(code, "the group refuses it".to_owned()),
        Ok(_) => Answer::Refused(Code::MessageBad, "the group gave another answer".to_owned()),
        Err(code) => Answer::Refused(code, "the order was not carried out".to_owned()),
    }
}

async fn current(api: &Api) -> Answer {
    match api.group.query(&Query::Published, READ_WITHIN).await {
        Ok(Reply::Published(Some(source))) => Answer::Current(source),
        Ok(_) => Answer::Refused(Code::NotReady, "no document is in force yet".to_owned()),
        Err(code) => Answer::Refused(code, "no quorum confirmed what is in force".to_owned()),
    }
}

async fn rollout(api: &Api, service: String) -> Answer {
    match api.group.query(&Query::Rollouts(Some(service)), READ_WITHIN).await {
        Ok(Reply::Rollouts(found)) => match found.into_iter().next() {
            Some((_, r)) => Answer::Rollout(r),
            None => Answer::Refused(Code::RolloutUnknown, "none is known".to_owned()),
        },
        Ok(_) => Answer::Refused(Code::MessageBad, "the group gave another answer".to_owned()),
        Err(code) => Answer::Refused(code, "no quorum confirmed how it stands".to_owned()),
    }
}

async fn local(api: &Api, call: Call) -> Answer {
    let (to, answer) = oneshot::channel();
    let busy = || Answer::Refused(Code::QueueFull, "too many calls wait".to_owned());
    if api.local.try_send(Local { call, to }).is_err() {
        return busy();
    }
    answer.await.unwrap_or_else(|_| busy())
}
