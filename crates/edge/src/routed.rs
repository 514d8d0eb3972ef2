//! Request with its route: chooses backend servers, sends, and retries within the limits.

use std::collections::HashSet;
use std::fmt::Write;
use std::time::Duration;

use http::StatusCode;
use smallvec::SmallVec;
use tarragon_dispatch::catalog::Route;
use tarragon_dispatch::denial::Claim;
use tarragon_dispatch::fleet::Pick;
use tarragon_dispatch::homes::Homes;
use tarragon_dispatch::poison::Fingerprint;
use tarragon_dispatch::table;
use tokio::time::Instant;

use crate::relay::{self, Answered, Attempt, CallerRequest, Outcome, ServerResponse};
use crate::state::State;

mod choice;
mod failure;
mod holder;

pub use self::failure::{DEFAULT_RETRY_AFTER, Failure, STOPPING};

/// Pause before a keyed request is retried, cut short when a key map or a backend server changes.
const KEY_RETRY_PAUSE: Duration = Duration::from_millis(60);
/// Maximum number of sends of one request, including those that did not run it.
const MAX_SENDS: u32 = 4;
/// Maximum number of waits of one request for a connection; the relay limits the time of each.
const MAX_CONNECTION_WAITS: u32 = 3;
/// Multiple of the expected response time within which nearly all requests end.
const USUAL_TIME_FACTOR: u32 = 3;
/// Remaining time below which a request is not retried.
const MIN_TIME_LEFT: Duration = Duration::from_millis(15);

/// Request with its route, and the progress of its sends.
pub struct Request<'a> {
    state: &'a State,
    route: &'a Route,
    service: &'a str,
    homes: Homes,
    /// Revision of the catalog that `homes` takes into account.
    homes_revision: u64,
    content: CallerRequest,
    key: Option<u16>,
    fingerprint: Fingerprint,
    started: Instant,
    deadline: Instant,
    tried: Vec<String>,
    /// Number of sends after which the request may have run.
    unknown_sends: u32,
    /// Backend servers on which the request may have run.
    may_have_run_on: HashSet<String>,
    /// Backend servers that denied holding the key of this request.
    denied_by: SmallVec<[String; 2]>,
    sends: u32,
    /// Responses after which the request was, or may be, sent again.
    answered: SmallVec<[Answered; 2]>,
    /// Whether a send is in progress.
    sending: bool,
    connection_waits: u32,
    /// Fields for the log line of the request.
    trace: String,
}

/// Appends fields to the log line of a request.
fn append(trace: &mut String, text: std::fmt::Arguments<'_>) {
    if let Err(error) = trace.write_fmt(text) {
        log::debug!("event=trace-incomplete error=\"{error}\"");
    }
}

/// Backend server that a request is sent to.
struct Target {
    pick: Pick,
    /// Last key of the range that the server holds by the key map, if the request has a key.
    range_to: Option<u16>,
}

impl Target {
    /// Returns a server that was chosen among all of its service.
    const fn any(pick: Pick) -> Self {
        Self {
            pick,
            range_to: None,
        }
    }

    fn claim<'a>(&'a self, service: &'a str, to: u16) -> Claim<'a> {
        Claim {
            service,
            to,
            server: &self.pick.id,
            start_ms: self.pick.start_ms,
        }
    }
}

/// Next step of a request after one send.
enum Next {
    Done(ServerResponse),
    Fail(Failure),
    Retry,
}

impl<'a> Request<'a> {
    /// Creates a request of which nothing was sent, and chooses its service.
    #[must_use]
    pub fn new(
        state: &'a State,
        entry: &'a table::Entry,
        content: CallerRequest,
        key: Option<u16>,
        fingerprint: Fingerprint,
        started: Instant,
        deadline: Instant,
    ) -> Self {
        let service = entry.next_service();
        let trace = format!(
            " route={} service={service} kind={:?} key={} catalog={} bytes_in={}",
            entry.route.name,
            entry.route.kind,
            key.map_or_else(|| "-".to_owned(), |key| key.to_string()),
            state.catalog_revision(),
            content.body.len()
        );
        Self {
            state,
            route: &entry.route,
            service,
            homes: entry.route.homes.clone(),
            homes_revision: state.catalog_revision(),
            content,
            key,
            fingerprint,
            started,
            deadline,
            tried: Vec::new(),
            unknown_sends: 0,
            may_have_run_on: HashSet::new(),
            denied_by: SmallVec::new(),
            sends: 0,
            answered: SmallVec::new(),
            sending: false,
            connection_waits: 0,
            trace,
        }
    }

    /// Returns the fields of the request and of its sends for the log line.
    #[must_use]
    pub fn into_trace(self) -> String {
        self.trace
    }

    /// Returns the failure of the request at its deadline.
    #[must_use]
    pub fn timed_out(&self) -> Failure {
        if self.may_have_run() {
            Failure::new(StatusCode::GATEWAY_TIMEOUT, "no answer in time")
        } else {
            Failure::not_run("no time left", DEFAULT_RETRY_AFTER)
        }
    }

    /// Returns the failure of the request when the process ends before it.
    #[must_use]
    pub fn interrupted(&self) -> Failure {
        if self.may_have_run() {
            Failure::new(StatusCode::GATEWAY_TIMEOUT, STOPPING)
        } else {
            Failure::not_run(STOPPING, DEFAULT_RETRY_AFTER)
        }
    }

    const fn may_have_run(&self) -> bool {
        self.unknown_sends > 0 || self.sending
    }

    /// Sends the request until there is a final response.
    ///
    /// # Errors
    ///
    /// Returns why there is no response to forward. Only a refusal states that the request did not
    /// run.
    pub async fn run(&mut self) -> Result<ServerResponse, Failure> {
        let state = self.state;
        if state
            .quarantine
            .borrow()
            .is_quarantined(self.fingerprint, state.now())
        {
            return Err(Failure::not_run(
                "it crashed backend servers",
                DEFAULT_RETRY_AFTER,
            ));
        }
        let connections = self.connections();
        let keyed = self.key.filter(|_| self.is_keyed());
        self.check_share()?;
        if let Some(key) = keyed {
            state.count_key(self.service, key);
        }
        state.with_budget(self.service, |budget| budget.record_request(state.now()));
        loop {
            self.update_homes();
            let target = match keyed {
                Some(key) => self.wait_for_holder(key).await?,
                None => Target::any(self.select_server()?),
            };
            if !self.ends_before_shutdown(&target.pick.id) {
                return Err(self.failure(STOPPING, DEFAULT_RETRY_AFTER));
            }
            self.sends += 1;
            self.sending = true;
            let sent = Instant::now();
            let pick = &target.pick;
            let earlier = &self.answered;
            let sending = relay::send(
                state,
                &self.content,
                pick,
                connections,
                earlier,
                self.deadline,
            );
            let attempt = sending.await;
            self.sending = false;
            state.metrics.count_send(attempt.outcome.name());
            self.trace_send(pick, &attempt, sent);
            self.record_claim(&target, &attempt.outcome);
            self.record_answer(pick, &attempt);
            match self.after_send(pick, attempt.outcome, keyed).await {
                Next::Done(response) => {
                    self.record_served();
                    return Ok(response);
                }
                Next::Fail(failure) => return Err(failure),
                Next::Retry => {}
            }
            self.tried.push(target.pick.id);
        }
    }

    /// Returns whether a send to a backend server is expected to end before a stopping process.
    fn ends_before_shutdown(&self, id: &str) -> bool {
        self.state.shutdown.get().is_none_or(|schedule| {
            let fleet = self.state.fleet.borrow();
            let expected = fleet.expected(id, self.state.now()).unwrap_or_default();
            let usual = self.route.objective.max(expected * USUAL_TIME_FACTOR);
            schedule.admits(Instant::now(), self.deadline, usual)
        })
    }

    /// Records a response that left its connection open.
    fn record_answer(&mut self, pick: &Pick, attempt: &Attempt) {
        let full = match attempt.outcome {
            Outcome::NotRun(status) => status != StatusCode::MISDIRECTED_REQUEST,
            Outcome::Response(_) => false,
            _ => return,
        };
        if let Some(connection) = attempt.connection {
            self.answered.push(Answered {
                server: pick.id.clone(),
                connection,
                full,
            });
        }
    }

    /// Records whether the backend server confirmed what led the request to it.
    fn record_claim(&mut self, target: &Target, outcome: &Outcome) {
        let state = self.state;
        let now = state.now();
        let id = &target.pick.id;
        if matches!(outcome, Outcome::OtherServer) {
            log::info!("event=server-denied service={} server={id}", self.service);
            state.fleet.borrow_mut().record_denial(id, now);
            state.pool.close_idle(id);
            return;
        }
        let Some(to) = target.range_to else {
            return;
        };
        let claim = target.claim(self.service, to);
        match outcome {
            Outcome::NotRun(StatusCode::MISDIRECTED_REQUEST) => {
                log::info!(
                    "event=keys-denied service={} to={to} server={id} born={}",
                    self.service,
                    target.pick.start_ms
                );
                state.denials.borrow_mut().record(&claim, now);
                self.denied_by.push(id.clone());
            }
            Outcome::Response(_) => state.denials.borrow_mut().confirm(&claim),
            _ => {}
        }
    }

    fn is_keyed(&self) -> bool {
        let catalog = self.state.catalog();
        catalog
            .service(self.service)
            .is_some_and(|service| service.keyed)
    }

    fn connections(&self) -> u32 {
        let catalog = self.state.catalog();
        catalog
            .service(self.service)
            .map_or(1, |service| service.connections)
    }

    fn attempts(&self) -> usize {
        usize::try_from(self.route.attempts).unwrap_or(usize::MAX)
    }

    fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    fn trace_send(&mut self, pick: &Pick, attempt: &Attempt, sent: Instant) {
        let outcome = &attempt.outcome;
        let detail = match outcome {
            Outcome::Response(response) => response.status.as_u16().to_string(),
            Outcome::NotRun(status) => status.as_u16().to_string(),
            Outcome::Full | Outcome::OtherServer => "-".to_owned(),
            Outcome::NotSent(text) | Outcome::Unknown(text) => format!("\"{text}\""),
        };
        let connection = attempt
            .connection
            .map_or_else(|| "-".to_owned(), |c| c.to_string());
        append(
            &mut self.trace,
            format_args!(
                " send={} server={} born={} connection={connection} result={} detail={detail} took_ms={}",
                self.sends,
                pick.id,
                pick.start_ms,
                outcome.name(),
                sent.elapsed().as_millis()
            ),
        );
    }

    /// Returns a refusal: not run if no send can have run the request, unknown otherwise.
    fn failure(&self, reason: &'static str, after: Duration) -> Failure {
        if self.unknown_sends > 0 {
            return Failure::new(StatusCode::BAD_GATEWAY, reason);
        }
        let after = after.min(self.time_left() / 3);
        Failure::not_run(reason, after)
    }

    /// Decides the next step after a send.
    async fn after_send(&mut self, pick: &Pick, outcome: Outcome, key: Option<u16>) -> Next {
        match outcome {
            Outcome::Response(response) => self.after_response(pick, response),
            Outcome::Full if self.answered.iter().any(|a| a.full && a.server == pick.id) => {
                Next::Fail(self.failure("backend server refused", DEFAULT_RETRY_AFTER))
            }
            Outcome::Full => {
                self.sends -= 1;
                self.connection_waits += 1;
                if self.connection_waits < MAX_CONNECTION_WAITS {
                    Next::Retry
                } else {
                    Next::Fail(self.failure("all connections are in use", DEFAULT_RETRY_AFTER))
                }
            }
            Outcome::NotSent(_) if self.sends < MAX_SENDS => {
                self.pause_for_keys(key).await;
                Next::Retry
            }
            Outcome::NotSent(_) => {
                Next::Fail(self.failure("backend server unreachable", DEFAULT_RETRY_AFTER))
            }
            Outcome::NotRun(_) | Outcome::OtherServer => {
                if !self.take_retry() {
                    return Next::Fail(self.failure("backend server refused", DEFAULT_RETRY_AFTER));
                }
                self.pause_for_keys(key).await;
                Next::Retry
            }
            Outcome::Unknown(_) => {
                let state = self.state;
                let now = state.now();
                state.quarantine.borrow_mut().suspect(
                    self.fingerprint,
                    (&pick.id, pick.start_ms),
                    now,
                );
                self.unknown_sends += 1;
                // The route's attempts limit the number of distinct backend servers. A keyed
                // request has only one, so it may be sent there again.
                self.may_have_run_on.insert(pick.id.clone());
                let again = self.content.retryable
                    && self.may_have_run_on.len() < self.attempts()
                    && self.take_retry();
                if again {
                    self.pause_for_keys(key).await;
                    Next::Retry
                } else {
                    let failure = Failure::new(StatusCode::BAD_GATEWAY, "answer lost");
                    Next::Fail(failure)
                }
            }
        }
    }

    /// Accepts a response, unless it is a server error that another backend server may avoid.
    fn after_response(&mut self, pick: &Pick, response: ServerResponse) -> Next {
        if response.status.is_success() {
            self.state.quarantine.borrow_mut().clear(self.fingerprint);
        }
        if !response.status.is_server_error() || !self.content.retryable || self.key.is_some() {
            return Next::Done(response);
        }
        self.may_have_run_on.insert(pick.id.clone());
        if self.may_have_run_on.len() >= self.attempts() || !self.take_retry() {
            return Next::Done(response);
        }
        self.unknown_sends += 1;
        Next::Retry
    }

    /// Takes a retry from the budget if time and sends are left; returns whether it did.
    fn take_retry(&self) -> bool {
        let state = self.state;
        self.sends < MAX_SENDS
            && self.time_left() > MIN_TIME_LEFT
            && state.with_budget(self.service, |budget| {
                budget.try_retry(state.now(), state.host_count.get())
            })
    }

    /// Waits for up to [`KEY_RETRY_PAUSE`] for a new holder if the request has a key.
    async fn pause_for_keys(&self, key: Option<u16>) {
        if key.is_some() {
            let changed = self.state.keys_changed.notified();
            // The holder is looked up again in either case.
            let _ = tokio::time::timeout(KEY_RETRY_PAUSE, changed).await;
        }
    }
}
