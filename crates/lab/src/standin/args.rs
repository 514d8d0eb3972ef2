//! Command line parsing shared by the stand-ins.

use std::fmt::Display;
use std::str::FromStr;

use getopts::{Matches, Options};

use super::error::Error;

/// Parses the arguments of the stand-in `name`, which takes options only.
///
/// # Errors
///
/// [`Error::Usage`] with the list of options when an option is unknown or lacks its value, or when
/// there is a positional argument.
pub fn parse(name: &str, options: &Options, args: &[String]) -> Result<Matches, Error> {
    let usage = || options.usage(&format!("usage: lab standin {name} OPTIONS"));
    let matches = options
        .parse(args)
        .map_err(|fail| Error::Usage(format!("{fail}\n{}", usage())))?;
    match matches.free.first() {
        Some(free) => Err(Error::Usage(format!(
            "unexpected argument {free}\n{}",
            usage()
        ))),
        None => Ok(matches),
    }
}

/// Returns the value of an option, or `default` when it is absent.
///
/// # Errors
///
/// [`Error::Usage`] when the value does not parse as a `T`.
pub fn value<T>(matches: &Matches, name: &str, default: T) -> Result<T, Error>
where
    T: FromStr,
    T::Err: Display,
{
    matches
        .opt_get_default(name, default)
        .map_err(|error| invalid(name, &error))
}

/// Returns the value of an option that may be absent.
///
/// # Errors
///
/// [`Error::Usage`] when the value does not parse as a `T`.
pub fn optional<T>(matches: &Matches, name: &str) -> Result<Option<T>, Error>
where
    T: FromStr,
    T::Err: Display,
{
    matches.opt_get(name).map_err(|error| invalid(name, &error))
}

/// Returns the value of a mandatory option.
///
/// # Errors
///
/// [`Error::Usage`] when it is absent or does not parse as a `T`.
pub fn required<T>(matches: &Matches, name: &str) -> Result<T, Error>
where
    T: FromStr,
    T::Err: Display,
{
    optional(matches, name)?.ok_or_else(|| Error::Usage(format!("--{name} is missing")))
}

fn invalid(name: &str, error: &dyn Display) -> Error {
    Error::Usage(format!("--{name}: {error}"))
}
