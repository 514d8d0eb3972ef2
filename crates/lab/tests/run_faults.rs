//! Fault files: each error is reported with line and column, and every kind of fault parses.

use tarragon_lab::faults::{Kind, Scope, Targets, file, schedule};

fn targets() -> Targets {
    let names = |list: &[&str]| list.iter().map(|name| (*name).to_owned()).collect();
    Targets {
        hosts: names(&["h1", "h2", "h3"]),
        backends: names(&["b1"]),
        regions: names(&["sindh"]),
        domains: names(&["karachi-1"]),
        services: names(&["balance"]),
    }
}

/// Defines a test: the text is rejected at this line and column with a message that contains this
/// text.
macro_rules! rejected {
    ($name:ident, $text:expr, $line:expr, $column:expr, $message:literal) => {
        #[test]
        fn $name() {
            let parse_error = file::parse($text, &targets()).unwrap_err();
            assert_eq!(
                (parse_error.line, parse_error.column),
                ($line, $column),
                "{parse_error}"
            );
            assert!(parse_error.message.contains($message), "{parse_error}");
        }
    };
}

rejected!(no_list, "{}", 1, 1, "expected a list");
rejected!(empty_text, "", 1, 1, "expected a list");
rejected!(
    no_time,
    "[\n  {\"kind\": \"store-down\"}]",
    2,
    3,
    "`at_ms` is missing"
);
rejected!(
    unknown_kind,
    "[{\"at_ms\": 1,\n \"kind\": \"host-melt\"}]",
    2,
    10,
    "unknown kind `host-melt`"
);
rejected!(
    unknown_field,
    "[{\"at_ms\": 1, \"kin\": 2}]",
    1,
    15,
    "unknown field `kin`"
);
rejected!(
    twice,
    "[{\"at_ms\": 1, \"at_ms\": 2}]",
    1,
    15,
    "duplicate field `at_ms`"
);
rejected!(negative, "[{\"at_ms\": -1}]", 1, 12, "whole number");
rejected!(
    huge,
    "[{\"at_ms\": 99999999999999999999}]",
    1,
    12,
    "whole number"
);
rejected!(
    text_time,
    "[{\"at_ms\": \"1\"}]",
    1,
    12,
    "number of milliseconds"
);
rejected!(
    unknown_host,
    "[{\"at_ms\": 1, \"kind\": \"host-kill\", \"target\": \"h9\"}]",
    1,
    46,
    "one host, not h9"
);
rejected!(
    needless_target,
    "[{\"at_ms\": 1, \"kind\": \"store-down\", \"target\": \"h1\"}]",
    1,
    47,
    "no target"
);
rejected!(
    self_link,
    "[{\"at_ms\": 1, \"kind\": \"link-cut\", \"target\": [\"h1\", \"h1\"]}]",
    1,
    45,
    "two different"
);
rejected!(open_list, "[{\"at_ms\": 1}", 1, 1, "");

#[test]
fn link_to_the_store_parses() {
    let text = r#"[{"at_ms":5,"kind":"link-cut-back","target":["h1","store"],"for_ms":9}]"#;
    assert_eq!(file::parse(text, &targets()).unwrap()[0].target[1], "store");
}

#[test]
fn every_kind_parses() {
    for (kind, name, scope) in Kind::ALL {
        let target = match scope {
            Scope::Host => r#""h1""#,
            Scope::Link => r#"["h1", "b1"]"#,
            Scope::Group => r#"["h1", "h2"]"#,
            Scope::Region => r#""sindh""#,
            Scope::Domain => r#""karachi-1""#,
            Scope::Backend => r#""b1""#,
            Scope::Nothing | Scope::AnyHost | Scope::Preset | Scope::Service => "[]",
        };
        let text =
            format!(r#"[ /* one */ {{"at_ms":5,"kind":"{name}","target":{target},"for_ms":9}} ]"#);
        let faults = file::parse(&text, &targets()).unwrap();
        assert_eq!(faults[0].kind, kind);
    }
}

#[test]
fn schedules_are_reproducible_and_valid() {
    let faults = schedule::random(7, 120, &targets());
    assert_eq!(faults, schedule::random(7, 120, &targets()));
    assert!(faults.len() > 5);
    for fault in faults {
        targets().check(fault.kind, &fault.target).unwrap();
    }
}
