//! Spans of the lease protocol, measured on the monotonic clock of each process.
//!
//! A standby's promise outlasts the leader's lease by more than two clocks can drift apart in one
//! lease when each runs within 5 % of true time. The clock must go on while the process is paused
//! or its machine suspended (`CLOCK_BOOTTIME` on Linux).

use std::time::Duration;

/// Time between two renewals of a leader's lease.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(200);

/// Time for which a leader may act after it sent a renewal that a standby answered.
pub const LEASE_DURATION: Duration = Duration::from_secs(1);

/// Time for which a standby takes part in no succession after it received a renewal.
pub const PROMISE_DURATION: Duration = Duration::from_millis(1_150);

/// Time without an answer after which a standby counts as silent.
pub const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time between two requests of the first standby that the second yield.
pub const VOTE_REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// Time after which unacknowledged entries are sent again.
pub const ENTRIES_RESEND_TIMEOUT: Duration = RENEW_INTERVAL;

/// Time after which an unacknowledged snapshot is sent again.
pub const SNAPSHOT_RESEND_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which a proposal is dropped when no standby has sealed.
pub const SEAL_TIMEOUT: Duration = SILENCE_TIMEOUT;

/// Time for which a request to yield that came too early is remembered.
pub const VOTE_REQUEST_TTL: Duration = Duration::from_millis(400);

/// Time between two reports of a vacant shard or of the same suspect.
pub const REPORT_INTERVAL: Duration = Duration::from_secs(1);
