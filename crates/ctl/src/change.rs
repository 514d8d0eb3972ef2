//! Writes a change of the configuration into the store, at most once.
//!
//! Each write is conditional and carries a fresh token. When its answer is lost the token in the
//! store tells its fate; the write is never repeated on a guess.

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

/// Pause between two reads that look for the fate of a write.
const SETTLE_PAUSE: Duration = Duration::from_millis(200);

/// Configuration with its version.
#[derive(Clone, Debug, PartialEq)]
pub struct Current {
    /// Version of the object, [`Version::ABSENT`] when the store holds none.
    pub version: Version,
    /// Content of the object.
    pub config: Config,
}

/// Change that is in place.
#[derive(Clone, Debug, PartialEq)]
pub struct Accepted {
    /// Version that holds the change.
    pub version: Version,
    /// Configuration of that version.
    pub config: Config,
    /// Whether this command wrote the version.
    pub written: bool,
}

/// How a change is to be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Try again after a lost race as long as the change still applies.
    pub retry: bool,
    /// Time after which neither a new attempt begins nor a lost answer is followed up.
    pub until: Instant,
}

/// Reads the configuration.
///
/// # Errors
///
/// Fails when the store does not answer or holds something else.
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

/// Makes a change.
///
/// # Errors
///
/// Fails when the change does not fit, another change came first, the store does not answer, or
/// the fate of the write is unknown.
pub async fn apply(
    store: &dyn Api,
    edit: &Edit,
    plan: Plan,
    cancel: &CancellationToken,
) -> Result<Accepted, Error> {
    loop {
        let current = read(store, cancel).await?;
        let mut next = edit.apply(&current.config)?;
        if next == current.config && current.version != Version::ABSENT {
            return Ok(accepted(current.version, current.config, false));
        }
        next.token = Uuid::now_v7().to_string();
        match write(store, edit, current.version, next, plan.until, cancel).await {
            Err(Error::RaceLost { .. }) if plan.retry && Instant::now() < plan.until => {}
            result => return result,
        }
    }
}

async fn write(
    store: &dyn Api,
    edit: &Edit,
    base: Version,
    config: Config,
    until: Instant,
    cancel: &CancellationToken,
) -> Result<Accepted, Error> {
    let writer = Writer::new(store).with_reads(reads(until), SETTLE_PAUSE);
    match writer.update(key(), base, &config, cancel).await? {
        WriteOutcome::Won { version } => Ok(accepted(version, config, true)),
        WriteOutcome::Lost {
            version,
            value: Some(found),
        } if edit.is_present(&found) => Ok(accepted(version, found, false)),
        WriteOutcome::Lost { version, .. } => Err(Error::RaceLost {
            winner: version,
            base,
        }),
        WriteOutcome::Unresolved => Err(Error::FateUnknown {
            base,
            token: config.token,
        }),
    }
}

/// Returns how many reads fit into the time that is left, at least one.
fn reads(until: Instant) -> u32 {
    let left = until.saturating_duration_since(Instant::now());
    let reads = left.as_millis() / SETTLE_PAUSE.as_millis();
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
