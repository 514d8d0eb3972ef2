//! Faults seeded on purpose, to prove that the experiments detect them.

/// Fault seeded in this process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SeededFault {
    /// No fault.
    #[default]
    None,
    /// Reassigns the keys of a lost backend server without waiting until its work has ended.
    NoRegrantWait,
    /// Repeats a store write whose response was lost, over the current version of the object.
    BlindSecondWrite,
    /// Retries a non-idempotent request after its first byte was sent.
    ResendAfterFirstByte,
}

impl SeededFault {
    /// Returns the fault with the name that `--seeded-fault` takes.
    #[must_use]
    pub fn parse(name: &str) -> Option<Self> {
        match name {
            "none" => Some(Self::None),
            "no-regrant-wait" => Some(Self::NoRegrantWait),
            "blind-second-write" => Some(Self::BlindSecondWrite),
            "resend-after-first-byte" => Some(Self::ResendAfterFirstByte),
            _ => None,
        }
    }
}
