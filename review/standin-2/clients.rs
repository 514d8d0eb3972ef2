//! Identifiers of requests.

use std::sync::atomic::{AtomicU64, Ordering};

static NUMBER: AtomicU64 = AtomicU64::new(1);

/// Returns a new request id.
pub fn request_id() -> String {
    format!("{:016x}", NUMBER.fetch_add(1, Ordering::SeqCst))
}
