//! Parsing of the stand-ins' arguments.

use std::fmt::Display;
use std::str::FromStr;

use getopts::{Matches, Options};

use super::error::Error;

/// Parses arguments, of which none may stand alone.
///
/// # Errors
///
/// [`Error::Usage`] with the options when an argument is unknown, missing or alone.
pub fn parse(name: &str, options: &Options, args: &[String]) -> Result<Matches, Error> {
    let usage = || options.usage(&format!("usage: lab standin {name} OPTIONS"));
    let matches = options
        .parse(args)
        .map_err(|fail| Error::Usage(format!("{fail}\n{}", usage())))?;
    match matches.free.first() {
        Some(free) => Err(Error::Usage(format!("unexpected {free}\n{}", usage()))),
        None => Ok(matches),
    }
}

/// Returns the value of an option, `default` when it is absent.
///
/// # Errors
///
/// [`Error::Usage`] when the value is not a `T`.
pub fn value<T>(matches: &Matches, name: &str, default: T) -> Result<T, Error>
where
    T: FromStr,
    T::Err: Display,
{
    matches
        .opt_get_default(name, default)
        .map_err(|error| bad(name, &error))
}

/// Returns the value of an option that may be absent.
///
/// # Errors
///
/// [`Error::Usage`] when the value is not a `T`.
pub fn maybe<T>(matches: &Matches, name: &str) -> Result<Option<T>, Error>
where
    T: FromStr,
    T::Err: Display,
{
    matches.opt_get(name).map_err(|error| bad(name, &error))
}

/// Returns the value of an option that must be there.
///
/// # Errors
///
/// [`Error::Usage`] when it is absent or not a `T`.
pub fn required<T>(matches: &Matches, name: &str) -> Result<T, Error>
where
    T: FromStr,
    T::Err: Display,
{
    maybe(matches, name)?.ok_or_else(|| Error::Usage(format!("--{name} is missing")))
}

fn bad(name: &str, error: &dyn Display) -> Error {
    Error::Usage(format!("--{name}: {error}"))
}
