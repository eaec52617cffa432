//! `cypressfork key`: draws a bearer key.

use cypressfork_node::digest::{hex, key_digest};
use serde_json::json;

use super::Subcommand;
use crate::context::Context;
use crate::error::Error;

/// The subcommand.
pub const COMMAND: Subcommand = Subcommand {
    name: "key",
    takes: "",
    about: "draw a bearer key, and show its digest for templates",
    run,
};

fn run(cx: &Context) -> Result<String, Error> {
    let key = format!("cf-{}", hex(&rand::random::<[u8; 24]>()));
    let digest = key_digest(&key);
    let text = || format!("key:    {key}\ndigest: {digest}\n");
    Ok(cx.show(&json!({ "key": key, "digest": digest }), text))
}
