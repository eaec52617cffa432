//! `cypressfork key`: generates a bearer key.

use cypressfork_node::digest::{hex, key_digest};
use serde_json::json;

use super::Subcommand;
use crate::context::Context;
use crate::error::Error;

/// `key`: generates a random bearer key and shows it with its digest.
pub const COMMAND: Subcommand = Subcommand {
    name: "key",
    args: "",
    about: "draw a bearer key, and show its digest for templates",
    run,
};

fn run(cx: &Context) -> Result<String, Error> {
    let key = format!("cf-{}", hex(&rand::random::<[u8; 24]>()));
    let digest = key_digest(&key);
    let text = || format!("key:    {key}\ndigest: {digest}\n");
    Ok(cx.render(&json!({ "key": key, "digest": digest }), text))
}
