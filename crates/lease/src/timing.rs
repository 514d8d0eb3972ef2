//! Intervals and timeouts of the lease protocol, on the monotonic clock of each process.
//!
//! A standby's promise outlasts the leader's lease by more than two clocks can drift apart during
//! one lease when each runs within 5 % of true time. The clock must keep running while the process
//! is paused or its machine is suspended (`CLOCK_BOOTTIME` on Linux).

use std::time::Duration;

/// Interval between two renewals of a leader's lease.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(200);

/// Time for which a leader may act, counted from sending a renewal that a standby confirmed.
pub const LEASE_DURATION: Duration = Duration::from_secs(1);

/// Time for which a standby takes no part in a succession, counted from receiving a renewal.
pub const PROMISE_DURATION: Duration = Duration::from_millis(1_150);

/// Time without a response after which a standby counts as silent.
pub const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval between two vote requests of the first standby to the second.
pub const VOTE_REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// Time after which unacknowledged entries are sent again.
pub const ENTRIES_RESEND_TIMEOUT: Duration = RENEW_INTERVAL;

/// Time after which an unacknowledged snapshot is sent again.
pub const SNAPSHOT_RESEND_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which a proposal is dropped if no standby has sealed.
pub const SEAL_TIMEOUT: Duration = SILENCE_TIMEOUT;

/// Time for which a vote request that was deferred, because the promise had not expired, stays
/// valid.
pub const VOTE_REQUEST_TTL: Duration = Duration::from_millis(400);

/// Minimum interval between two [`crate::Output::TakeoverNeeded`], or between two
/// [`crate::Output::Suspect`] about the same standby.
pub const REPORT_INTERVAL: Duration = Duration::from_secs(1);
