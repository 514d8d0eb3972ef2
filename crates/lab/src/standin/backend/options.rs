//! Command line options of the backend server's stand-in.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use crate::standin::args;
use crate::standin::error::Error;

const DEFAULT_SLOTS: usize = 6;
const DEFAULT_SPEED: f64 = 1.0;
const MIN_SPEED: f64 = 0.001;

/// Command line options of the backend server's stand-in.
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
    /// Number of requests that run concurrently.
    pub slots: usize,
    /// Maximum number of requests that wait for a slot.
    pub queue: usize,
    /// Maximum number of open connections.
    pub connections: usize,
    /// Speed of the work; at 1 it takes as long as the request states.
    pub speed: f64,
    /// Delay between accepting a connection and serving it.
    pub connect: Duration,
    /// Time after the start during which work is slowed down by the cold factor.
    pub cold: Duration,
}

impl Options {
    /// Parses the command line.
    ///
    /// # Errors
    ///
    /// [`Error::Usage`] when an option is unknown, missing or invalid.
    pub fn parse(args: &[String]) -> Result<Self, Error> {
        let matches = args::parse("backend", &declarations(), args)?;
        let speed: f64 = args::value(&matches, "speed", DEFAULT_SPEED)?;
        if !speed.is_finite() || speed < MIN_SPEED {
            return Err(Error::Usage(format!(
                "--speed: must be at least {MIN_SPEED}"
            )));
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

fn declarations() -> getopts::Options {
    let mut options = getopts::Options::new();
    options
        .optopt("", "service", "service of the backend server", "NAME")
        .optopt("", "id", "name of the backend server", "NAME")
        .optopt("", "listen", "address to listen on", "ADDR")
        .optopt("", "record", "file to append runs to", "FILE")
        .optflag("", "checks", "refuse work without a valid fence and grant")
        .optopt("", "slots", "requests that run concurrently (6)", "N")
        .optopt("", "queue", "maximum number of waiting requests (0)", "N")
        .optopt("", "connections", "maximum number of open connections", "N")
        .optopt("", "speed", "speed factor of the work (1)", "F")
        .optopt(
            "",
            "connect-us",
            "setup time of a connection, in microseconds (0)",
            "N",
        )
        .optopt(
            "",
            "cold-ms",
            "time of slow work after the start, in ms (0)",
            "N",
        );
    options
}
