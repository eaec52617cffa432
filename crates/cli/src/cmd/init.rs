//! `cypressfork init`: makes fresh control processes a group.

use std::net::SocketAddr;
use std::time::Duration;

use cypressfork_core::query::Identity;
use cypressfork_node::group::GroupClient;
use cypressfork_node::link::Credentials;
use cypressfork_node::settings::parse_address;
use cypressfork_wire::{Ask, Founders, Peer, body};

use super::Subcommand;
use crate::context::Context;
use crate::error::Error;

/// How long one process may take to answer.
const WITHIN: Duration = Duration::from_secs(10);

/// The subcommand.
pub const COMMAND: Subcommand = Subcommand {
    name: "init",
    takes: "ADDRESS...",
    about: "make the fresh control processes at these addresses a group",
    run,
};

fn run(cx: &Context) -> Result<String, Error> {
    cx.word(0, "the address of a control process")?;
    let addresses = cx.words.iter().map(|a| parse_address("ADDRESS", a));
    let addresses: Vec<SocketAddr> = addresses.collect::<Result<_, _>>()?;
    let me = cx.credentials()?;
    actix_rt::System::new().block_on(found(&me, &addresses))
}

/// Asks every process for its identity, then tells all of them who the founders are. Sent again,
/// it tells the same founders, or fails because one of them has changed.
async fn found(me: &Credentials, addresses: &[SocketAddr]) -> Result<String, Error> {
    let mut peers = Vec::new();
    for a in addresses {
        let id = identify(me, *a).await?;
        peers.push(Peer::new(id.node as i64, a.to_string()));
    }
    for a in addresses {
        let founders = Founders::new(peers.clone());
        GroupClient::new(me.clone(), vec![*a]).call(Ask::Founders(founders), WITHIN).await?;
    }
    let line = |p: &Peer| format!("{:016x}  {}\n", p.node, p.address);
    Ok(peers.iter().map(line).collect())
}

/// Asks the process at `address` for its identity.
pub async fn identify(me: &Credentials, address: SocketAddr) -> Result<Identity, Error> {
    let bytes =
        GroupClient::new(me.clone(), vec![address]).call(Ask::Identify(true), WITHIN).await?;
    body::unpack(&bytes).map_err(|_| Error::Unexpected)
}
