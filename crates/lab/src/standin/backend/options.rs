//! Arguments of the backend server's stand-in.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use crate::standin::args;
use crate::standin::error::Error;

const DEFAULT_SLOTS: usize = 6;
const DEFAULT_SPEED: f64 = 1.0;
const MIN_SPEED: f64 = 0.001;

/// Arguments of the backend server's stand-in.
#[derive(Clone, Debug)]
pub struct Options {
    /// Service that the backend server belongs to.
    pub service: String,
    /// Name of the backend server.
    pub id: String,
    /// Address to listen on.
    pub listen: SocketAddr,
    /// File to which runs are appended.
    pub record: PathBuf,
    /// Whether fences and grants are checked.
    pub checks: bool,
    /// Requests that run at a time.
    pub slots: usize,
    /// Requests that wait for a slot, at most.
    pub queue: usize,
    /// Open connections, at most.
    pub connections: usize,
    /// Speed of the work, 1 as told by the caller.
    pub speed: f64,
    /// Time that setting up a connection costs.
    pub connect: Duration,
    /// Time after the start during which work is slower.
    pub cold: Duration,
}

impl Options {
    /// Parses arguments.
    ///
    /// # Errors
    ///
    /// [`Error::Usage`] when they cannot be used.
    pub fn parse(args: &[String]) -> Result<Self, Error> {
        let matches = args::parse("backend", &declared(), args)?;
        let speed: f64 = args::value(&matches, "speed", DEFAULT_SPEED)?;
        if !speed.is_finite() || speed < MIN_SPEED {
            return Err(Error::Usage(format!("--speed: less than {MIN_SPEED}")));
        }
        Ok(Self {
            service: args::required(&matches, "service")?,
            id: args::required(&matches, "id")?,
            listen: args::required(&matches, "listen")?,
            record: args::required(&matches, "record")?,
            checks: matches.opt_present("checks"),
            slots: args::value(&matches, "slots", DEFAULT_SLOTS)?,
            queue: args::value(&matches, "queue", 0)?,
            connections: args::value(&matches, "connections", usize::MAX)?,
            speed,
            connect: Duration::from_micros(args::value(&matches, "connect-us", 0)?),
            cold: Duration::from_millis(args::value(&matches, "cold-ms", 0)?),
        })
    }
}

fn declared() -> getopts::Options {
    let mut options = getopts::Options::new();
    options
        .optopt("", "service", "service of the backend server", "NAME")
        .optopt("", "id", "name of the backend server", "NAME")
        .optopt("", "listen", "address to listen on", "ADDR")
        .optopt("", "record", "file to append runs to", "FILE")
        .optflag("", "checks", "check fences and grants")
        .optopt("", "slots", "requests that run at a time (6)", "N")
        .optopt("", "queue", "requests that wait, at most (0)", "N")
        .optopt("", "connections", "open connections, at most", "N")
        .optopt("", "speed", "speed of the work (1)", "F")
        .optopt("", "connect-us", "cost of a connection (0)", "N")
        .optopt("", "cold-ms", "time of slow work at the start (0)", "N");
    options
}
