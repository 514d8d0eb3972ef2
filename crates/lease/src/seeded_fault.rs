//! Deliberate violations of the protocol, with which tests check that they would be noticed.

/// A rule that a member breaks on purpose.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SeededFault {
    /// A standby takes part in a succession while its promise lasts.
    NoPromise,
    /// A leader acts without a renewed lease.
    ActWithoutRenewal,
    /// A standby answers that it sealed but forgets it.
    ForgetSeal,
    /// A second standby yields without handing over the state by which it is ahead.
    SkipYieldState,
}
