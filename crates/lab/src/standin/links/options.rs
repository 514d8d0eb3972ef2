//! Command line options of the network's stand-in.

use std::net::SocketAddr;
use std::path::PathBuf;

use crate::standin::args;
use crate::standin::error::Error;

/// Command line options of the network's stand-in.
#[derive(Clone, Debug)]
pub struct Options {
    /// Configuration file of the links.
    pub config: PathBuf,
    /// Address of the HTTP API that injects faults.
    pub control: SocketAddr,
}

impl Options {
    /// Parses the command line.
    ///
    /// # Errors
    ///
    /// [`Error::Usage`] when an option is unknown, missing or invalid.
    pub fn parse(args: &[String]) -> Result<Self, Error> {
        let mut options = getopts::Options::new();
        options.optopt("", "config", "configuration file of the links", "FILE");
        options.optopt("", "control", "address of the control API", "ADDR");
        let matches = args::parse("links", &options, args)?;
        Ok(Self {
            config: args::required(&matches, "config")?,
            control: args::required(&matches, "control")?,
        })
    }
}
