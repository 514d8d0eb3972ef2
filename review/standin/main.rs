//! Stand-ins of the store, backends, clients and the platform for the scripts in `review/`.
//!
//! `standin CASE DIR` plays a case, writes `DIR/record.txt` and exits with 1 if the rule was
//! broken, 0 if it held and 2 if the case could not run. With `TROUBLE=0` it leaves the disruption
//! out. It uses the standard library only.

mod backend;
mod cases;
mod http;
mod json;
mod record;
mod router;
mod store;

use std::path::Path;

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let (Some(case), Some(dir)) = (words.get(1), words.get(2)) else {
        eprintln!("standin CASE DIR");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").is_ok_and(|text| text == "0");
    let trouble = !trouble;
    record::open(&Path::new(dir).join("record.txt"));
    record::note(&format!("case={case} trouble={trouble}"));
    let case = case.clone();
    let played = std::panic::catch_unwind(move || cases::play(&case, trouble));
    let status = match played {
        Ok(Ok(broken)) => {
            for text in broken.iter().take(20) {
                println!("{text}");
            }
            record::note(&format!("result broken={}", broken.len()));
            println!("trouble={trouble} broken={}", broken.len());
            i32::from(!broken.is_empty())
        }
        Ok(Err(text)) => {
            record::note(&format!("could not run: {text}"));
            println!("could not run: {text}");
            2
        }
        Err(_) => 2,
    };
    record::flush();
    std::process::exit(status);
}
