//! `cypressfork evacuate`: keep new work from a data centre, or let it in again.

use cypressfork_core::command::{Answer, Command};
use serde_json::json;

use super::Subcommand;
use crate::context::Context;
use crate::error::Error;

/// The subcommand.
pub const COMMAND: Subcommand = Subcommand {
    name: "evacuate",
    takes: "begin DATA-CENTRE | end DATA-CENTRE",
    about: "keep new work from the replicas of a data centre, or let it in again",
    run,
};

fn run(cx: &Context) -> Result<String, Error> {
    let evacuate = match cx.word(0, "begin or end")? {
        "begin" => true,
        "end" => false,
        other => return Err(Error::Usage(format!("'{other}' is not begin or end"))),
    };
    let data_centre = cx.word(1, "the data centre")?.to_owned();
    let command = Command::Evacuate { data_centre: data_centre.clone(), evacuate };
    match cx.command(&command)? {
        Answer::Done => {}
        Answer::Refused(code) => return Err(code.into()),
        _ => return Err(Error::Unexpected),
    }
    let shown = json!({ "data_centre": data_centre, "evacuated": evacuate });
    Ok(cx.show(&shown, || match evacuate {
        true => format!("{data_centre} gets no new work; what runs there goes on\n"),
        false => format!("{data_centre} gets work again\n"),
    }))
}
