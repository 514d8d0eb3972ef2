//! Reads documents of JSON with comments and locates values in their text.

use std::path::{Path, PathBuf};

use jsonc_parser::ast::{Object, Value};
use jsonc_parser::common::{Range, Ranged};
use jsonc_parser::errors::ParseError;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast, parse_to_serde_value};
use serde::de::DeserializeOwned;

use crate::problem::{Problem, Segment};
use crate::settings::{Diagnostic, Error};

/// Text of a document and the path of its file.
pub(crate) struct Document {
    path: PathBuf,
    text: String,
}

impl Document {
    /// Reads a document from a file.
    pub(crate) fn read(path: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path).map_err(|source| Error::Read {
            path: path.to_owned(),
            source,
        })?;
        let path = path.to_owned();
        Ok(Self { path, text })
    }

    /// Deserializes the document.
    pub(crate) fn parse<T: DeserializeOwned>(&self) -> Result<T, Error> {
        parse_to_serde_value(&self.text, &options())
            .map_err(|error| Error::Invalid(vec![self.diagnose(&error)]))
    }

    /// Returns an error that reports each problem with its position in the file.
    pub(crate) fn error(&self, problems: &[Problem]) -> Error {
        Error::Invalid(
            problems
                .iter()
                .map(|problem| self.locate(problem))
                .collect(),
        )
    }

    fn diagnose(&self, error: &ParseError) -> Diagnostic {
        let message = error.kind().to_string();
        let offset = self.unknown_field(&message, error.range().start);
        let (line, column) = self.line_and_column(offset.unwrap_or(error.range().start));
        Diagnostic {
            path: self.path.clone(),
            line,
            column,
            message,
            advice: "correct the text at this position; docs/GUIDE.md lists the fields".to_owned(),
        }
    }

    /// Returns the byte offset of an unknown field's name.
    ///
    /// The parser reports only the start of the object that contains the field, at `object`.
    fn unknown_field(&self, message: &str, object: usize) -> Option<usize> {
        let name = message.strip_prefix("unknown field `")?.split('`').next()?;
        let parsed = parse_to_ast(&self.text, &CollectOptions::default(), &options());
        let root = parsed.ok()?.value?;
        let object = object_at(&root, object)?;
        Some(object.get(name)?.range.start)
    }

    fn locate(&self, problem: &Problem) -> Diagnostic {
        let (line, column) = self.position(&problem.path);
        Diagnostic {
            path: self.path.clone(),
            line,
            column,
            message: problem.message.clone(),
            advice: problem.advice.clone(),
        }
    }

    /// Returns the line and column of the value at `path`, or of the innermost existing value that
    /// encloses it.
    fn position(&self, path: &[Segment]) -> (usize, usize) {
        let parsed = parse_to_ast(&self.text, &CollectOptions::default(), &options());
        let root = parsed.ok().and_then(|result| result.value);
        let range = root.map_or_else(|| Range::new(0, 0), |value| descend(&value, path));
        self.line_and_column(range.start)
    }

    fn line_and_column(&self, offset: usize) -> (usize, usize) {
        let before = self.text.get(..offset).unwrap_or_default();
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
        let line = before.matches('\n').count() + 1;
        let column = before[line_start..].chars().count() + 1;
        (line, column)
    }
}

fn descend(value: &Value<'_>, path: &[Segment]) -> Range {
    let Some((segment, rest)) = path.split_first() else {
        return value.range();
    };
    let child = match (segment, value) {
        (Segment::Field(name), Value::Object(object)) => object.get(name).map(|prop| &prop.value),
        (Segment::Index(index), Value::Array(array)) => array.elements.get(*index),
        _ => None,
    };
    child.map_or_else(|| value.range(), |child| descend(child, rest))
}

/// Finds the object that starts at the byte offset `start`.
fn object_at<'a, 'b>(value: &'b Value<'a>, start: usize) -> Option<&'b Object<'a>> {
    match value {
        Value::Object(object) if object.range.start == start => Some(object),
        Value::Object(object) => object
            .properties
            .iter()
            .find_map(|prop| object_at(&prop.value, start)),
        Value::Array(array) => array
            .elements
            .iter()
            .find_map(|element| object_at(element, start)),
        _ => None,
    }
}

fn options() -> ParseOptions {
    ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    }
}
