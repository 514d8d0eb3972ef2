//! Deliberate violations of the protocol, used by tests to prove that each one is detected.

/// Protocol rule that a member violates on purpose.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SeededFault {
    /// A standby takes part in a succession before its promise to the leader has expired.
    IgnorePromise,
    /// A leader acts without a valid lease.
    ActWithoutRenewal,
    /// A standby confirms a seal without recording it.
    ForgetSeal,
    /// The second standby grants its vote without sending its replica, although it is ahead of the
    /// first.
    OmitNewerState,
}
