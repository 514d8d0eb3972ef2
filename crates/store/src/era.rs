//! Era of the store, as one client knows it from the responses.

use std::sync::Mutex;

use crate::dialect::Page;
use crate::object::{Changes, Era, List, Object, Version};

/// What is wrong with the era of a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Defect {
    #[default]
    None,
    Missing,
    Malformed,
    Falling,
}

/// Latest era that the store told in any response.
///
/// A response that cannot be placed, since its era is missing, malformed or lower than a known one,
/// counts as lost: its revisions may be used again by now. A store that never told an era is taken
/// as it is.
#[derive(Debug, Default)]
pub struct Tracker(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    known: Era,
    /// Defect of the latest response, so that a lasting one is logged once.
    defect: Defect,
}

impl Tracker {
    /// Returns the latest era.
    #[must_use]
    pub fn known(&self) -> Era {
        self.lock().known
    }

    /// Notes the era of a response, and returns the one in which it counts.
    ///
    /// ```
    /// use tarragon_store::era::Tracker;
    /// use tarragon_store::object::Era;
    ///
    /// let tracker = Tracker::default();
    /// assert_eq!(tracker.note(Ok(None)), Ok(Era::UNKNOWN));
    /// assert_eq!(tracker.note(Ok(Era::new(2))), Ok(Era::new(2).unwrap()));
    /// assert!(tracker.note(Ok(Era::new(1))).is_err());
    /// assert!(tracker.note(Ok(None)).is_err());
    /// ```
    ///
    /// # Errors
    ///
    /// A description of why the response cannot be placed.
    pub fn note(&self, told: Result<Option<Era>, String>) -> Result<Era, String> {
        let mut state = self.lock();
        let known = state.known;
        let (defect, text) = match told {
            Ok(Some(era)) if era >= known => {
                if era > known {
                    state.known = era;
                    log::warn!("event=store-era era={era} before={known}");
                }
                state.defect = Defect::None;
                return Ok(era);
            }
            Ok(Some(era)) => (Defect::Falling, format!("era {era} after {known}")),
            Ok(None) => (Defect::Missing, "no era".to_owned()),
            Err(text) => (Defect::Malformed, text),
        };
        let expected = known != Era::UNKNOWN || defect == Defect::Malformed;
        if expected && state.defect != defect {
            log::warn!("event=store-era-unusable defect={defect:?} known={known} error={text:?}");
        }
        state.defect = defect;
        if known == Era::UNKNOWN {
            Ok(known)
        } else {
            Err(text)
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.0
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

/// Decoded response whose revisions are placed in an era.
pub(crate) trait Placed: Sized {
    /// Places the revisions in `era`; `None` if one of them is too large.
    fn placed(self, era: Era) -> Option<Self>;
}

impl Placed for () {
    fn placed(self, _: Era) -> Option<Self> {
        Some(self)
    }
}

impl Placed for Version {
    fn placed(self, era: Era) -> Option<Self> {
        Self::in_era(era, self.0)
    }
}

impl Placed for Object {
    fn placed(mut self, era: Era) -> Option<Self> {
        self.version = self.version.placed(era)?;
        Some(self)
    }
}

impl Placed for List {
    fn placed(self, era: Era) -> Option<Self> {
        let items = self.items.into_iter().map(|object| object.placed(era));
        Some(Self {
            revision: self.revision.placed(era)?,
            items: items.collect::<Option<_>>()?,
        })
    }
}

impl Placed for Page {
    fn placed(mut self, era: Era) -> Option<Self> {
        self.list = self.list.placed(era)?;
        Some(self)
    }
}

impl Placed for Changes {
    fn placed(mut self, era: Era) -> Option<Self> {
        self.revision = self.revision.placed(era)?;
        for change in &mut self.changes {
            change.object.version = change.object.version.placed(era)?;
        }
        Some(self)
    }
}
