//! Checks of the guarantees against the traces of a run.
//!
//! Each check is a pure function from traces to breaches, so that tests can prove that it detects
//! what it looks for.

pub mod capacity;
pub mod config;
pub mod drain;
pub mod effect;
pub mod outage;
pub mod owner;
pub mod response;
pub mod summary;

use smallvec::SmallVec;

/// Violation of a guarantee, with its evidence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// Time of the first evidence, in microseconds of [`crate::clock`].
    pub at_us: u64,
    /// Name of the check, which is the name of its figure.
    pub check: &'static str,
    /// Key, identifier or shard that is affected.
    pub key: String,
    /// Backend servers, hosts or faults that are involved.
    pub parties: SmallVec<[String; 2]>,
    /// Lines that describe the records and samples that prove it.
    pub evidence: SmallVec<[String; 2]>,
}

impl std::fmt::Display for Breach {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "breach={} at_us={} key={} parties={}",
            self.check,
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
