//! Fault files: JSON with comments, validated before the run starts.

use std::fmt;

use jsonc_parser::ast::{Array, ObjectProp, Value};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};

use super::{Fault, Kind, Names, Targets};

/// Error in a fault file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParseError {
    /// Line, counted from one.
    pub line: usize,
    /// Column in characters, counted from one.
    pub column: usize,
    /// Description of the error.
    pub message: String,
}

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "line {}, column {}: {}",
            self.line, self.column, self.message
        )
    }
}

impl std::error::Error for ParseError {}

/// Error at a byte offset of the text.
struct ErrorAt {
    byte: usize,
    message: String,
}

type Checked<T> = Result<T, ErrorAt>;

/// Parses a fault file and checks that the target of each fault exists.
///
/// The faults are sorted by time.
///
/// ```
/// use tarragon_lab::faults::{Targets, file};
///
/// let targets = Targets { hosts: vec!["h1".to_owned()], ..Targets::default() };
/// let text = r#"[ // one fault
///     { "at_ms": 500, "kind": "host-kill", "target": "h1", "for_ms": 2000 } ]"#;
/// assert_eq!(file::parse(text, &targets).unwrap().len(), 1);
/// ```
///
/// # Errors
///
/// Returns the first error with its line and column.
pub fn parse(text: &str, targets: &Targets) -> Result<Vec<Fault>, ParseError> {
    let options = ParseOptions {
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
        ..ParseOptions::default()
    };
    let parsed = parse_to_ast(text, &CollectOptions::default(), &options);
    let parsed = parsed.map_err(|error| ParseError {
        line: error.line_display(),
        column: error.column_display(),
        message: error.kind().to_string(),
    })?;
    let faults = root(parsed.value.as_ref(), targets);
    let mut faults = faults.map_err(|error_at| locate(text, error_at))?;
    faults.sort_by_key(|fault| fault.at_ms);
    Ok(faults)
}

fn locate(text: &str, error_at: ErrorAt) -> ParseError {
    let before = &text[..error_at.byte.min(text.len())];
    let line_start = before.rfind('\n').map_or(0, |at| at + 1);
    ParseError {
        line: before.matches('\n').count() + 1,
        column: before[line_start..].chars().count() + 1,
        message: error_at.message,
    }
}

fn error_at<T>(at: &impl Ranged, message: impl Into<String>) -> Checked<T> {
    Err(ErrorAt {
        byte: at.start(),
        message: message.into(),
    })
}

fn root(value: Option<&Value<'_>>, targets: &Targets) -> Checked<Vec<Fault>> {
    match value {
        Some(Value::Array(array)) => fault_list(array, targets),
        Some(other) => error_at(other, "expected a list of faults"),
        None => Err(ErrorAt {
            byte: 0,
            message: "expected a list of faults, found nothing".to_owned(),
        }),
    }
}

fn fault_list(array: &Array<'_>, targets: &Targets) -> Checked<Vec<Fault>> {
    array
        .elements
        .iter()
        .map(|value| fault(value, targets))
        .collect()
}

fn fault(value: &Value<'_>, targets: &Targets) -> Checked<Fault> {
    let Value::Object(object) = value else {
        return error_at(value, "expected a fault object");
    };
    let (mut at_ms, mut kind, mut target, mut for_ms) = (None, None, None, None);
    for prop in &object.properties {
        let duplicate = match prop.name.as_str() {
            "at_ms" => at_ms.replace(millis(prop)?).is_some(),
            "for_ms" => for_ms.replace(millis(prop)?).is_some(),
            "kind" => kind.replace(parse_kind(prop)?).is_some(),
            "target" => target.replace((prop, names(prop)?)).is_some(),
            other => return error_at(prop, format!("unknown field `{other}`")),
        };
        if duplicate {
            return error_at(prop, format!("duplicate field `{}`", prop.name.as_str()));
        }
    }
    let Some(at_ms) = at_ms else {
        return error_at(value, "field `at_ms` is missing");
    };
    let Some(kind) = kind else {
        return error_at(value, "field `kind` is missing");
    };
    let (prop, names) = target.map_or((None, Names::new()), |(prop, names)| (Some(prop), names));
    if let Err(message) = targets.check(kind, &names) {
        return prop.map_or_else(
            || error_at(value, message.clone()),
            |prop| error_at(&prop.value, message.clone()),
        );
    }
    Ok(Fault {
        at_ms,
        kind,
        target: names,
        for_ms: for_ms.unwrap_or_default(),
    })
}

/// Largest time or duration in a fault file, in milliseconds.
const MILLIS_MAX: u64 = 7 * 24 * 3_600_000;

fn millis(prop: &ObjectProp<'_>) -> Checked<u64> {
    let name = prop.name.as_str();
    let Value::NumberLit(number) = &prop.value else {
        return error_at(
            &prop.value,
            format!("`{name}` must be a number of milliseconds"),
        );
    };
    match number.value.parse::<u64>() {
        Ok(millis) if millis <= MILLIS_MAX => Ok(millis),
        _ => error_at(
            &prop.value,
            format!(
                "`{name}` must be a whole number from 0 to {MILLIS_MAX}, not {}",
                number.value
            ),
        ),
    }
}

fn parse_kind(prop: &ObjectProp<'_>) -> Checked<Kind> {
    let Value::StringLit(text) = &prop.value else {
        return error_at(&prop.value, "`kind` must be a string");
    };
    Kind::parse(&text.value).map_or_else(
        || {
            let known = Kind::ALL.map(|(_, name, _)| name).join(", ");
            error_at(
                &prop.value,
                format!("unknown kind `{}`; known: {known}", text.value),
            )
        },
        Ok,
    )
}

fn names(prop: &ObjectProp<'_>) -> Checked<Names> {
    match &prop.value {
        Value::StringLit(text) => Ok(std::iter::once(text.value.to_string()).collect()),
        Value::NullKeyword(_) => Ok(Names::new()),
        Value::Array(array) => array.elements.iter().map(name).collect(),
        other => error_at(other, "`target` must be a name or a list of names"),
    }
}

fn name(value: &Value<'_>) -> Checked<String> {
    match value {
        Value::StringLit(text) => Ok(text.value.to_string()),
        other => error_at(other, "expected a name"),
    }
}
