//! Registers the router with the control group and applies its updates: configuration, router sites
//! and slice recalls.

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

/// Timeout of one registration request.
const REGISTER_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout of one watch request (long poll).
const WATCH_TIMEOUT: Duration = Duration::from_secs(4);

/// Delay after a failed request.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Registers and applies updates until the router drains. Registers again, with a new token store,
/// whenever the registration is no longer valid.
pub async fn register_and_watch(app: Rc<App>) {
    while !app.stop.is_requested() {
        let holder = register(&app).await;
        let token_store =
            Rc::new(TokenStore::new(holder, app.group.clone(), app.reserve.clone(), app.clock));
        let interval = app.settings.report_interval;
        actix_rt::spawn(token_store.clone().send_reports_forever(move || interval));
        if let Some(old) = app.set_token_store(token_store) {
            old.retire();
        }
        watch_updates(&app, holder).await;
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
        if let Ok(Answer::Registered(holder)) = app.group.command(&c, REGISTER_TIMEOUT).await {
            emit!(Event::RouterRegistered, holder = holder);
            return holder;
        }
        emit!(Event::ControlUnreachable);
        sleep(RETRY_DELAY).await;
    }
}

/// Watches for updates until the registration is no longer valid.
async fn watch_updates(app: &App, holder: HolderId) {
    let mut connected = true;
    loop {
        let version = app.config.borrow().version();
        let sites = sites_digest(&app.sites.borrow());
        let q = Query::Follow { holder, version, sites };
        match app.group.query(&q, WATCH_TIMEOUT).await {
            Ok(Reply::News(update)) => {
                if !connected {
                    emit!(Event::ControlReachable);
                }
                connected = true;
                set_group_unreachable(app, false);
                if update.stranger {
                    return;
                }
                apply_update(app, update);
            }
            _ => {
                if connected {
                    emit!(Event::ControlUnreachable);
                }
                connected = false;
                set_group_unreachable(app, true);
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

fn set_group_unreachable(app: &App, unreachable: bool) {
    if let Some(store) = app.token_store() {
        store.set_group_unreachable(unreachable);
    }
}

fn apply_update(app: &App, update: RouterUpdate) {
    if let Some(sites) = update.sites {
        *app.sites.borrow_mut() = sites;
    }
    let version = update.difference.version;
    if app.config.borrow_mut().update(update.difference) {
        app.refresh_services();
        emit!(Event::ConfigApplied, version = version);
    }
    if !app.ready.replace(true) {
        emit!(Event::RouterReady);
    }
    if let Some(store) = app.token_store() {
        update.recalls.iter().for_each(|b| store.return_idle(b));
    }
}
