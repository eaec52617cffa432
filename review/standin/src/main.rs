//! Stand-ins and judges of the review's scripts: `review-standin CASE FOLDER` plays one case and writes `record.txt`
//! in its folder. It ends with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod drain;
mod fleet;
mod http;
mod late;
mod platform;
mod proxy;
mod quota;
mod replica;
mod silent;
mod template;
mod unframed;

use std::path::PathBuf;
use std::sync::Arc;

use platform::Record;

fn main() {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (args.next(), args.next()) else {
        eprintln!("usage: review-standin CASE FOLDER");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let root = std::env::current_dir().expect("a working directory");
    let record = Arc::new(Record::create(PathBuf::from(folder).join("record.txt")));
    record.add(format!("case {case}, trouble {trouble}"));
    let result = match case.as_str() {
        "drain" => drain::run(&root, record.clone(), trouble),
        "unframed" => unframed::run(&root, record.clone(), trouble),
        "late" => late::run(&root, record.clone(), trouble),
        "quota" => quota::run(&root, record.clone(), trouble),
        "silent" => silent::run(&root, record.clone(), trouble),
        _ => 2,
    };
    record.add(match result {
        0 => "the rule held",
        1 => "the rule was broken",
        _ => "the case could not run",
    });
    std::process::exit(result);
}
