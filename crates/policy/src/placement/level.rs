//! Default planner: balances the load in proportion to the servers' speeds, with few moves.
//!
//! Groups and keys of a lost or leaving server move at once to the server with the lowest
//! relative load. Moves that balance the load happen only during a rebalancing episode. An episode
//! starts when the load has been uneven for a while, with a server above its fair share by more
//! than the measurement error explains or another one below half of its own. It ends when the load
//! is balanced or no move improves it. An episode makes a few moves per second and does not move
//! the same group or key again within [`MOVE_COOLDOWN`].
//!
//! A key that was moved without its group returns to the group's owner once its load has dropped;
//! this needs no episode.

use std::collections::HashMap;
use std::time::Duration;

use smallvec::SmallVec;
use tarragon_model::key;
use tarragon_model::time::Instant;

use super::meter::{Meter, decay_factor};
use super::projection::Projection;
use super::sketch::Sketch;
use super::{Backend, Move, Moves, Planner, Plugin, Subject, View};
use crate::backend::State;

/// Name by which the planner is selected.
pub(super) const NAME: &str = "level";

/// Ratio of load to fair share above which rebalancing starts.
const START_RATIO: f64 = 1.12;
/// Ratio of load to fair share below which rebalancing ends.
const STOP_RATIO: f64 = 1.04;
/// Number of standard errors by which a ratio must exceed 1 before rebalancing starts.
const START_STD_ERRORS: f64 = 3.0;
/// Time for which the load must be uneven before rebalancing starts.
const START_AFTER: Duration = Duration::from_secs(6);
/// Ratio of load to fair share above which rebalancing starts after [`SEVERE_AFTER`].
const SEVERE_RATIO: f64 = 1.25;
/// Time for which the load must be severely uneven before rebalancing starts.
const SEVERE_AFTER: Duration = Duration::from_millis(1_500);
/// Minimum time between two moves that balance the load.
const MOVE_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which a moved group or key is not moved again.
const MOVE_COOLDOWN: Duration = Duration::from_secs(15);
/// Maximum number of moves off leaving servers in one plan.
const MAX_DRAIN_MOVES: usize = 16;
/// Load, as a fraction of the mean load of a server, from which a key may move without its group.
const HOT_SHARE: f64 = 0.10;
/// Load, as a fraction of the mean load of a server, below which a key with an override
/// returns to its group.
const COOL_SHARE: f64 = 0.01;
/// Number of overrides from which no further keys move without their groups.
const MAX_OVERRIDES: usize = 64;
/// Minimum time between two decays of the sums.
const DECAY_INTERVAL: Duration = Duration::from_millis(100);
/// Time constant over which speeds are smoothed.
const SPEED_WINDOW: Duration = Duration::from_secs(4);
/// Minimum load, as a fraction of the mean load of an item, that an item counts for when it must
/// move; spreads items without recorded load.
const MIN_LOAD_SHARE: f64 = 0.1;

inventory::submit! {
    Plugin { name: NAME, create: || Box::new(Level::default()) }
}

#[derive(Debug, Default)]
struct Level {
    groups: Vec<Meter>,
    keys: HashMap<key::Hash, Meter>,
    sketch: Sketch,
    overall: Meter,
    speeds: SmallVec<[f64; 8]>,
    speeds_updated_at: Instant,
    decayed_at: Instant,
    imbalanced_since: Option<Instant>,
    rebalancing: bool,
    next_move: Instant,
    moved_at: HashMap<Subject, Instant>,
}

impl Planner for Level {
    fn initial(&self, groups: &[key::Group], backends: &[Backend]) -> Vec<u16> {
        let speeds: SmallVec<[f64; 8]> = backends.iter().map(|server| server.speed).collect();
        let mut projection = Projection::new(backends, &speeds);
        let unit_load = Meter::with_sum(1.0);
        groups
            .iter()
            .map(|group| {
                let owner = projection.least_loaded_with(1.0).unwrap_or_default();
                projection.add(Subject::Group(*group), owner, &unit_load);
                owner
            })
            .collect()
    }

    fn record(
        &mut self,
        now: Instant,
        group: key::Group,
        key: key::Hash,
        time: Duration,
        backend: u16,
    ) {
        self.decay_if_due(now);
        let speed = self.speeds.get(usize::from(backend)).copied();
        let work = time.as_secs_f64() * speed.unwrap_or(1.0);
        let overall = self.overall.mean();
        self.overall.add(work, overall);
        if let Some(meter) = self.keys.get_mut(&key) {
            meter.add(work, overall);
            return;
        }
        let clipped = self.group_mut(group).add(work, overall);
        self.sketch.add(group, key, clipped);
    }

    fn plan(&mut self, now: Instant, view: &View<'_>) -> Moves {
        self.decay_if_due(now);
        self.update_speeds(now, view.backends);
        self.sync_overrides(view);
        self.moved_at.retain(|_, at| now.since(*at) < MOVE_COOLDOWN);
        let mut projection = self.projection(view);
        let forced = forced_moves(&mut projection, view);
        if !forced.is_empty() {
            self.record_moves(now, &forced);
            return forced;
        }
        if !view.rebalance {
            return Moves::new();
        }
        let moves = self.rebalancing_moves(now, &mut projection);
        if moves.is_empty() {
            return self.return_cooled_key(view, &projection);
        }
        self.record_moves(now, &moves);
        moves
    }
}

impl Level {
    /// Decays the sums if [`DECAY_INTERVAL`] has passed.
    fn decay_if_due(&mut self, now: Instant) {
        let span = now.since(self.decayed_at);
        if span < DECAY_INTERVAL {
            return;
        }
        self.decayed_at = now;
        let factor = decay_factor(span);
        self.groups.iter_mut().for_each(|meter| meter.decay(factor));
        self.keys.values_mut().for_each(|meter| meter.decay(factor));
        self.sketch.decay(factor);
    }

    /// Smooths the speeds, so that noise in them causes no moves.
    fn update_speeds(&mut self, now: Instant, backends: &[Backend]) {
        let span = now.since(self.speeds_updated_at);
        self.speeds_updated_at = now;
        let gain = 1.0 - (-span.div_duration_f64(SPEED_WINDOW)).exp();
        self.speeds.truncate(backends.len());
        for (index, server) in backends.iter().enumerate() {
            match self.speeds.get_mut(index) {
                Some(speed) => *speed *= (server.speed / *speed).powf(gain),
                None => self.speeds.push(server.speed),
            }
        }
    }

    /// Meters keys with an override separately from their groups.
    fn sync_overrides(&mut self, view: &View<'_>) {
        for entry in view.overrides {
            if self.keys.contains_key(&entry.key) {
                continue;
            }
            let load = self.sketch.remove(entry.key);
            let group = self.group_mut(entry.group);
            let share = load / group.sum.max(f64::MIN_POSITIVE);
            let meter = group.split(share);
            self.keys.insert(entry.key, meter);
        }
        let is_listed = |key: &key::Hash| view.overrides.iter().any(|entry| entry.key == *key);
        self.keys.retain(|key, _| is_listed(key));
    }

    fn projection(&self, view: &View<'_>) -> Projection {
        let mut projection = Projection::new(view.backends, &self.speeds);
        for (group, owner) in (view.first_group.0..).zip(view.owners) {
            let meter = self.groups.get(group as usize).copied();
            let subject = Subject::Group(key::Group(group));
            projection.add(subject, *owner, &meter.unwrap_or_default());
        }
        for entry in view.overrides {
            let meter = self.keys.get(&entry.key).copied().unwrap_or_default();
            projection.add(Subject::Key(entry.key), entry.owner, &meter);
        }
        if view.overrides.len() < MAX_OVERRIDES {
            self.add_hot_keys(&mut projection, view);
        }
        projection
    }

    /// Adds hot keys as items that can move without their groups.
    fn add_hot_keys(&self, projection: &mut Projection, view: &View<'_>) {
        let min_load = projection.mean_fair_load() * HOT_SHARE;
        if min_load <= 0.0 {
            return;
        }
        for counter in self.sketch.at_least(min_load) {
            let index = counter.group.0.checked_sub(view.first_group.0);
            let owner = index.and_then(|index| view.owners.get(index as usize));
            if let Some(owner) = owner {
                projection.add_part(Subject::Key(counter.key), *owner, counter.lower_bound());
            }
        }
    }

    fn rebalancing_moves(&mut self, now: Instant, projection: &mut Projection) -> Moves {
        let mut moves = Moves::new();
        if !self.should_rebalance(now, projection) || now < self.next_move {
            return moves;
        }
        let (Some(busiest), Some(least_busy)) = (projection.busiest(), projection.least_busy())
        else {
            return moves;
        };
        let found = projection.best_move(busiest.backend, least_busy.backend, |item| {
            !self.moved_at.contains_key(&item.subject)
        });
        match found {
            Some(change) => {
                projection.apply(&change);
                self.next_move = now + MOVE_INTERVAL;
                moves.push(change);
            }
            None => self.end_episode(),
        }
        moves
    }

    /// Starts or ends a rebalancing episode and returns whether one is active.
    fn should_rebalance(&mut self, now: Instant, projection: &Projection) -> bool {
        let (Some(busiest), Some(least_busy)) = (projection.busiest(), projection.least_busy())
        else {
            return false;
        };
        if self.rebalancing {
            if busiest.ratio <= STOP_RATIO.max(1.0 + busiest.error) {
                self.end_episode();
            }
            return self.rebalancing;
        }
        let above = busiest.ratio > START_RATIO.max(1.0 + START_STD_ERRORS * busiest.error);
        let below = least_busy.ratio < 0.5 && busiest.ratio > STOP_RATIO;
        if !above && !below {
            self.imbalanced_since = None;
            return false;
        }
        let since = *self.imbalanced_since.get_or_insert(now);
        let is_severe = below || busiest.ratio > SEVERE_RATIO;
        let wait = if is_severe { SEVERE_AFTER } else { START_AFTER };
        self.rebalancing = now.since(since) >= wait;
        self.rebalancing
    }

    fn end_episode(&mut self) {
        self.rebalancing = false;
        self.imbalanced_since = None;
    }

    /// Proposes to return a key whose load has dropped to the owner of its group.
    fn return_cooled_key(&self, view: &View<'_>, projection: &Projection) -> Moves {
        let min_load = projection.mean_fair_load() * COOL_SHARE;
        let cooled = view.overrides.iter().find_map(|entry| {
            let meter = self.keys.get(&entry.key)?;
            let subject = Subject::Key(entry.key);
            let index = entry.group.0.checked_sub(view.first_group.0)?;
            let to = *view.owners.get(index as usize)?;
            let from = entry.owner;
            let is_cool = meter.sum < min_load && !self.moved_at.contains_key(&subject);
            (is_cool && min_load > 0.0).then_some(Move { subject, from, to })
        });
        cooled.into_iter().collect()
    }

    fn record_moves(&mut self, now: Instant, moves: &[Move]) {
        for change in moves {
            self.moved_at.insert(change.subject, now);
        }
    }

    fn group_mut(&mut self, group: key::Group) -> &mut Meter {
        let index = group.0 as usize;
        if self.groups.len() <= index {
            self.groups.resize(index + 1, Meter::default());
        }
        &mut self.groups[index]
    }
}

/// Returns the moves off lost and leaving servers, heaviest item first.
fn forced_moves(projection: &mut Projection, view: &View<'_>) -> Moves {
    let mut moves = Moves::new();
    let count = u32::try_from(projection.items.len()).unwrap_or(u32::MAX);
    let total: f64 = projection.items.iter().map(|item| item.load).sum();
    let min_load = (total / f64::from(count.max(1)) * MIN_LOAD_SHARE).max(f64::MIN_POSITIVE);
    let mut items = projection.items.clone();
    items.retain(|item| evacuated_state(view.backends, item.owner).is_some());
    items.retain(|item| has_owner_entry(view, &item.subject));
    items.sort_by(|a, b| b.load.total_cmp(&a.load));
    let mut drain_moves = 0;
    for item in items {
        let is_drain = evacuated_state(view.backends, item.owner) == Some(State::Leaving);
        if is_drain && drain_moves == MAX_DRAIN_MOVES {
            continue;
        }
        let Some(to) = projection.least_loaded_with(item.load.max(min_load)) else {
            return moves;
        };
        drain_moves += usize::from(is_drain);
        let change = Move {
            subject: item.subject,
            from: item.owner,
            to,
        };
        projection.shift_load(&change, item.load.max(min_load));
        moves.push(change);
    }
    moves
}

/// Returns whether a subject has an owner of its own, which a key has only by an override.
fn has_owner_entry(view: &View<'_>, subject: &Subject) -> bool {
    match subject {
        Subject::Group(_) => true,
        Subject::Key(key) => view.overrides.iter().any(|entry| entry.key == *key),
    }
}

/// Returns the state of a server whose groups and keys must move, or `None` if they may stay.
fn evacuated_state(backends: &[Backend], owner: u16) -> Option<State> {
    let state = backends.get(usize::from(owner)).map(|server| server.state);
    let state = state.unwrap_or(State::Lost);
    (!state.takes_work()).then_some(state)
}
