//! `cypressfork bill`: shows the tokens billed for one request.

use cypressfork_core::query::{Query, Reply};
use cypressfork_node::digest::request_id;

use super::Subcommand;
use crate::context::Context;
use crate::error::Error;

/// `bill`: shows the bill of a request.
pub const COMMAND: Subcommand = Subcommand {
    name: "bill",
    args: "CLIENT-ACCOUNT REQUEST-ID",
    about: "show what one request cost",
    run,
};

fn run(cx: &Context) -> Result<String, Error> {
    let account = cx.arg(0, "the client account")?;
    let id = cx.arg(1, "the request's id")?;
    let Reply::Bill(bill) = cx.query(&Query::Bill(request_id(account, id)))? else {
        return Err(Error::Unexpected);
    };
    Ok(cx.render(&bill, || match bill {
        None => "no bill of this request is kept\n".to_owned(),
        Some(b) => {
            let whole = if b.whole { "whole" } else { "cut short" };
            format!(
                "{} prompt tokens, {} generated tokens, the answer was {whole}\n",
                b.prompt, b.output
            )
        }
    }))
}
