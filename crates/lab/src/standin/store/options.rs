//! Command line options of the store's stand-in.

use std::net::SocketAddr;

use crate::standin::args;
use crate::standin::error::Error;

const DEFAULT_WRITES_PER_S: u32 = 400;
const DEFAULT_READS_PER_S: u32 = 2_000;
const DEFAULT_KEEP: usize = 8_192;

/// Command line options of the store's stand-in.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Rate limit of writes per second; further writes get a 429.
    pub writes_per_s: u32,
    /// Rate limit of reads per second; further reads get a 429. A watch counts as one read however
    /// long it waits.
    pub reads_per_s: u32,
    /// Maximum number of changes kept for watches and stale reads.
    pub keep: usize,
}

impl Options {
    /// Parses the command line.
    ///
    /// # Errors
    ///
    /// [`Error::Usage`] when an option is unknown, missing or invalid.
    pub fn parse(args: &[String]) -> Result<Self, Error> {
        let mut options = getopts::Options::new();
        options.optopt("", "listen", "address to listen on", "ADDR");
        options.optopt("", "writes-per-s", "writes per second (400)", "N");
        options.optopt("", "reads-per-s", "reads per second (2000)", "N");
        options.optopt("", "keep", "maximum number of changes kept (8192)", "N");
        let matches = args::parse("store", &options, args)?;
        Ok(Self {
            listen: args::required(&matches, "listen")?,
            writes_per_s: args::value(&matches, "writes-per-s", DEFAULT_WRITES_PER_S)?,
            reads_per_s: args::value(&matches, "reads-per-s", DEFAULT_READS_PER_S)?,
            keep: args::value(&matches, "keep", DEFAULT_KEEP)?,
        })
    }
}
