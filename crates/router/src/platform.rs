//! Polls the platform's list of VMs.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use cypressfork_core::route::ListedState;
use cypressfork_node::emit;
use cypressfork_node::event::Event;
use serde::Deserialize;
use tokio::time::sleep;

use crate::app::App;

/// Time between two polls of the list.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout of one poll.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of the list in bytes.
const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;

#[derive(Deserialize)]
struct List {
    vms: Vec<Vm>,
}

#[derive(Deserialize)]
struct Vm {
    name: String,
    state: State,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum State {
    Live,
    Leaving,
}

/// Polls the list at `url` and applies it, until the process ends. If a poll fails, the last list
/// remains in effect.
pub async fn poll_vms(app: Rc<App>, url: String) {
    let mut reachable = true;
    loop {
        match fetch_vms(&app, &url).await {
            Some(list) => {
                reachable = true;
                app.observe_vms(&list);
            }
            None if reachable => {
                reachable = false;
                emit!(Event::PlatformUnavailable, url = url);
            }
            None => {}
        }
        sleep(POLL_INTERVAL).await;
    }
}

async fn fetch_vms(app: &App, url: &str) -> Option<BTreeMap<String, ListedState>> {
    let mut response = app.pooled_client.get(url).timeout(POLL_TIMEOUT).send().await.ok()?;
    let bytes = response.body().limit(MAX_LIST_BYTES).await.ok()?;
    let list: List = serde_json::from_slice(&bytes).ok()?;
    let listed_state = |s: State| match s {
        State::Live => ListedState::Live,
        State::Leaving => ListedState::Leaving,
    };
    Some(list.vms.into_iter().map(|v| (v.name, listed_state(v.state))).collect())
}
