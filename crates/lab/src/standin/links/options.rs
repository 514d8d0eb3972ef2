//! Arguments of the network's stand-in.

use std::net::SocketAddr;
use std::path::PathBuf;

use crate::standin::args;
use crate::standin::error::Error;

/// Arguments of the network's stand-in.
#[derive(Clone, Debug)]
pub struct Options {
    /// File that names the links.
    pub config: PathBuf,
    /// Address on which faults are ordered.
    pub control: SocketAddr,
}

impl Options {
    /// Parses arguments.
    ///
    /// # Errors
    ///
    /// [`Error::Usage`] when they cannot be used.
    pub fn parse(args: &[String]) -> Result<Self, Error> {
        let mut options = getopts::Options::new();
        options.optopt("", "config", "file that names the links", "FILE");
        options.optopt("", "control", "address for orders", "ADDR");
        let matches = args::parse("links", &options, args)?;
        Ok(Self {
            config: args::required(&matches, "config")?,
            control: args::required(&matches, "control")?,
        })
    }
}
