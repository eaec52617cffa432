//! `cypressfork members`: the replicas of the control group.

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

/// How long a change may take.
const WITHIN: Duration = Duration::from_secs(10);

/// The subcommand.
pub const COMMAND: Subcommand = Subcommand {
    name: "members",
    takes: "add ADDRESS | promote ID | remove ID",
    about: "change the replicas of the control group, one at a time",
    run,
};

fn run(cx: &Context) -> Result<String, Error> {
    let verb = cx.word(0, "add, promote or remove")?;
    let change = match verb {
        "add" => {
            let a = parse_address("ADDRESS", cx.word(1, "the new replica's address")?)?;
            let me = cx.credentials()?;
            let id = actix_rt::System::new().block_on(identify(&me, a))?;
            if !id.members.voters.is_empty() {
                return Err(Code::MemberBad.into());
            }
            MemberChange::AddLearner(id.node, a.to_string())
        }
        "promote" => MemberChange::Promote(node(cx)?),
        "remove" => MemberChange::Remove(node(cx)?),
        other => {
            return Err(Error::Usage(format!("'{other}' is not add, promote or remove")));
        }
    };
    let group = cx.group()?;
    let ask = Ask::Members(member_order(&change));
    actix_rt::System::new().block_on(group.call(ask, WITHIN))?;
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

fn node(cx: &Context) -> Result<NodeId, Error> {
    let word = cx.word(1, "the replica's id")?;
    NodeId::from_str_radix(word, 16).map_err(|_| {
        Error::Usage(format!("an id cannot be '{word}': take it from 'cypressfork status'"))
    })
}
