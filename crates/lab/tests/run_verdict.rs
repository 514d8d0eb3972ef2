//! Each check detects the breach that it looks for and reports none where there is none.

use std::collections::BTreeMap;

use tarragon_lab::faults::Kind;
use tarragon_lab::trace::{self, *};
use tarragon_lab::verdict::{Breach, capacity, config, drain, effect, outage, owner, response};
use tarragon_model::config::{Config, Service, Shard};
use tarragon_model::fence::Fence;
use tarragon_model::host::Peer;
use tarragon_model::outcome::Outcome;
use tarragon_model::record::{Record, ReplicaSet};

/// Defines a test: the breaches are of this check, and this many.
macro_rules! verdict {
    ($name:ident, $breaches:expr, $check:literal, $count:expr) => {
        #[test]
        fn $name() {
            let breaches: Vec<Breach> = $breaches;
            assert!(breaches.iter().all(|breach| breach.check == $check));
            assert_eq!(breaches.len(), $count, "{breaches:?}");
        }
    };
}

fn service(name: &str, keyed: bool, checks_fences: bool) -> Service {
    Service {
        name: name.into(),
        keyed,
        checks_fences,
        groups: 16,
        shards: vec![Shard { weight: 1 }],
        backends: Vec::new(),
        slots: 2,
        connections: 10,
        deadline_ms: 1_000,
        orphan_ms: 0,
        classes: Vec::new(),
    }
}

fn services() -> Config {
    Config {
        services: vec![
            service("checked", true, true),
            service("unchecked", true, false),
            service("free", false, false),
        ],
        ..Config::default()
    }
}

fn execution(
    service: &str,
    backend: &str,
    request: &str,
    span: (u64, u64),
    stage: Stage,
) -> Execution {
    Execution {
        service: service.to_owned(),
        backend: backend.to_owned(),
        instance: format!("{backend}-1"),
        key: "k".to_owned(),
        request: request.to_owned(),
        effect_id: Some("e".to_owned()),
        start_us: span.0,
        end_us: Some(span.1),
        stage,
        halved: false,
    }
}

fn pair(service: &str, second: (u64, u64), stage: Stage) -> Vec<Execution> {
    vec![
        execution(service, "b1", "r1", (10, 20), Stage::Committed),
        execution(service, "b2", "r2", second, stage),
    ]
}

fn wrong_owner(executions: &[Execution]) -> Vec<Breach> {
    owner::wrong_owner(executions, &services())
}

verdict!(
    overlap_found,
    wrong_owner(&pair("checked", (15, 30), Stage::Committed)),
    "wrong_owner",
    1
);
verdict!(
    adjacent_executions_allowed,
    wrong_owner(&pair("checked", (20, 30), Stage::Committed)),
    "wrong_owner",
    0
);
verdict!(
    refused_commit_allowed,
    wrong_owner(&pair("checked", (15, 30), Stage::Aborted)),
    "wrong_owner",
    0
);
verdict!(
    unchecked_start_counts,
    wrong_owner(&pair("unchecked", (15, 30), Stage::Cancelled)),
    "wrong_owner",
    1
);
verdict!(
    unkeyed_ignored,
    wrong_owner(&pair("free", (15, 30), Stage::Committed)),
    "wrong_owner",
    0
);
verdict!(
    execution_without_end_overlaps,
    {
        let mut executions = pair("unchecked", (1_000, 1_001), Stage::Committed);
        executions[0].end_us = None;
        wrong_owner(&executions)
    },
    "wrong_owner",
    1
);
verdict!(
    execution_ends_with_its_killed_process,
    {
        let mut executions = pair("unchecked", (1_000, 1_001), Stage::Committed);
        executions[0].end_us = None;
        let incarnation = Incarnation {
            backend: "b1".to_owned(),
            from_us: 0,
            to_us: 900,
        };
        trace::close_unfinished(&mut executions, &[incarnation]);
        wrong_owner(&executions)
    },
    "wrong_owner",
    0
);

fn double_runs(executions: &[Execution]) -> Vec<Breach> {
    effect::double_runs(executions, &services())
}

verdict!(
    double_found,
    double_runs(&pair("free", (50, 60), Stage::Started)),
    "double_run",
    1
);
verdict!(
    double_commit_found,
    double_runs(&pair("checked", (50, 60), Stage::Committed)),
    "double_run",
    1
);
verdict!(
    refused_double_allowed,
    double_runs(&pair("checked", (50, 60), Stage::Aborted)),
    "double_run",
    0
);

fn attempt(request: &str, ending: Ending) -> Attempt {
    Attempt {
        request: request.to_owned(),
        service: "free".to_owned(),
        key: "k".to_owned(),
        host: "h1".to_owned(),
        start_us: 100,
        end_us: 200,
        status: 0,
        ending,
        reason: String::new(),
    }
}

fn not_run(request: &str, stage: Stage) -> Vec<Breach> {
    let attempts = [attempt(request, Ending::Answered(Outcome::NotRun))];
    effect::false_not_run(&[execution("free", "b1", "r1", (1, 2), stage)], &attempts)
}

verdict!(
    false_refusal_found,
    not_run("r1", Stage::Cancelled),
    "false_not_run",
    1
);
verdict!(
    true_refusal_allowed,
    not_run("r2", Stage::Committed),
    "false_not_run",
    0
);
verdict!(
    aborted_refusal_allowed,
    not_run("r1", Stage::Aborted),
    "false_not_run",
    0
);

verdict!(
    broken_found,
    response::broken(&[attempt("r1", Ending::Wrong)]),
    "broken_answers",
    1
);
verdict!(
    cut_is_not_broken,
    response::broken(&[attempt("r1", Ending::Cut)]),
    "broken_answers",
    0
);

fn poison(victims: &[&str]) -> Vec<Breach> {
    let run = |name: &&str| execution("free", name, &format!("p-{name}"), (5, 6), Stage::Started);
    let executions: Vec<Execution> = victims.iter().map(run).collect();
    let requests = executions
        .iter()
        .map(|execution| execution.request.clone())
        .collect();
    let (kills, breaches) = effect::poison_kills(
        &executions,
        &[Poison {
            name: "p".to_owned(),
            requests,
        }],
    );
    assert_eq!(kills, victims.len() as u64);
    breaches
}

verdict!(
    third_kill_found,
    poison(&["b1", "b2", "b3"]),
    "poison_kills_max",
    1
);
verdict!(
    second_kill_allowed,
    poison(&["b1", "b2"]),
    "poison_kills_max",
    0
);

fn concurrent(count: u64) -> Vec<Breach> {
    let executions: Vec<Execution> = (0..count)
        .map(|at| execution("free", "b1", &format!("r{at}"), (at, 50), Stage::Committed))
        .collect();
    capacity::slots(&executions, &services())
}

verdict!(third_slot_found, concurrent(3), "over_slots", 1);
verdict!(second_slot_allowed, concurrent(2), "over_slots", 0);

fn connections(count: u32) -> Vec<Breach> {
    let sample = Connections {
        at_us: 1,
        service: "free".to_owned(),
        backend: "b1".to_owned(),
        count,
    };
    capacity::connections(&[sample], &services())
}

verdict!(connection_found, connections(11), "over_connections", 1);
verdict!(connections_allowed, connections(10), "over_connections", 0);

fn status(host: &str, at_us: u64, known: u64, in_force: u64) -> Status {
    Status {
        sent_us: at_us,
        read_us: at_us + 1,
        host: host.to_owned(),
        incarnation: 1,
        config_version: known,
        in_force: BTreeMap::from([("free.0".to_owned(), in_force)]),
        invariants: BTreeMap::new(),
    }
}

const CHANGE: Accepted = Accepted {
    version: 8,
    at_us: 10,
    due_us: 100,
};

verdict!(
    known_revert_found,
    config::reverts(&[status("h1", 1, 8, 0), status("h1", 5, 7, 0)], &[]),
    "config_reverts",
    1
);
verdict!(
    shard_revert_found,
    config::reverts(&[status("h1", 1, 8, 8), status("h2", 5, 8, 7)], &[]),
    "config_reverts",
    1
);
verdict!(
    late_change_found,
    config::reverts(&[status("h1", 101, 7, 7)], &[CHANGE]),
    "config_reverts",
    1
);
verdict!(
    change_in_force_in_time_allowed,
    config::reverts(
        &[status("h1", 99, 7, 7), status("h1", 101, 8, 8)],
        &[CHANGE]
    ),
    "config_reverts",
    0
);

fn assignment(host: &str, succession: u8, at_us: u64, owner: &str) -> Assignment {
    Assignment {
        sent_us: at_us,
        read_us: at_us + 1,
        host: host.to_owned(),
        shard: "free.0".to_owned(),
        fence: Fence::new(1, succession),
        owners: BTreeMap::from([(3, owner.to_owned())]),
    }
}

fn reverted(moves: &[Move]) -> Vec<Breach> {
    let states = [
        assignment("h1", 0, 1, "b1"),
        assignment("h1", 0, 2, "b2"),
        assignment("h2", 1, 3, "b1"),
    ];
    owner::lost_assignments(&states, moves)
}

verdict!(reverted_owner_found, reverted(&[]), "lost_assignments", 1);
verdict!(
    stated_move_allowed,
    reverted(&[Move {
        shard: "free.0".to_owned(),
        to: "b1".to_owned(),
        groups: Some((0, 5))
    }]),
    "lost_assignments",
    0
);
verdict!(
    other_move_found,
    reverted(&[Move {
        shard: "free.0".to_owned(),
        to: "b1".to_owned(),
        groups: Some((4, 5))
    }]),
    "lost_assignments",
    1
);

fn change(version: u64, epoch: u64, index: u64, leader: &str) -> Change {
    let peer = |name: &str| Peer::new(name.into(), 1);
    Change {
        at_us: version,
        shard: "free.0".to_owned(),
        version,
        record: Record {
            epoch,
            fence: Fence::new(epoch, 0),
            index,
            token: String::new(),
            replica_set: ReplicaSet {
                leader: peer(leader),
                first: peer("h8"),
                second: peer("h9"),
            },
            owners: Vec::new(),
            overrides: Vec::new(),
        },
    }
}

verdict!(
    epoch_taken_twice_found,
    owner::overwritten(&[change(1, 4, 0, "h1"), change(2, 4, 0, "h2")]),
    "lost_assignments",
    1
);
verdict!(
    index_back_found,
    owner::overwritten(&[change(1, 4, 7, "h1"), change(2, 4, 6, "h1")]),
    "lost_assignments",
    1
);
verdict!(
    next_epoch_allowed,
    owner::overwritten(&[change(2, 5, 0, "h2"), change(1, 4, 7, "h1")]),
    "lost_assignments",
    0
);

fn gap(millis: u64, covered: bool) -> Vec<Breach> {
    let gap = Gap {
        service: "free".to_owned(),
        key: "k".to_owned(),
        from_us: 1_000,
        to_us: 1_000 + millis * 1_000,
        first: String::new(),
        faults: vec!["host-kill".to_owned()],
        covered,
    };
    assert_eq!(
        outage::by_kind(std::slice::from_ref(&gap))["host-kill"].max,
        millis
    );
    outage::unavailable(&[gap]).1
}

verdict!(long_gap_found, gap(4_001, true), "unavailable_ms_max", 1);
verdict!(short_gap_allowed, gap(4_000, true), "unavailable_ms_max", 0);
verdict!(
    uncovered_gap_allowed,
    gap(9_000, false),
    "unavailable_ms_max",
    0
);

fn drain(name: &str, isolated: bool) -> Drain {
    Drain {
        name: name.to_owned(),
        from_us: 150,
        to_us: 9_000_000,
        isolated,
    }
}

fn new_work(start_us: u64) -> Vec<Breach> {
    let executions = [execution(
        "free",
        "b1",
        "r1",
        (start_us, start_us + 1),
        Stage::Committed,
    )];
    drain::new_work(&executions, &[drain("b1", true)]).1
}

verdict!(
    late_work_found,
    new_work(3_000_151),
    "leaver_new_work_ms",
    1
);
verdict!(
    early_work_allowed,
    new_work(3_000_150),
    "leaver_new_work_ms",
    0
);

fn cut(host: &str, isolated: bool) -> Vec<Breach> {
    drain::cut_requests(&[attempt("r1", Ending::Cut)], &[], &[drain(host, isolated)])
}

fn cut_beside(halved: bool, request: &str) -> Vec<Breach> {
    let mut execution = execution("free", "b1", request, (1, 2), Stage::Committed);
    execution.halved = halved;
    drain::cut_requests(
        &[attempt("r1", Ending::Cut)],
        &[execution],
        &[drain("h1", false)],
    )
}

verdict!(
    cut_by_the_backend_server_allowed,
    cut_beside(true, "r1"),
    "cut_requests",
    0
);
verdict!(
    cut_of_a_whole_answer_found,
    cut_beside(false, "r1"),
    "cut_requests",
    1
);
verdict!(
    cut_beside_another_halved_answer_found,
    cut_beside(true, "r2"),
    "cut_requests",
    1
);

verdict!(cut_found, cut("h1", false), "cut_requests", 1);
verdict!(cut_elsewhere_found, cut("h2", true), "cut_requests", 1);
verdict!(
    cut_by_other_fault_allowed,
    cut("h2", false),
    "cut_requests",
    0
);

#[test]
fn record_lines_merge() {
    let line = |state: &str, end: &str| {
        format!(
            r#"{{"service":"s","backend":"b","instance":"i","key":"k","request":"r","effect_id":null,"start_us":1,"end_us":{end},"state":"{state}"}}"#
        )
    };
    let lines = [
        line("started", "1"),
        line("committed", "9"),
        r#"{"serv"#.to_owned(),
    ];
    let executions = trace::merge(lines.iter().map(String::as_str));
    assert_eq!(executions.len(), 1);
    assert_eq!(
        (executions[0].stage, executions[0].end_us),
        (Stage::Committed, Some(9))
    );
}

fn span(kind: Kind, from_us: u64, to_us: u64) -> Span {
    Span {
        kind,
        from_us,
        to_us,
    }
}

fn covered(spans: &[Span]) -> bool {
    let mut gaps = [Gap {
        service: String::new(),
        key: String::new(),
        from_us: 100,
        to_us: 200,
        first: String::new(),
        faults: Vec::new(),
        covered: false,
    }];
    outage::attribute(&mut gaps, spans);
    gaps[0].covered
}

/// Defines a test: whether the guarantee covers a gap from 100 to 200 us beside these faults.
macro_rules! coverage {
    ($name:ident, $covered:literal, $($span:expr),*) => {
        #[test]
        fn $name() {
            assert_eq!(covered(&[$($span),*]), $covered);
        }
    };
}

coverage!(calm_is_covered, true,);
coverage!(one_loss_is_covered, true, span(Kind::HostKill, 90, 300));
coverage!(
    loss_without_store_is_covered,
    true,
    span(Kind::HostKill, 90, 300),
    span(Kind::StoreDown, 0, 900)
);
coverage!(
    two_losses_are_not_covered,
    false,
    span(Kind::HostKill, 90, 300),
    span(Kind::HostFreeze, 10, 95)
);
coverage!(
    later_loss_does_not_count,
    true,
    span(Kind::HostKill, 90, 300),
    span(Kind::HostFreeze, 201, 900)
);
