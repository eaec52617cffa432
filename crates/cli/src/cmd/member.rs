//! `cypressfork members`: changes the members of the control group.

use std::time::Duration;

use cypressfork_core::code::Code;
use cypressfork_core::raft::MemberChange;
use cypressfork_core::unit::NodeId;
use cypressfork_node::settings::parse_address;
use cypressfork_wire::{Ask, member_order};

use super::Subcommand;
use super::init::identify;
use crate::context::Context;
use crate::error::Error;

/// Timeout of a membership change.
const TIMEOUT: Duration = Duration::from_secs(10);

/// `members`: adds, promotes or removes a member of the control group.
pub const COMMAND: Subcommand = Subcommand {
    name: "members",
    args: "add ADDRESS | promote ID | remove ID",
    about: "change the replicas of the control group, one at a time",
    run,
};

fn run(cx: &Context) -> Result<String, Error> {
    let action = cx.arg(0, "add, promote or remove")?;
    let change = match action {
        "add" => {
            let a = parse_address("ADDRESS", cx.arg(1, "the new member's address")?)?;
            let credentials = cx.credentials()?;
            let id = actix_rt::System::new().block_on(identify(&credentials, a))?;
            if !id.members.voters.is_empty() {
                return Err(Code::MemberBad.into());
            }
            MemberChange::AddLearner(id.node, a.to_string())
        }
        "promote" => MemberChange::Promote(node_id(cx)?),
        "remove" => MemberChange::Remove(node_id(cx)?),
        other => {
            return Err(Error::Usage(format!("'{other}' is not add, promote or remove")));
        }
    };
    let group = cx.group()?;
    let ask = Ask::Members(member_order(&change));
    actix_rt::System::new().block_on(group.call(ask, TIMEOUT))?;
    Ok(match change {
        MemberChange::AddLearner(n, _) => {
            format!(
                "{n:016x} is a learner; once it is 0 behind: cypressfork members promote {n:016x}\n"
            )
        }
        MemberChange::Promote(n) => format!("{n:016x} counts for quorums\n"),
        MemberChange::Remove(n) => format!("{n:016x} is removed for good\n"),
    })
}

fn node_id(cx: &Context) -> Result<NodeId, Error> {
    let arg = cx.arg(1, "the member's id")?;
    NodeId::from_str_radix(arg, 16).map_err(|_| {
        Error::Usage(format!("an id cannot be '{arg}': take it from 'cypressfork status'"))
    })
}
