//! The experiments, one for each target.

mod crest;
mod level;
mod retries;
mod setup;
mod short;

/// Experiment by name.
pub type Experiment = (&'static str, fn(u64));

pub const ALL: &[Experiment] = &[
    ("crest", crest::crest),
    ("level", level::level),
    ("hot-key", level::hot_key),
    ("slowdown", level::slowdown),
    ("churn", level::churn),
    ("short-behind-long", short::short_behind_long),
    ("choice", short::any_server),
    ("retries", retries::retries),
];
