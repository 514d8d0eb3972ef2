//! Writes a change of the configuration to the store, at most once.
//!
//! Each write is conditional on the object's version and carries a new unique token. When the
//! response is lost, the token found in the store shows whether the write took effect. A write of
//! unknown outcome is never retried.

use std::time::Duration;

use tarragon_model::config::{self, Config};
use tarragon_store::api::Api;
use tarragon_store::error::{Error as StoreError, Kind};
use tarragon_store::object::{Key, Version};
use tarragon_store::update::{WriteOutcome, Writer};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use uuid::Uuid;

use crate::edit::Edit;
use crate::error::Error;

/// Pause between two reads that resolve a write of unknown outcome.
const RESOLVE_PAUSE: Duration = Duration::from_millis(200);

/// Configuration as read from the store, with its version.
#[derive(Clone, Debug, PartialEq)]
pub struct Current {
    /// Version of the object; [`Version::ABSENT`] if it does not exist.
    pub version: Version,
    /// Content of the object; the default configuration if it does not exist.
    pub config: Config,
}

/// Change that the store holds.
#[derive(Clone, Debug, PartialEq)]
pub struct Accepted {
    /// Version that contains the change.
    pub version: Version,
    /// Configuration of that version.
    pub config: Config,
    /// Whether this command wrote that version; `false` if the change was already present.
    pub written: bool,
}

/// Whether and how long a change is attempted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryPolicy {
    /// Retry after a conflict for as long as the change still applies.
    pub retry_conflicts: bool,
    /// Time after which no new attempt starts and a lost response is no longer resolved.
    pub deadline: Instant,
}

/// Reads the configuration.
///
/// # Errors
///
/// Fails when the store does not respond or the object cannot be decoded.
pub async fn read(store: &dyn Api, cancel: &CancellationToken) -> Result<Current, StoreError> {
    match store.get(key(), cancel).await {
        Ok(object) => Ok(Current {
            version: object.version,
            config: object.decode()?,
        }),
        Err(error) if error.kind == Kind::NotFound => Ok(Current {
            version: Version::ABSENT,
            config: Config::default(),
        }),
        Err(error) => Err(error),
    }
}

/// Applies a change to the configuration and writes the result.
///
/// # Errors
///
/// Fails when the change does not apply, another change was written first, the store does not
/// respond, or the outcome of the write is unknown.
pub async fn apply(
    store: &dyn Api,
    edit: &Edit,
    policy: RetryPolicy,
    cancel: &CancellationToken,
) -> Result<Accepted, Error> {
    loop {
        let current = read(store, cancel).await?;
        let mut next = edit.apply(&current.config)?;
        if next == current.config && current.version != Version::ABSENT {
            return Ok(accepted(current.version, current.config, false));
        }
        next.token = Uuid::now_v7().to_string();
        match write(store, edit, current.version, next, policy.deadline, cancel).await {
            Err(Error::Conflict { .. })
                if policy.retry_conflicts && Instant::now() < policy.deadline => {}
            result => return result,
        }
    }
}

async fn write(
    store: &dyn Api,
    edit: &Edit,
    base: Version,
    config: Config,
    deadline: Instant,
    cancel: &CancellationToken,
) -> Result<Accepted, Error> {
    let writer = Writer::new(store).with_reads(resolve_reads(deadline), RESOLVE_PAUSE);
    match writer.update(key(), base, &config, cancel).await? {
        WriteOutcome::Applied { version } => Ok(accepted(version, config, true)),
        WriteOutcome::Conflict {
            version,
            value: Some(found),
        } if edit.is_applied(&found) => Ok(accepted(version, found, false)),
        WriteOutcome::Conflict { version, .. } => Err(Error::Conflict {
            current: version,
            base,
        }),
        WriteOutcome::Unresolved => Err(Error::OutcomeUnknown {
            base,
            token: config.token,
        }),
    }
}

/// Returns how many reads fit before the deadline, at least one.
fn resolve_reads(deadline: Instant) -> u32 {
    let left = deadline.saturating_duration_since(Instant::now());
    let reads = left.as_millis() / RESOLVE_PAUSE.as_millis();
    u32::try_from(reads).unwrap_or(u32::MAX).saturating_add(1)
}

fn key() -> Key<'static> {
    Key::new(config::KIND, config::OBJECT)
}

fn accepted(version: Version, config: Config, written: bool) -> Accepted {
    Accepted {
        version,
        config,
        written,
    }
}
