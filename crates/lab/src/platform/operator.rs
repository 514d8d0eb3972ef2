//! Operators, who change the preset by conditional updates of the configuration object.

use std::sync::{Arc, Mutex, PoisonError};

use tarragon_model::config::{Config, KIND, OBJECT, PresetName};
use uuid::Uuid;

use super::object::{ABSENT, Store, WriteOutcome};
use crate::clock;
use crate::error::{Error, Result};
use crate::trace::Accepted;
use crate::verdict::config::IN_FORCE_US;

/// Operators of one run.
#[derive(Clone)]
pub struct Operators {
    store: Store,
    accepted: Arc<Mutex<Vec<Accepted>>>,
}

impl Operators {
    /// Creates the operators, who write directly to the store.
    #[must_use]
    pub fn new(store: Store) -> Self {
        Self {
            store,
            accepted: Arc::default(),
        }
    }

    /// Creates the configuration object.
    ///
    /// # Errors
    ///
    /// Fails when the write fails or the object already exists.
    pub async fn create_config(&self, config: &Config) -> Result<()> {
        match self.store.put(KIND, OBJECT, ABSENT, config).await? {
            WriteOutcome::Accepted(_) => Ok(()),
            WriteOutcome::Conflict(version) => Err(conflict(version)),
        }
    }

    /// Changes the preset, to the next one in rotation when `preset` is `None`.
    ///
    /// # Errors
    ///
    /// Fails when the store does not respond, when the configuration object is missing or invalid,
    /// or when another update came first.
    pub async fn change_preset(&self, preset: Option<PresetName>) -> Result<()> {
        let Some(object) = self.store.get(KIND, OBJECT).await? else {
            return Err(conflict(ABSENT));
        };
        let parsed = serde_json::from_value(object.value);
        let mut config: Config = parsed.map_err(|error| Error::Http {
            step: "parse-config",
            peer: "store".to_owned(),
            cause: error.to_string(),
        })?;
        config.preset = preset.unwrap_or_else(|| next_preset(config.preset));
        config.token = Uuid::now_v7().to_string();
        match self
            .store
            .put(KIND, OBJECT, object.version, &config)
            .await?
        {
            WriteOutcome::Accepted(version) => self.record_accepted(version),
            WriteOutcome::Conflict(version) => return Err(conflict(version)),
        }
        Ok(())
    }

    /// Lets two operators change the preset concurrently; of two updates of the same version, the
    /// store must reject one.
    ///
    /// # Errors
    ///
    /// Fails when neither change was accepted.
    pub async fn race_preset_changes(&self) -> Result<()> {
        let first = self.change_preset(Some(PresetName::Peak));
        let second = self.change_preset(Some(PresetName::Maintenance));
        let (first, second) = tokio::join!(first, second);
        first.or(second)
    }

    /// Returns the changes that the store accepted.
    #[must_use]
    pub fn accepted(&self) -> Vec<Accepted> {
        self.accepted
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    fn record_accepted(&self, version: u64) {
        let at_us = clock::now_us();
        let change = Accepted {
            version,
            at_us,
            due_us: at_us + IN_FORCE_US,
        };
        self.accepted
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(change);
    }
}

/// Parses the name of a preset; `None` for an unknown one.
#[must_use]
pub fn preset(name: &str) -> Option<PresetName> {
    serde_json::from_value(name.into()).ok()
}

fn next_preset(preset: PresetName) -> PresetName {
    match preset {
        PresetName::Ordinary => PresetName::Peak,
        PresetName::Peak => PresetName::Maintenance,
        PresetName::Maintenance => PresetName::Ordinary,
    }
}

fn conflict(version: u64) -> Error {
    Error::Http {
        step: "put-config",
        peer: "store".to_owned(),
        cause: format!("conflict with version {version}"),
    }
}
