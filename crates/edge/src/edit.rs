//! Changes of one object, so that a large one need not travel whole for a small change.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use tarragon_store::object::{Object, Version};

/// What leads from one version of an object to a later one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Edit {
    /// Version that it changes.
    #[serde(rename = "since")]
    pub base: Version,
    /// Version that it makes.
    pub version: Version,
    fields: Vec<(String, Field)>,
}

/// Change of one field of the object's value.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum Field {
    /// It is gone.
    Gone,
    /// It has this value.
    Is(Value),
    /// It is a list of which the first and last items stay.
    Splice {
        head: usize,
        tail: usize,
        between: Vec<Value>,
    },
}

impl Edit {
    /// Returns what leads from `before` to `after`.
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
                _ => fields.push((name.clone(), Field::Is(value.clone()))),
            }
        }
        let gone = old.keys().filter(|name| !new.contains_key(*name));
        fields.extend(gone.map(|name| (name.clone(), Field::Gone)));
        Self {
            base: before.version,
            version: after.version,
            fields,
        }
    }

    /// Returns the later version, or `None` when `object` is not the one that it changes.
    #[must_use]
    pub fn apply(&self, object: &Object) -> Option<Object> {
        if object.version != self.base {
            return None;
        }
        let mut value = object.value.clone();
        let fields = value.as_object_mut()?;
        for (name, field) in &self.fields {
            match field {
                Field::Gone => {
                    fields.remove(name);
                }
                Field::Is(value) => {
                    fields.insert(name.clone(), value.clone());
                }
                Field::Splice {
                    head,
                    tail,
                    between,
                } => {
                    let list = fields.get_mut(name)?.as_array_mut()?;
                    let end = list.len().checked_sub(*tail)?;
                    if *head > end {
                        return None;
                    }
                    list.splice(*head..end, between.iter().cloned());
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

fn splice(old: &[Value], value: &Value) -> Field {
    let Value::Array(new) = value else {
        return Field::Is(value.clone());
    };
    let same = |(left, right): &(&Value, &Value)| left == right;
    let head = old.iter().zip(new).take_while(same).count();
    let (old, rest) = (&old[head..], &new[head..]);
    let tail = old.iter().rev().zip(rest.iter().rev());
    let tail = tail.take_while(same).count();
    Field::Splice {
        head,
        tail,
        between: rest[..rest.len() - tail].to_vec(),
    }
}
