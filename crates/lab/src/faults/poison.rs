//! A request that ends each backend server which runs it, sent again by its caller.

use std::time::Duration;

use uuid::Uuid;

use super::inject::Injector;
use crate::deployment::Workload;
use crate::error::Result;
use crate::load::attempt::Request;
use crate::trace::Poison;

/// Attempts of one poison request.
const ATTEMPTS: u32 = 12;
/// Pause between two attempts.
const PAUSE: Duration = Duration::from_millis(400);
/// Deadline of an attempt.
const DEADLINE: Duration = Duration::from_secs(1);

/// Sends one poison request through many hosts, as its caller would.
///
/// # Errors
///
/// None of its own; refusals and broken connections are what a poison request meets.
pub async fn send(injector: &Injector, service: &str) -> Result<()> {
    let layout = &injector.fleet.layout;
    let services = &layout.config.services;
    let known = services.iter().find(|known| known.name.as_str() == service);
    let Some(service) = known.or_else(|| services.iter().find(|known| known.keyed)) else {
        return Ok(());
    };
    let name = Uuid::now_v7().to_string();
    let idempotent = injector.workload(service.name.as_str()) != Some(Workload::Write);
    let order = Request {
        idempotent,
        service: service.name.to_string(),
        key: format!("poison-{name}"),
        path_and_query: "plain?work_us=1000&bytes=16&poison=1".to_owned(),
        bytes: 16,
        deadline: DEADLINE,
        idempotency_key: (!idempotent).then(|| name.clone()),
    };
    let mut poison = Poison {
        name,
        requests: Vec::new(),
    };
    let mut tried = Vec::new();
    for _ in 0..ATTEMPTS {
        if let Some(made) = injector.caller.attempt(&order, "", &tried).await {
            injector.caller.stats.record_attempt(&made);
            tried.push(made.host.clone());
            poison.requests.push(made.request);
        }
        tokio::time::sleep(PAUSE).await;
    }
    injector.journal.poisoned(poison);
    Ok(())
}
