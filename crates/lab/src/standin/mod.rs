//! Stand-ins for the systems around the router: the store, backend servers and the network.
//!
//! Each runs as a separate process, so that it can be killed, frozen and disconnected like the
//! real system. Each prints `listening=ADDR` once it accepts connections, and exits at SIGTERM.
//! Faults are injected over HTTP with `POST /_fault` and can expire after a given time.

use std::process::ExitCode;

pub mod args;
pub mod backend;
pub mod clock;
pub mod connections;
pub mod error;
pub mod fault;
pub mod links;
pub mod message;
pub mod serve;
pub mod store;

use error::Error;

/// Exit code for an invalid command line.
const EXIT_USAGE: u8 = 2;
/// Exit code for a failure while running.
const EXIT_FAILED: u8 = 1;

/// Runs the stand-in that the first argument names until SIGTERM and returns its exit code.
pub fn command(args: &[String]) -> ExitCode {
    match dispatch(args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            log::error!("event=standin-failed error=\"{error}\"");
            ExitCode::from(match error {
                Error::Usage(_) => EXIT_USAGE,
                _ => EXIT_FAILED,
            })
        }
    }
}

fn dispatch(args: &[String]) -> Result<(), Error> {
    let Some((name, rest)) = args.split_first() else {
        return Err(Error::Usage("missing name of the stand-in".to_owned()));
    };
    match name.as_str() {
        "store" => store::run(&store::options::Options::parse(rest)?),
        "backend" => backend::run(backend::options::Options::parse(rest)?),
        "links" => links::run(&links::options::Options::parse(rest)?),
        _ => Err(Error::Usage(format!("unknown stand-in {name}"))),
    }
}
