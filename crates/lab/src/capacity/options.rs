//! Command line of `lab capacity`, checked apart from the work.

use std::path::PathBuf;

use crate::error::{Error, Result};

/// Directory for the tables and plots when none is named.
const OUT: &str = "out/capacity";
/// Sizes that a quick run measures of each series.
const QUICK_POINTS: usize = 4;
/// Repetitions of each point, of which the median counts.
const REPEATS: usize = 5;

/// What `lab capacity` does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Directory for the tables and plots.
    pub out: PathBuf,
    /// How much is measured.
    pub effort: Effort,
}

/// How much is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effort {
    /// Every size, each several times.
    Full,
    /// The smallest sizes, once.
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

    /// Returns how often each point is measured.
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
/// Tells what is wrong with the command line.
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
    let out = matches.opt_str("out").unwrap_or_else(|| OUT.to_owned());
    Ok(Some(Options {
        out: PathBuf::from(out),
        effort,
    }))
}
