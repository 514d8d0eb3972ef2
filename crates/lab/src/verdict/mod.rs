//! Judges the promises from what a run left behind.
//!
//! Each verdict is a pure function from traces to breaches, so that tests can show that it finds
//! what it looks for.

pub mod answer;
pub mod capacity;
pub mod config;
pub mod effect;
pub mod leave;
pub mod outage;
pub mod owner;
pub mod summary;

use smallvec::SmallVec;

/// Evidence that a promise broke.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// Time of the first sign, in microseconds of [`crate::clock`].
    pub at_us: u64,
    /// Promise that broke, by the name of its figure.
    pub promise: &'static str,
    /// Key, identifier or shard that shows it.
    pub key: String,
    /// Backend servers or hosts that took part.
    pub parties: SmallVec<[String; 2]>,
    /// Lines of records or logs that prove it.
    pub evidence: SmallVec<[String; 2]>,
}

impl std::fmt::Display for Breach {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "breach={} at_us={} key={} parties={}",
            self.promise,
            self.at_us,
            self.key,
            self.parties.join(",")
        )?;
        for line in &self.evidence {
            write!(f, "\n  {line}")?;
        }
        Ok(())
    }
}
