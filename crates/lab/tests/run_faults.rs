//! Fault files: each mistake is told with line and column; any valid file is taken.

use tarragon_lab::faults::{Field, Kind, Scope, file, schedule};

fn field() -> Field {
    let names = |list: &[&str]| list.iter().map(|name| (*name).to_owned()).collect();
    Field {
        hosts: names(&["h1", "h2", "h3"]),
        backends: names(&["b1"]),
        regions: names(&["sindh"]),
        domains: names(&["karachi-1"]),
        services: names(&["balance"]),
    }
}

/// Names one case: a text, and the line, column and words of its mistake.
macro_rules! mistake {
    ($name:ident, $text:expr, $line:expr, $column:expr, $words:literal) => {
        #[test]
        fn $name() {
            let mistake = file::parse($text, &field()).unwrap_err();
            assert_eq!(
                (mistake.line, mistake.column),
                ($line, $column),
                "{mistake}"
            );
            assert!(mistake.what.contains($words), "{mistake}");
        }
    };
}

mistake!(no_list, "{}", 1, 1, "expected a list");
mistake!(empty_text, "", 1, 1, "expected a list");
mistake!(
    no_time,
    "[\n  {\"kind\": \"store-down\"}]",
    2,
    3,
    "`at_ms` is missing"
);
mistake!(
    unknown_kind,
    "[{\"at_ms\": 1,\n \"kind\": \"host-melt\"}]",
    2,
    10,
    "unknown kind `host-melt`"
);
mistake!(
    unknown_field,
    "[{\"at_ms\": 1, \"kin\": 2}]",
    1,
    15,
    "unknown field `kin`"
);
mistake!(
    twice,
    "[{\"at_ms\": 1, \"at_ms\": 2}]",
    1,
    15,
    "stands twice"
);
mistake!(negative, "[{\"at_ms\": -1}]", 1, 12, "whole number");
mistake!(
    huge,
    "[{\"at_ms\": 99999999999999999999}]",
    1,
    12,
    "whole number"
);
mistake!(
    text_time,
    "[{\"at_ms\": \"1\"}]",
    1,
    12,
    "number of milliseconds"
);
mistake!(
    unknown_host,
    "[{\"at_ms\": 1, \"kind\": \"host-kill\", \"target\": \"h9\"}]",
    1,
    46,
    "one host, not h9"
);
mistake!(
    needless_target,
    "[{\"at_ms\": 1, \"kind\": \"store-down\", \"target\": \"h1\"}]",
    1,
    47,
    "no target"
);
mistake!(
    self_link,
    "[{\"at_ms\": 1, \"kind\": \"link-cut\", \"target\": [\"h1\", \"h1\"]}]",
    1,
    45,
    "two different"
);
mistake!(open_list, "[{\"at_ms\": 1}", 1, 1, "");

#[test]
fn store_ends_a_link() {
    let text = r#"[{"at_ms":5,"kind":"link-cut-back","target":["h1","store"],"for_ms":9}]"#;
    assert_eq!(file::parse(text, &field()).unwrap()[0].target[1], "store");
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
        let faults = file::parse(&text, &field()).unwrap();
        assert_eq!(faults[0].kind, kind);
    }
}

#[test]
fn schedules_repeat_and_are_valid() {
    let faults = schedule::draw(7, 120, &field());
    assert_eq!(faults, schedule::draw(7, 120, &field()));
    assert!(faults.len() > 5);
    for fault in faults {
        field().check(fault.kind, &fault.target).unwrap();
    }
}
