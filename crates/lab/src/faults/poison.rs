//! Poison requests: each crashes the backend server that runs it, and its caller retries.

use std::time::Duration;

use uuid::Uuid;

use super::inject::Injector;
use crate::deployment::Workload;
use crate::error::Result;
use crate::load::attempt::Request;
use crate::trace::Poison;

/// Number of attempts of one poison request.
const ATTEMPTS: u32 = 12;
/// Pause between two attempts.
const PAUSE: Duration = Duration::from_millis(400);
/// Deadline of an attempt.
const DEADLINE: Duration = Duration::from_secs(1);

/// Sends one poison request and retries it through other hosts, as its caller would.
///
/// # Errors
///
/// Never fails: refusals and broken connections are the expected results of a poison request.
pub async fn send(injector: &Injector, service: &str) -> Result<()> {
    let layout = &injector.fleet.layout;
    let services = &layout.config.services;
    let known = services.iter().find(|known| known.name.as_str() == service);
    let Some(service) = known.or_else(|| services.iter().find(|known| known.keyed)) else {
        return Ok(());
    };
    let name = Uuid::now_v7().to_string();
    let idempotent = injector.workload(service.name.as_str()) != Some(Workload::Write);
    let request = Request {
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
        if let Some(attempt) = injector.caller.attempt(&request, "", &tried).await {
            injector.caller.stats.record_attempt(&attempt);
            tried.push(attempt.host.clone());
            poison.requests.push(attempt.request);
        }
        tokio::time::sleep(PAUSE).await;
    }
    injector.journal.poison_sent(poison);
    Ok(())
}
