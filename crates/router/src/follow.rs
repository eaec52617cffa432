//! The router's standing talk with the control group: registration, configuration, recalls.

use std::rc::Rc;
use std::time::Duration;

use cypressfork_core::command::{Answer, Command};
use cypressfork_core::query::{Query, Reply, RouterUpdate, sites_digest};
use cypressfork_core::unit::{HolderId, Millis};
use cypressfork_node::emit;
use cypressfork_node::event::Event;
use tokio::time::sleep;

use crate::app::App;
use crate::token_store::TokenStore;

/// How long a registration may take before it is tried anew.
const REGISTER_WITHIN: Duration = Duration::from_secs(10);

/// How long a standing question may go without an answer.
const FOLLOW_WITHIN: Duration = Duration::from_secs(4);

/// How long to wait after a failed try.
const PAUSE: Duration = Duration::from_millis(200);

/// Registers and follows until a planned stop.
pub async fn follow(app: Rc<App>) {
    while !app.draining.get() {
        let holder = register(&app).await;
        let token_store =
            Rc::new(TokenStore::new(holder, app.group.clone(), app.reserve.clone(), app.clock));
        let every = app.settings.tally;
        actix_rt::spawn(token_store.clone().tally_forever(move || every));
        if let Some(old) = app.set_token_store(token_store) {
            old.retire();
        }
        follow_as(&app, holder).await;
    }
}

async fn register(app: &App) -> HolderId {
    let base = &app.settings.base;
    let c = Command::Register {
        vm: base.vm.clone(),
        data_centre: base.data_centre.clone(),
        address: app.settings.public.to_string(),
        nonce: rand::random(),
        age: Millis(0),
        link: String::new(),
    };
    loop {
        if let Ok(Answer::Registered(holder)) = app.group.command(&c, REGISTER_WITHIN).await {
            emit!(Event::RouterRegistered, holder = holder);
            return holder;
        }
        emit!(Event::ControlLost);
        sleep(PAUSE).await;
    }
}

/// Follows until the registration is no longer known.
async fn follow_as(app: &App, holder: HolderId) {
    let mut reached = true;
    loop {
        let version = app.view.borrow().version();
        let sites = sites_digest(&app.sites.borrow());
        let q = Query::Follow { holder, version, sites };
        match app.group.query(&q, FOLLOW_WITHIN).await {
            Ok(Reply::News(news)) => {
                if !reached {
                    emit!(Event::ControlFound);
                }
                reached = true;
                set_away(app, false);
                if news.stranger {
                    return;
                }
                take(app, news);
            }
            _ => {
                if reached {
                    emit!(Event::ControlLost);
                }
                reached = false;
                set_away(app, true);
                sleep(PAUSE).await;
            }
        }
    }
}

fn set_away(app: &App, away: bool) {
    if let Some(w) = app.token_store() {
        w.set_away(away);
    }
}

fn take(app: &App, news: RouterUpdate) {
    if let Some(sites) = news.sites {
        *app.sites.borrow_mut() = sites;
    }
    let version = news.difference.version;
    if app.view.borrow_mut().update(news.difference) {
        app.refresh_services();
        emit!(Event::ConfigApplied, version = version);
    }
    if !app.ready.replace(true) {
        emit!(Event::RouterReady);
    }
    if let Some(w) = app.token_store() {
        news.recalls.iter().for_each(|b| w.recall(b));
    }
}
