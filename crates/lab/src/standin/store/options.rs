//! Arguments of the store's stand-in.

use std::net::SocketAddr;

use crate::standin::args;
use crate::standin::error::Error;

const DEFAULT_WRITES_PER_S: u32 = 400;
const DEFAULT_READS_PER_S: u32 = 2_000;
const DEFAULT_KEEP: usize = 8_192;

/// Arguments of the store's stand-in.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Writes a second above which the store answers 429.
    pub writes_per_s: u32,
    /// Reads a second above which the store answers 429; a waiting watch is one read.
    pub reads_per_s: u32,
    /// Changes that are kept for watches and stale reads, at most.
    pub keep: usize,
}

impl Options {
    /// Parses arguments.
    ///
    /// # Errors
    ///
    /// [`Error::Usage`] when they cannot be used.
    pub fn parse(args: &[String]) -> Result<Self, Error> {
        let mut options = getopts::Options::new();
        options.optopt("", "listen", "address to listen on", "ADDR");
        options.optopt("", "writes-per-s", "writes a second (400)", "N");
        options.optopt("", "reads-per-s", "reads a second (2000)", "N");
        options.optopt("", "keep", "changes that are kept (8192)", "N");
        let matches = args::parse("store", &options, args)?;
        Ok(Self {
            listen: args::required(&matches, "listen")?,
            writes_per_s: args::value(&matches, "writes-per-s", DEFAULT_WRITES_PER_S)?,
            reads_per_s: args::value(&matches, "reads-per-s", DEFAULT_READS_PER_S)?,
            keep: args::value(&matches, "keep", DEFAULT_KEEP)?,
        })
    }
}
