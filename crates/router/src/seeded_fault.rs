//! Seeded faults, with which experiments show that they would notice a faulty build.

/// A rule that the process breaks on purpose.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SeededFault {
    /// Every rule is kept.
    #[default]
    None,
    /// Keys of a lost backend server move without waiting for the end of its work.
    NoRegrantWait,
    /// A write whose answer was lost is written again over whatever is there.
    BlindSecondWrite,
    /// A request that is not idempotent is sent again after its first byte went out.
    ResendAfterFirstByte,
}

impl SeededFault {
    /// Returns the fault of that name.
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
