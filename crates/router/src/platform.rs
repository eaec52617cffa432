//! The platform's list of `Vm`s, polled.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use cypressfork_core::route::ListedState;
use cypressfork_node::emit;
use cypressfork_node::event::Event;
use serde::Deserialize;
use tokio::time::sleep;

use crate::app::App;

/// How often the list is asked for.
const EVERY: Duration = Duration::from_secs(1);

/// How long the platform may take to answer.
const WITHIN: Duration = Duration::from_secs(2);

/// The largest list, in bytes.
const CAP: usize = 4 * 1024 * 1024;

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

/// Polls the list for as long as the process lives. One that cannot be had changes nothing.
pub async fn watch(app: Rc<App>, url: String) {
    let mut reached = true;
    loop {
        match fetch(&app, &url).await {
            Some(list) => {
                reached = true;
                app.observe_vms(&list);
            }
            None if reached => {
                reached = false;
                emit!(Event::PlatformLost, url = url);
            }
            None => {}
        }
        sleep(EVERY).await;
    }
}

async fn fetch(app: &App, url: &str) -> Option<BTreeMap<String, ListedState>> {
    let mut response = app.client.get(url).timeout(WITHIN).send().await.ok()?;
    let bytes = response.body().limit(CAP).await.ok()?;
    let list: List = serde_json::from_slice(&bytes).ok()?;
    let listed = |s: State| match s {
        State::Live => ListedState::Live,
        State::Leaving => ListedState::Leaving,
    };
    Some(list.vms.into_iter().map(|v| (v.name, listed(v.state))).collect())
}
