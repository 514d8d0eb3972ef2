//! Difference between two versions of an object, so that a small change to a large object can be
//! sent on its own.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use tarragon_store::object::{Object, Version};

/// Difference that turns one version of an object into a later one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Edit {
    /// Version to which the edit applies.
    #[serde(rename = "since")]
    pub base: Version,
    /// Version that results.
    pub version: Version,
    fields: Vec<(String, Field)>,
}

/// Change of one top-level field of an object's value.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum Field {
    /// Removes the field.
    #[serde(rename = "Gone")]
    Removed,
    /// Sets the field to this value.
    #[serde(rename = "Is")]
    Set(Value),
    /// Replaces the items of a list other than its first `head` and last `tail` items.
    Splice {
        head: usize,
        tail: usize,
        #[serde(rename = "between")]
        middle: Vec<Value>,
    },
}

impl Edit {
    /// Returns the difference between `before` and `after`.
    ///
    /// ```
    /// use serde_json::json;
    /// use tarragon_edge::edit::Edit;
    /// use tarragon_store::object::{Object, Version};
    ///
    /// let object = |version, value| Object {
    ///     kind: "config".to_owned(),
    ///     name: "main".to_owned(),
    ///     version: Version(version),
    ///     value,
    /// };
    /// let before = object(1, json!({"version": 1, "routes": ["a", "b", "c"], "old": 1}));
    /// let after = object(4, json!({"version": 2, "routes": ["a", "x", "y", "c"]}));
    /// let edit = Edit::between(&before, &after);
    /// assert_eq!(edit.apply(&before), Some(after.clone()));
    /// assert_eq!(edit.apply(&after), None);
    /// ```
    #[must_use]
    pub fn between(before: &Object, after: &Object) -> Self {
        let empty = Map::new();
        let old = before.value.as_object().unwrap_or(&empty);
        let new = after.value.as_object().unwrap_or(&empty);
        let mut fields = Vec::new();
        for (name, value) in new {
            match old.get(name) {
                Some(known) if known == value => {}
                Some(Value::Array(known)) => {
                    fields.push((name.clone(), splice(known, value)));
                }
                _ => fields.push((name.clone(), Field::Set(value.clone()))),
            }
        }
        let removed = old.keys().filter(|name| !new.contains_key(*name));
        fields.extend(removed.map(|name| (name.clone(), Field::Removed)));
        Self {
            base: before.version,
            version: after.version,
            fields,
        }
    }

    /// Applies the edit; returns `None` if `object` is not the base version.
    #[must_use]
    pub fn apply(&self, object: &Object) -> Option<Object> {
        if object.version != self.base {
            return None;
        }
        let mut value = object.value.clone();
        let fields = value.as_object_mut()?;
        for (name, field) in &self.fields {
            match field {
                Field::Removed => {
                    fields.remove(name);
                }
                Field::Set(value) => {
                    fields.insert(name.clone(), value.clone());
                }
                Field::Splice { head, tail, middle } => {
                    let list = fields.get_mut(name)?.as_array_mut()?;
                    let end = list.len().checked_sub(*tail)?;
                    if *head > end {
                        return None;
                    }
                    list.splice(*head..end, middle.iter().cloned());
                }
            }
        }
        Some(Object {
            version: self.version,
            value,
            ..object.clone()
        })
    }
}

/// Returns the change of a list that keeps the common head and tail of both versions.
fn splice(old: &[Value], value: &Value) -> Field {
    let Value::Array(new) = value else {
        return Field::Set(value.clone());
    };
    let same = |(left, right): &(&Value, &Value)| left == right;
    let head = old.iter().zip(new).take_while(same).count();
    let (old, rest) = (&old[head..], &new[head..]);
    let tail = old.iter().rev().zip(rest.iter().rev());
    let tail = tail.take_while(same).count();
    Field::Splice {
        head,
        tail,
        middle: rest[..rest.len() - tail].to_vec(),
    }
}
