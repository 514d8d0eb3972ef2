//! Objects of the store, in their wire format.

use std::fmt;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::error::{Error, Kind, Operation};

/// Revision of the whole store at which an object was last written; zero if it does not exist.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version(pub u64);

impl Version {
    /// Version of an object that does not exist.
    pub const ABSENT: Self = Self(0);
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
