//! Experiments, selected by name with `--only`.

mod level;
mod peak;
mod retries;
mod setup;
mod short;

/// Name of an experiment and the function that runs it with a seed.
pub type Experiment = (&'static str, fn(u64));

pub const ALL: &[Experiment] = &[
    ("crest", peak::peak),
    ("level", level::level),
    ("hot-key", level::hot_key),
    ("slowdown", level::slowdown),
    ("churn", level::churn),
    ("short-behind-long", short::short_behind_long),
    ("choice", short::any_server),
    ("retries", retries::retries),
];
