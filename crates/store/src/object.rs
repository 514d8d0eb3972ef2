//! Objects of the store, in their wire format.

use std::fmt;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::error::{Error, Kind, Operation};

/// Number of times that the store came back from an older copy; zero if the store does not tell.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Era(u64);

impl Era {
    /// Era of a store that does not tell its era.
    pub const UNKNOWN: Self = Self(0);
    /// Largest era. With the revision, it fills the 53 bits that a JSON number keeps exactly.
    pub const MAX: u64 = (1 << (53 - REVISION_BITS)) - 1;

    /// Returns the era with a number, or `None` if the number is larger than [`Era::MAX`].
    ///
    /// ```
    /// use tarragon_store::object::Era;
    ///
    /// assert_eq!(Era::new(0), Some(Era::UNKNOWN));
    /// assert_eq!(Era::new(Era::MAX + 1), None);
    /// ```
    #[must_use]
    pub const fn new(number: u64) -> Option<Self> {
        if number <= Self::MAX {
            Some(Self(number))
        } else {
            None
        }
    }

    /// Returns the number of the era.
    #[must_use]
    pub const fn number(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Number of low bits of a version that hold the revision: 2^40 revisions last 34 years at a
/// thousand writes a second.
const REVISION_BITS: u32 = 40;
/// Largest revision of a store that tells its era.
const MAX_REVISION: u64 = (1 << REVISION_BITS) - 1;

/// Revision of the whole store at which an object was last written; zero if it does not exist.
///
/// The high bits hold the era of the response that told the revision, since revisions are used
/// again after the store came back from an older copy. So versions, and fencing tokens that are
/// chosen above them, rise over every restore.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version(pub u64);

impl Version {
    /// Version of an object that does not exist.
    pub const ABSENT: Self = Self(0);

    /// Returns the version of a revision that the store told in an era.
    ///
    /// Revision 0 is [`Version::ABSENT`] in every era. The result is `None` if the revision is too
    /// large for a store with eras.
    ///
    /// ```
    /// use tarragon_store::object::{Era, Version};
    ///
    /// let before = Version::in_era(Era::new(1).unwrap(), 900).unwrap();
    /// let after = Version::in_era(Era::new(2).unwrap(), 7).unwrap();
    /// assert!(after > before);
    /// assert_eq!((after.era().number(), after.revision()), (2, 7));
    /// assert_eq!(Version::in_era(Era::UNKNOWN, 7), Some(Version(7)));
    /// ```
    #[must_use]
    pub const fn in_era(era: Era, revision: u64) -> Option<Self> {
        if era.0 == 0 || revision == 0 {
            return Some(Self(revision));
        }
        if revision > MAX_REVISION {
            return None;
        }
        Some(Self((era.0 << REVISION_BITS) | revision))
    }

    /// Returns the era in which the store told the revision.
    #[must_use]
    pub const fn era(self) -> Era {
        Era(self.0 >> REVISION_BITS)
    }

    /// Returns the revision as the store counts it.
    #[must_use]
    pub const fn revision(self) -> u64 {
        self.0 & MAX_REVISION
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Key of one object: its kind and its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Key<'a> {
    /// Kind of the object.
    pub kind: &'a str,
    /// Name of the object, unique within its kind.
    pub name: &'a str,
}

impl<'a> Key<'a> {
    /// Creates the key of one object.
    ///
    /// ```
    /// use tarragon_store::object::Key;
    ///
    /// assert_eq!(Key::new("config", "main").to_string(), "config/main");
    /// ```
    #[must_use]
    pub fn new(kind: &'a str, name: &'a str) -> Self {
        Self { kind, name }
    }
}

impl fmt::Display for Key<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}

/// Object and its version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// Kind of the object.
    pub kind: String,
    /// Name of the object, unique within its kind.
    pub name: String,
    /// Version of the object.
    pub version: Version,
    /// Value of the object.
    pub value: Value,
}

impl Object {
    /// Returns the key of the object.
    #[must_use]
    pub fn key(&self) -> Key<'_> {
        Key::new(&self.kind, &self.name)
    }

    /// Decodes the value.
    ///
    /// ```
    /// use serde_json::json;
    /// use tarragon_store::object::{Object, Version};
    ///
    /// let object = Object {
    ///     kind: "config".to_owned(),
    ///     name: "main".to_owned(),
    ///     version: Version(3),
    ///     value: json!([1, 2]),
    /// };
    /// assert_eq!(object.decode::<Vec<u8>>().unwrap(), [1, 2]);
    /// assert!(object.decode::<String>().is_err());
    /// ```
    ///
    /// # Errors
    ///
    /// [`Kind::Corrupt`] if the value is not a `T`.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<T, Error> {
        T::deserialize(&self.value).map_err(|error| {
            let kind = Kind::Corrupt(error.to_string());
            Error::new(Operation::Decode, &self.key().to_string(), "local", kind)
        })
    }
}

/// All objects of a kind at one revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct List {
    /// Revision of the store at which the list was read.
    pub revision: Version,
    /// Objects of the kind.
    pub items: Vec<Object>,
}

/// Change of one object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Whether the object was deleted; `object` is then its last state before the deletion.
    pub deleted: bool,
    /// Object after the change.
    pub object: Object,
}

/// Response to a watch.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Changes {
    /// Revision from which the next watch continues.
    pub revision: Version,
    /// Changes in the order of their versions.
    pub changes: Vec<Change>,
}
