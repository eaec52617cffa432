//! `cypressfork init`: founds the control group.

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

/// Timeout of a call to one control process.
const TIMEOUT: Duration = Duration::from_secs(10);

/// `init`: founds a control group of new control processes.
pub const COMMAND: Subcommand = Subcommand {
    name: "init",
    args: "ADDRESS...",
    about: "make the fresh control processes at these addresses a group",
    run,
};

fn run(cx: &Context) -> Result<String, Error> {
    cx.arg(0, "the address of a control process")?;
    let addresses = cx.args.iter().map(|a| parse_address("ADDRESS", a));
    let addresses: Vec<SocketAddr> = addresses.collect::<Result<_, _>>()?;
    let credentials = cx.credentials()?;
    actix_rt::System::new().block_on(found_group(&credentials, &addresses))
}

/// Collects the identities of all processes, then sends each of them the list of founders. Returns a line per founder.
///
/// A repeated call sends the same list; it fails if the identity of a process has changed since.
async fn found_group(credentials: &Credentials, addresses: &[SocketAddr]) -> Result<String, Error> {
    let mut peers = Vec::new();
    for a in addresses {
        let id = identify(credentials, *a).await?;
        peers.push(Peer::new(id.node as i64, a.to_string()));
    }
    for a in addresses {
        let founders = Founders::new(peers.clone());
        GroupClient::new(credentials.clone(), vec![*a])
            .call(Ask::Founders(founders), TIMEOUT)
            .await?;
    }
    let line = |p: &Peer| format!("{:016x}  {}\n", p.node, p.address);
    Ok(peers.iter().map(line).collect())
}

/// Returns the identity of the control process at `address`.
pub async fn identify(credentials: &Credentials, address: SocketAddr) -> Result<Identity, Error> {
    let bytes = GroupClient::new(credentials.clone(), vec![address])
        .call(Ask::Identify(true), TIMEOUT)
        .await?;
    body::unpack(&bytes).map_err(|_| Error::Unexpected)
}
