//! Most of the machines are lost for good in a power failure, and new ones take their places.

use std::time::{Duration, Instant};

use crate::backend::Plan;
use crate::clients::{Clients, Node};
use crate::record::Record;
use crate::world::{Route, World};

const ROUTE: Route = Route {
    prefix: "/ledger/",
    kind: "idempotent",
    service: "ledger-view",
    keyed: true,
    timeout_ms: 1_200,
    attempts: 2,
};

const PLAN: Plan = Plan {
    service: "ledger-view",
    keyed: true,
    slots: 6,
    work: Duration::from_millis(20),
};

/// `recovery-s` of the pages.
const RECOVERY: Duration = Duration::from_secs(15);
/// Time over which the share of served requests is taken.
const SPAN: Duration = Duration::from_secs(12);

pub fn run(record: &Record, trouble: &str) -> Result<bool, String> {
    let mut world = World::new(record);
    world.configure(1, &[ROUTE], 16_384);
    for number in 1..=4 {
        world.backend(&format!("i-a{number}"), &PLAN);
    }
    for number in 1..=3 {
        world.machine(&format!("front-{number}"), true);
    }
    if !world.wait(Duration::from_secs(15), |w| w.routers.iter().all(|r| r.in_rotation())) {
        return Err("the routers were not ready in time".to_owned());
    }
    let clients = Clients::start(24, Duration::from_millis(300), "/ledger/", record);
    let nodes = |world: &World| -> Vec<Node> {
        let used = world.routers.iter();
        used.map(|r| (r.machine.front, r.rotation.clone())).collect()
    };
    *clients.nodes.lock().expect("nodes") = nodes(&world);
    std::thread::sleep(Duration::from_secs(8));
    let steady = Instant::now();
    std::thread::sleep(SPAN);
    let before = clients.share(steady, Instant::now());
    record.say(&format!("before: {} of {} requests are served", before.1, before.0));
    if before.1 * 4 < before.0 {
        return Err("less than a quarter was served before the fault".to_owned());
    }

    world.configure(2, &[ROUTE], 16_384);
    if trouble != "0" {
        power_failure(&mut world, trouble);
    }
    *clients.nodes.lock().expect("nodes") = nodes(&world);
    let back = Instant::now();
    record.say(&format!("{:>7} the machines are back", record.ms()));
    std::thread::sleep(RECOVERY);
    let from = Instant::now();
    std::thread::sleep(SPAN);
    let to = Instant::now();
    let after = clients.share(from, to);
    clients.stop();
    record.say(&format!(
        "from {} ms after that, for {} ms: {} of {} requests are served; in rotation: {}",
        (from - back).as_millis(),
        (to - from).as_millis(),
        after.1,
        after.0,
        world.routers.iter().filter(|r| r.in_rotation()).count()
    ));
    if after.0 == 0 {
        return Err("nothing was sent".to_owned());
    }
    Ok(after.1 * 4 >= after.0)
}

/// All routers and backends lose power at the same moment. Backends come back as new incarnations.
///
/// Two of the three machines of the router are gone for good, the one that acted last among them,
/// and two new machines come. With TROUBLE=same all three come back instead.
fn power_failure(world: &mut World, trouble: &str) {
    let record = world.record.clone();
    let granter = world.granter().unwrap_or_default();
    record.say(&format!("{:>7} all lose power; {granter} acted last", record.ms()));
    for router in &mut world.routers {
        router.kill();
    }
    for backend in world.backends.drain(..) {
        backend.crash(&record);
    }
    std::thread::sleep(Duration::from_secs(2));
    for number in 1..=4 {
        world.backend(&format!("i-b{number}"), &PLAN);
    }
    if trouble == "same" {
        for router in &mut world.routers {
            router.restart(&world.dir);
        }
        return;
    }
    let spare = world.routers.iter().position(|r| r.machine.node != granter).unwrap_or(0);
    let mut survivor = world.routers.swap_remove(spare);
    let lost: Vec<String> = world.routers.drain(..).map(|r| r.machine.node.clone()).collect();
    survivor.restart(&world.dir);
    world.routers.push(survivor);
    for number in 4..=5 {
        world.machine(&format!("front-{number}"), false);
    }
    record.say(&format!("{:>7} gone for good: {}; new: front-4, front-5", record.ms(), lost.join(", ")));
}
