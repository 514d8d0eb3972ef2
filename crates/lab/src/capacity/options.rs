//! Command line of `lab capacity`.

use std::path::PathBuf;

use crate::error::{Error, Result};

/// Default directory for the tables and plots.
const DEFAULT_OUT: &str = "out/capacity";
/// Number of sizes that a quick run measures for each series.
const QUICK_POINTS: usize = 4;
/// Repetitions of each measurement in a full run; the median is reported.
const REPEATS: usize = 5;

/// Options of `lab capacity`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Directory for the tables and plots.
    pub out: PathBuf,
    /// Extent of the measurements.
    pub effort: Effort,
}

/// Extent of the measurements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effort {
    /// Every size, each measured several times.
    Full,
    /// The smallest sizes, each measured once.
    Quick,
}

impl Effort {
    /// Returns the sizes to measure.
    ///
    /// ```
    /// use tarragon_lab::capacity::options::Effort;
    ///
    /// assert_eq!(Effort::Quick.sizes(&[1, 2, 3, 4, 5]), [1, 2, 3, 4]);
    /// ```
    #[must_use]
    pub fn sizes(self, all: &[usize]) -> &[usize] {
        match self {
            Self::Full => all,
            Self::Quick => &all[..all.len().min(QUICK_POINTS)],
        }
    }

    /// Returns the number of repetitions of each measurement.
    #[must_use]
    pub fn repeats(self) -> usize {
        match self {
            Self::Full => REPEATS,
            Self::Quick => 1,
        }
    }
}

fn options() -> getopts::Options {
    let mut options = getopts::Options::new();
    options.optflag("h", "help", "show this help");
    options.optopt("", "out", "directory for tables and plots", "DIR");
    options.optflag("", "quick", "measure the smallest sizes once");
    options
}

/// Returns the help text.
#[must_use]
pub fn usage() -> String {
    options().usage("Usage: lab capacity [OPTIONS]")
}

/// Parses the arguments; `None` when help is asked for.
///
/// ```
/// let options = tarragon_lab::capacity::options::parse(&["--quick".to_owned()]);
/// assert_eq!(options.unwrap().unwrap().out.to_str(), Some("out/capacity"));
/// ```
///
/// # Errors
///
/// Fails when an option is unknown or lacks its value, or when there is a positional argument.
pub fn parse(args: &[String]) -> Result<Option<Options>> {
    let matches = options().parse(args);
    let matches = matches.map_err(|error| Error::Usage(error.to_string()))?;
    if matches.opt_present("help") {
        return Ok(None);
    }
    if let Some(extra) = matches.free.first() {
        return Err(Error::Usage(format!("unexpected argument {extra}")));
    }
    let effort = if matches.opt_present("quick") {
        Effort::Quick
    } else {
        Effort::Full
    };
    let out = matches
        .opt_str("out")
        .unwrap_or_else(|| DEFAULT_OUT.to_owned());
    Ok(Some(Options {
        out: PathBuf::from(out),
        effort,
    }))
}
