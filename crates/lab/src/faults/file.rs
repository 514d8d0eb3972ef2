//! Fault files: JSON with comments, checked before the run starts.

use std::fmt;

use jsonc_parser::ast::{Array, ObjectProp, Value};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};

use super::{Fault, Field, Kind, Names};

/// Mistake in a fault file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mistake {
    /// Line, from one.
    pub line: usize,
    /// Column in characters, from one.
    pub column: usize,
    /// What is wrong.
    pub what: String,
}

impl fmt::Display for Mistake {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "line {}, column {}: {}",
            self.line, self.column, self.what
        )
    }
}

impl std::error::Error for Mistake {}

/// Mistake at a byte of the text.
struct Spot {
    byte: usize,
    what: String,
}

type Checked<T> = Result<T, Spot>;

/// Parses the text of a fault file and checks each fault against the names of the system.
///
/// The faults are returned in the order of their times.
///
/// ```
/// use tarragon_lab::faults::{Field, file};
///
/// let field = Field { hosts: vec!["h1".to_owned()], ..Field::default() };
/// let text = r#"[ // one fault
///     { "at_ms": 500, "kind": "host-kill", "target": "h1", "for_ms": 2000 } ]"#;
/// assert_eq!(file::parse(text, &field).unwrap().len(), 1);
/// ```
///
/// # Errors
///
/// Returns the first mistake with its line and column.
pub fn parse(text: &str, field: &Field) -> Result<Vec<Fault>, Mistake> {
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
    let parsed = parsed.map_err(|error| Mistake {
        line: error.line_display(),
        column: error.column_display(),
        what: error.kind().to_string(),
    })?;
    let faults = list(parsed.value.as_ref(), field);
    let mut faults = faults.map_err(|spot| place(text, spot))?;
    faults.sort_by_key(|fault| fault.at_ms);
    Ok(faults)
}

fn place(text: &str, spot: Spot) -> Mistake {
    let before = &text[..spot.byte.min(text.len())];
    let line_start = before.rfind('\n').map_or(0, |at| at + 1);
    Mistake {
        line: before.matches('\n').count() + 1,
        column: before[line_start..].chars().count() + 1,
        what: spot.what,
    }
}

fn spot<T>(at: &impl Ranged, what: impl Into<String>) -> Checked<T> {
    Err(Spot {
        byte: at.start(),
        what: what.into(),
    })
}

fn list(value: Option<&Value<'_>>, field: &Field) -> Checked<Vec<Fault>> {
    match value {
        Some(Value::Array(array)) => each(array, field),
        Some(other) => spot(other, "expected a list of faults"),
        None => Err(Spot {
            byte: 0,
            what: "expected a list of faults, found nothing".to_owned(),
        }),
    }
}

fn each(array: &Array<'_>, field: &Field) -> Checked<Vec<Fault>> {
    array
        .elements
        .iter()
        .map(|value| fault(value, field))
        .collect()
}

fn fault(value: &Value<'_>, field: &Field) -> Checked<Fault> {
    let Value::Object(object) = value else {
        return spot(value, "expected a fault in braces");
    };
    let (mut at_ms, mut kind, mut target, mut for_ms) = (None, None, None, None);
    for prop in &object.properties {
        let repeated = match prop.name.as_str() {
            "at_ms" => at_ms.replace(millis(prop)?).is_some(),
            "for_ms" => for_ms.replace(millis(prop)?).is_some(),
            "kind" => kind.replace(parse_kind(prop)?).is_some(),
            "target" => target.replace((prop, names(prop)?)).is_some(),
            other => return spot(prop, format!("unknown field `{other}`")),
        };
        if repeated {
            return spot(prop, format!("field `{}` stands twice", prop.name.as_str()));
        }
    }
    let Some(at_ms) = at_ms else {
        return spot(value, "field `at_ms` is missing");
    };
    let Some(kind) = kind else {
        return spot(value, "field `kind` is missing");
    };
    let (prop, names) = target.map_or((None, Names::new()), |(prop, names)| (Some(prop), names));
    if let Err(what) = field.check(kind, &names) {
        return prop.map_or_else(
            || spot(value, what.clone()),
            |prop| spot(&prop.value, what.clone()),
        );
    }
    Ok(Fault {
        at_ms,
        kind,
        target: names,
        for_ms: for_ms.unwrap_or_default(),
    })
}

/// Longest time that a fault file may name, in milliseconds.
const MILLIS_MAX: u64 = 7 * 24 * 3_600_000;

fn millis(prop: &ObjectProp<'_>) -> Checked<u64> {
    let name = prop.name.as_str();
    let Value::NumberLit(number) = &prop.value else {
        return spot(
            &prop.value,
            format!("`{name}` must be a number of milliseconds"),
        );
    };
    match number.value.parse::<u64>() {
        Ok(millis) if millis <= MILLIS_MAX => Ok(millis),
        _ => spot(
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
        return spot(&prop.value, "`kind` must be a text");
    };
    Kind::parse(&text.value).map_or_else(
        || {
            let known = Kind::ALL.map(|(_, name, _)| name).join(", ");
            spot(
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
        other => spot(other, "`target` must be a name or a list of names"),
    }
}

fn name(value: &Value<'_>) -> Checked<String> {
    match value {
        Value::StringLit(text) => Ok(text.value.to_string()),
        other => spot(other, "expected a name"),
    }
}
