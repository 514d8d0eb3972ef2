//! Stand-ins of the platform, its backends and its clients, and the cases that use them.
//!
//! Usage: standin CASE RECORD. Run in the root of the repository. Exits with 1 if the rule was
//! broken, with 0 if it held, and with 2 if the case could not run. TROUBLE=0 leaves out the
//! disruption.

mod backend;
mod clients;
mod descriptors;
mod header_limit;
mod http;
mod json;
mod kept_uploads;
mod record;
mod router;
mod store;
mod world;

use std::path::Path;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, path] = arguments.as_slice() else {
        eprintln!("usage: standin CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").unwrap_or_default();
    let record = match record::Record::create(Path::new(path)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{path}: {error}");
            return ExitCode::from(2);
        }
    };
    record.say(&format!("case {case}, TROUBLE={trouble}"));
    let result = match case.as_str() {
        "descriptors" => descriptors::run(&record, &trouble),
        "header-limit" => header_limit::run(&record, &trouble),
        "kept-uploads" => kept_uploads::run(&record, &trouble),
        _ => Err("no such case".to_owned()),
    };
    match result {
        Ok(true) => {
            record.say("result: the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            record.say("result: THE RULE WAS BROKEN");
            ExitCode::from(1)
        }
        Err(text) => {
            record.say(&format!("result: the case could not run: {text}"));
            ExitCode::from(2)
        }
    }
}
