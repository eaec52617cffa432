//! `cypressfork evacuate`: starts or ends the evacuation of a data centre.

use cypressfork_core::command::{Answer, Command};
use serde_json::json;

use super::Subcommand;
use crate::context::Context;
use crate::error::Error;

/// `evacuate`: starts or ends the evacuation of a data centre, whose replicas get no new requests meanwhile.
pub const COMMAND: Subcommand = Subcommand {
    name: "evacuate",
    args: "begin DATA-CENTRE | end DATA-CENTRE",
    about: "keep new work from the replicas of a data centre, or let it in again",
    run,
};

fn run(cx: &Context) -> Result<String, Error> {
    let evacuate = match cx.arg(0, "begin or end")? {
        "begin" => true,
        "end" => false,
        other => return Err(Error::Usage(format!("'{other}' is not begin or end"))),
    };
    let data_centre = cx.arg(1, "the data centre")?.to_owned();
    let command = Command::Evacuate { data_centre: data_centre.clone(), evacuate };
    match cx.command(&command)? {
        Answer::Done => {}
        Answer::Refused(code) => return Err(code.into()),
        _ => return Err(Error::Unexpected),
    }
    let shown = json!({ "data_centre": data_centre, "evacuated": evacuate });
    Ok(cx.render(&shown, || match evacuate {
        true => format!("{data_centre} gets no new work; what runs there goes on\n"),
        false => format!("{data_centre} gets work again\n"),
    }))
}
