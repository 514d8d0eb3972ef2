//! Conditional updates whose lost answers are settled by reading back.
//!
//! Every value carries a token that is unique to the write attempt. After an uncertain answer the
//! writer only reads: a second write could overtake the first, which may still be on its way, or
//! overwrite what others wrote on top of it.

use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio_util::sync::CancellationToken;

use crate::api::Api;
use crate::error::{Error, Kind, Operation};
use crate::object::{Key, Object, Version};

/// Reads that settle a write, at most.
pub const DEFAULT_READS: u32 = 5;
/// Time between two reads that settle a write.
pub const DEFAULT_PAUSE: Duration = Duration::from_millis(100);

/// Value that names the write attempt that produced it.
pub trait Token {
    /// Returns the unique text of the write attempt.
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

/// Fate of a conditional update.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome<T> {
    /// The write took effect.
    Won {
        /// Version that the write produced.
        version: Version,
    },
    /// The write is not in force and cannot take effect any more.
    ///
    /// After an uncertain answer it may have been in force before another writer's.
    Lost {
        /// Version of the object, zero when it does not exist.
        version: Version,
        /// Value of the object; `None` when it could not be read or does not exist.
        value: Option<T>,
    },
    /// The write may have taken effect, or may still; ask [`Writer::resolve`] later.
    Unresolved,
}

/// Seeded faults, for tests that must be able to fail.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SeededFault {
    /// No fault.
    #[default]
    None,
    /// Writes again over whatever is there after an uncertain answer.
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
///     WriteOutcome::Won { version } => println!("won version={version}"),
///     WriteOutcome::Lost { version, .. } => println!("lost version={version}"),
///     WriteOutcome::Unresolved => println!("unfinished"),
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
    /// Creates a writer with the default reads and pause.
    #[must_use]
    pub fn new(api: &'a dyn Api) -> Self {
        Self {
            api,
            reads: DEFAULT_READS,
            pause: DEFAULT_PAUSE,
            seeded_fault: SeededFault::None,
        }
    }

    /// Sets how often and how far apart the writer reads to settle a write.
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
    /// Any error of the store but conflicts and uncertain answers; nothing was written then.
    /// [`Kind::Cancelled`] only when `stop` was cancelled before the call.
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
            Ok(version) => return Ok(WriteOutcome::Won { version }),
            Err(error) => error,
        };
        match error.kind {
            Kind::Conflict { version } => {
                Ok(self.after_conflict(key, version, value.token(), stop).await)
            }
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

    /// Reads until the fate of an earlier write with `token` is known, or the reads are used up.
    ///
    /// `expected` is the version that the write demanded. The reads may be stale, so only what no
    /// later write can undo is taken as proof: the token, or a version above `expected`.
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
            if read > 0 && !self.rest(stop).await {
                break;
            }
            let Ok(object) = self.api.get(key, stop).await else {
                continue;
            };
            if let Some(outcome) = judge(&object, expected, token) {
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
        let lost = WriteOutcome::Lost {
            version,
            value: None,
        };
        if version == Version::ABSENT {
            return lost;
        }
        let Ok(object) = self.api.get(key, stop).await else {
            return lost;
        };
        if object.version < version {
            return lost;
        }
        let Ok(value) = object.decode::<T>() else {
            return lost;
        };
        if value.token() == token {
            return WriteOutcome::Won {
                version: object.version,
            };
        }
        WriteOutcome::Lost {
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
        Ok(WriteOutcome::Won { version })
    }

    /// Waits between two reads; `false` when cancelled.
    async fn rest(&self, stop: &CancellationToken) -> bool {
        tokio::select! {
            () = stop.cancelled() => false,
            () = tokio::time::sleep(self.pause) => true,
        }
    }
}

fn judge<T>(object: &Object, expected: Version, token: &str) -> Option<WriteOutcome<T>>
where
    T: Token + DeserializeOwned,
{
    let value = object.decode::<T>().ok();
    if value.as_ref().is_some_and(|value| value.token() == token) {
        return Some(WriteOutcome::Won {
            version: object.version,
        });
    }
    (object.version > expected).then_some(WriteOutcome::Lost {
        version: object.version,
        value,
    })
}
