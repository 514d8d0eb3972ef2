//! Conditional updates that are resolved by reading back when the response is lost.
//!
//! Every value carries a token that is unique to the write attempt. If the outcome of a write is
//! uncertain, the writer only reads: a second write could overtake the first, which may still be
//! in flight, or overwrite later updates by other writers.

use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio_util::sync::CancellationToken;

use crate::api::Api;
use crate::error::{Error, Kind, Operation};
use crate::object::{Key, Object, Version};

/// Default maximum number of reads to resolve a write.
pub const DEFAULT_READS: u32 = 5;
/// Default pause between two reads that resolve a write.
pub const DEFAULT_PAUSE: Duration = Duration::from_millis(100);

/// Value that carries the token of the write attempt that produced it.
pub trait Token {
    /// Returns the unique token of the write attempt.
    fn token(&self) -> &str;
}

impl Token for tarragon_model::record::Record {
    fn token(&self) -> &str {
        &self.token
    }
}

impl Token for tarragon_model::config::Config {
    fn token(&self) -> &str {
        &self.token
    }
}

/// Outcome of a conditional update.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome<T> {
    /// The write took effect.
    Applied {
        /// Version that the write produced.
        version: Version,
    },
    /// The object does not hold the written value, and the write can no longer take effect.
    ///
    /// After an uncertain response, the write may have taken effect and been overwritten since.
    Conflict {
        /// Version of the object, zero if it does not exist.
        version: Version,
        /// Value of the object; `None` if it could not be read or does not exist.
        value: Option<T>,
    },
    /// The write may have taken effect, or may still; call [`Writer::resolve`] later.
    Unresolved,
}

/// Faults seeded on purpose, to prove that the tests detect them.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SeededFault {
    /// No fault.
    #[default]
    None,
    /// After an uncertain response, writes again over the current version.
    BlindSecondWrite,
}

/// Writes objects with conditional updates.
///
/// ```no_run
/// # async fn example(record: tarragon_model::record::Record) -> Result<(), tarragon_store::error::Error> {
/// use tarragon_store::client::{Client, DEFAULT_TIMEOUT};
/// use tarragon_store::object::{Key, Version};
/// use tarragon_store::update::{WriteOutcome, Writer};
/// use tokio_util::sync::CancellationToken;
///
/// let client = Client::new("127.0.0.1:7900".parse().unwrap(), DEFAULT_TIMEOUT)?;
/// let stop = CancellationToken::new();
/// let key = Key::new("shards", "balance.0");
/// match Writer::new(&client).update(key, Version::ABSENT, &record, &stop).await? {
///     WriteOutcome::Applied { version } => println!("applied version={version}"),
///     WriteOutcome::Conflict { version, .. } => println!("conflict version={version}"),
///     WriteOutcome::Unresolved => println!("unresolved"),
/// }
/// # Ok(())
/// # }
/// ```
pub struct Writer<'a> {
    api: &'a dyn Api,
    reads: u32,
    pause: Duration,
    seeded_fault: SeededFault,
}

impl<'a> Writer<'a> {
    /// Creates a writer that resolves writes with [`DEFAULT_READS`] and [`DEFAULT_PAUSE`].
    #[must_use]
    pub fn new(api: &'a dyn Api) -> Self {
        Self {
            api,
            reads: DEFAULT_READS,
            pause: DEFAULT_PAUSE,
            seeded_fault: SeededFault::None,
        }
    }

    /// Sets the number of reads, and the pause between them, to resolve a write.
    #[must_use]
    pub fn with_reads(self, reads: u32, pause: Duration) -> Self {
        Self {
            reads,
            pause,
            ..self
        }
    }

    /// Seeds a fault.
    #[doc(hidden)]
    #[must_use]
    pub fn with_seeded_fault(self, seeded_fault: SeededFault) -> Self {
        Self {
            seeded_fault,
            ..self
        }
    }

    /// Writes `value` if the object has the version `expected`.
    ///
    /// # Errors
    ///
    /// Any error of the store except conflicts and uncertain responses; nothing was written then.
    /// [`Kind::Cancelled`] only if `stop` was cancelled before the call.
    pub async fn update<T>(
        &self,
        key: Key<'_>,
        expected: Version,
        value: &T,
        stop: &CancellationToken,
    ) -> Result<WriteOutcome<T>, Error>
    where
        T: Token + Serialize + DeserializeOwned,
    {
        let json = serde_json::to_value(value).map_err(|error| {
            let kind = Kind::Invalid(error.to_string());
            Error::new(Operation::Encode, &key.to_string(), "local", kind)
        })?;
        let error = match self.api.put(key, expected, &json, stop).await {
            Ok(version) => return Ok(WriteOutcome::Applied { version }),
            Err(error) => error,
        };
        match error.kind {
            Kind::Conflict { version } => {
                Ok(self.after_conflict(key, version, value.token(), stop).await)
            }
            // The object is another one than the writer knows, whatever its revision.
            Kind::EarlierEra => match self.api.get(key, stop).await {
                Ok(object) => Ok(WriteOutcome::Conflict {
                    version: object.version,
                    value: object.decode::<T>().ok(),
                }),
                Err(error) if error.kind == Kind::NotFound => Ok(WriteOutcome::Conflict {
                    version: Version::ABSENT,
                    value: None,
                }),
                Err(error) => Err(error),
            },
            Kind::Uncertain(_) if self.seeded_fault == SeededFault::BlindSecondWrite => {
                self.write_blindly(key, &json, stop).await
            }
            Kind::Uncertain(_) => {
                log::warn!("event=write-uncertain object={key} error=\"{error}\"");
                Ok(self.resolve(key, expected, value.token(), stop).await)
            }
            _ => Err(error),
        }
    }

    /// Reads until the outcome of an earlier write with `token` is known, or no reads are left.
    ///
    /// `expected` is the version that the write required. Reads may be stale, so only the token or
    /// a version above `expected` counts as proof, since no later write can invalidate them.
    pub async fn resolve<T>(
        &self,
        key: Key<'_>,
        expected: Version,
        token: &str,
        stop: &CancellationToken,
    ) -> WriteOutcome<T>
    where
        T: Token + DeserializeOwned,
    {
        for read in 0..self.reads {
            if read > 0 && !self.sleep(stop).await {
                break;
            }
            let Ok(object) = self.api.get(key, stop).await else {
                continue;
            };
            if let Some(outcome) = outcome_from(&object, expected, token) {
                return outcome;
            }
        }
        WriteOutcome::Unresolved
    }

    async fn after_conflict<T>(
        &self,
        key: Key<'_>,
        version: Version,
        token: &str,
        stop: &CancellationToken,
    ) -> WriteOutcome<T>
    where
        T: Token + DeserializeOwned,
    {
        let conflict = WriteOutcome::Conflict {
            version,
            value: None,
        };
        if version == Version::ABSENT {
            return conflict;
        }
        let Ok(object) = self.api.get(key, stop).await else {
            return conflict;
        };
        if object.version < version {
            return conflict;
        }
        let Ok(value) = object.decode::<T>() else {
            return conflict;
        };
        if value.token() == token {
            return WriteOutcome::Applied {
                version: object.version,
            };
        }
        WriteOutcome::Conflict {
            version: object.version,
            value: Some(value),
        }
    }

    async fn write_blindly<T>(
        &self,
        key: Key<'_>,
        json: &serde_json::Value,
        stop: &CancellationToken,
    ) -> Result<WriteOutcome<T>, Error> {
        let current = self.api.get(key, stop).await.map(|object| object.version);
        let current = current.unwrap_or(Version::ABSENT);
        let version = self.api.put(key, current, json, stop).await?;
        Ok(WriteOutcome::Applied { version })
    }

    /// Pauses between two reads; returns `false` if cancelled.
    async fn sleep(&self, stop: &CancellationToken) -> bool {
        tokio::select! {
            () = stop.cancelled() => false,
            () = tokio::time::sleep(self.pause) => true,
        }
    }
}

fn outcome_from<T>(object: &Object, expected: Version, token: &str) -> Option<WriteOutcome<T>>
where
    T: Token + DeserializeOwned,
{
    let value = object.decode::<T>().ok();
    if value.as_ref().is_some_and(|value| value.token() == token) {
        return Some(WriteOutcome::Applied {
            version: object.version,
        });
    }
    (object.version > expected).then_some(WriteOutcome::Conflict {
        version: object.version,
        value,
    })
}
