//! Levels the load over the servers' speeds with few moves.
//!
//! What a lost or leaving server owns moves at once to where it weighs least. Beyond that an
//! episode of levelling starts only when a server has been above its fair share for a while, by
//! more than the noise of the measurement explains, and ends when the shares are level. Within an
//! episode moves are limited to a few a second and the same thing does not move twice in a row.

use std::collections::HashMap;
use std::time::Duration;

use smallvec::SmallVec;
use tarragon_model::key;
use tarragon_model::time::Instant;

use super::board::Board;
use super::meter::{Meter, decay_factor};
use super::sketch::Sketch;
use super::{Backend, Move, Moves, Planner, Plugin, Subject, View};
use crate::backend::State;

/// Name that settings use.
pub(super) const NAME: &str = "level";

/// Load over fair share above which levelling starts.
const START_RATIO: f64 = 1.12;
/// Load over fair share below which levelling ends.
const STOP_RATIO: f64 = 1.04;
/// Standard errors that a ratio must be off before it counts.
const START_ERRORS: f64 = 3.0;
/// Time that the load must have been uneven before levelling starts.
const START_AFTER: Duration = Duration::from_secs(6);
/// Load over fair share above which levelling starts sooner.
const STEEP_RATIO: f64 = 1.25;
/// Time that the load must have been so uneven.
const STEEP_AFTER: Duration = Duration::from_millis(1_500);
/// Time between two moves that level the load.
const MOVE_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which something that moved stays.
const HOLD: Duration = Duration::from_secs(15);
/// Moves away from leaving servers in one plan.
const DRAIN_MOVES: usize = 16;
/// Part of a fair share from which on a key can get an owner of its own.
const HOT_PART: f64 = 0.10;
/// Part of a fair share below which such a key goes back to its group.
const COOL_PART: f64 = 0.01;
/// Keys with owners of their own at most.
const MAX_OVERRIDES: usize = 64;
/// Time between two decays of the sums.
const TICK: Duration = Duration::from_millis(100);
/// Time over which speeds are smoothed.
const SPEED_WINDOW: Duration = Duration::from_secs(4);
/// Part of the mean load that a group without load counts for when it must move.
const LEAST_PART: f64 = 0.1;

inventory::submit! {
    Plugin { name: NAME, create: || Box::new(Level::default()) }
}

#[derive(Debug, Default)]
struct Level {
    groups: Vec<Meter>,
    keys: HashMap<key::Hash, Meter>,
    sketch: Sketch,
    usual: Meter,
    speeds: SmallVec<[f64; 8]>,
    speeds_at: Instant,
    ticked: Instant,
    uneven_since: Option<Instant>,
    levelling: bool,
    next_move: Instant,
    moved: HashMap<Subject, Instant>,
}

impl Planner for Level {
    fn initial(&self, groups: &[key::Group], backends: &[Backend]) -> Vec<u16> {
        let speeds: SmallVec<[f64; 8]> = backends.iter().map(|server| server.speed).collect();
        let mut board = Board::new(backends, &speeds);
        let one = Meter::of(1.0);
        groups
            .iter()
            .map(|group| {
                let owner = board.lowest_with(1.0).unwrap_or_default();
                board.add(Subject::Group(*group), owner, &one);
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
        self.tick(now);
        let speed = self.speeds.get(usize::from(backend)).copied();
        let work = time.as_secs_f64() * speed.unwrap_or(1.0);
        let usual = self.usual.mean();
        self.usual.add(work, usual);
        if let Some(meter) = self.keys.get_mut(&key) {
            meter.add(work, usual);
            return;
        }
        let counted = self.group_mut(group).add(work, usual);
        self.sketch.add(group, key, counted);
    }

    fn plan(&mut self, now: Instant, view: &View<'_>) -> Moves {
        self.tick(now);
        self.follow_speeds(now, view.backends);
        self.follow_overrides(view);
        self.moved.retain(|_, at| now.since(*at) < HOLD);
        let mut board = self.board(view);
        let forced = forced_moves(&mut board, view);
        if !forced.is_empty() {
            self.note_moves(now, &forced);
            return forced;
        }
        if !view.rebalance {
            return Moves::new();
        }
        let moves = self.levelling_moves(now, &mut board);
        if moves.is_empty() {
            return self.cool(view, &board);
        }
        self.note_moves(now, &moves);
        moves
    }
}

impl Level {
    /// Lets the sums decay, now and then.
    fn tick(&mut self, now: Instant) {
        let span = now.since(self.ticked);
        if span < TICK {
            return;
        }
        self.ticked = now;
        let factor = decay_factor(span);
        self.groups.iter_mut().for_each(|meter| meter.decay(factor));
        self.keys.values_mut().for_each(|meter| meter.decay(factor));
        self.sketch.decay(factor);
    }

    /// Follows the speeds slowly, so that their noise moves nothing.
    fn follow_speeds(&mut self, now: Instant, backends: &[Backend]) {
        let span = now.since(self.speeds_at);
        self.speeds_at = now;
        let gain = 1.0 - (-span.div_duration_f64(SPEED_WINDOW)).exp();
        self.speeds.truncate(backends.len());
        for (index, server) in backends.iter().enumerate() {
            match self.speeds.get_mut(index) {
                Some(speed) => *speed *= (server.speed / *speed).powf(gain),
                None => self.speeds.push(server.speed),
            }
        }
    }

    /// Counts keys with owners of their own apart from their groups.
    fn follow_overrides(&mut self, view: &View<'_>) {
        for entry in view.overrides {
            if self.keys.contains_key(&entry.key) {
                continue;
            }
            let load = self.sketch.remove(entry.key);
            let group = self.group_mut(entry.group);
            let part = load / group.sum.max(f64::MIN_POSITIVE);
            let meter = group.split(part);
            self.keys.insert(entry.key, meter);
        }
        let is_listed = |key: &key::Hash| view.overrides.iter().any(|entry| entry.key == *key);
        self.keys.retain(|key, _| is_listed(key));
    }

    fn board(&self, view: &View<'_>) -> Board {
        let mut board = Board::new(view.backends, &self.speeds);
        for (group, owner) in (view.first_group.0..).zip(view.owners) {
            let meter = self.groups.get(group as usize).copied();
            let subject = Subject::Group(key::Group(group));
            board.add(subject, *owner, &meter.unwrap_or_default());
        }
        for entry in view.overrides {
            let meter = self.keys.get(&entry.key).copied().unwrap_or_default();
            board.add(Subject::Key(entry.key), entry.owner, &meter);
        }
        if view.overrides.len() < MAX_OVERRIDES {
            self.add_hot_keys(&mut board, view);
        }
        board
    }

    /// Lets hot keys move without their groups.
    fn add_hot_keys(&self, board: &mut Board, view: &View<'_>) {
        let least = board.fair_share() * HOT_PART;
        if least <= 0.0 {
            return;
        }
        for counter in self.sketch.heavier_than(least) {
            let index = counter.group.0.checked_sub(view.first_group.0);
            let owner = index.and_then(|index| view.owners.get(index as usize));
            if let Some(owner) = owner {
                board.add_part(Subject::Key(counter.key), *owner, counter.least());
            }
        }
    }

    fn levelling_moves(&mut self, now: Instant, board: &mut Board) -> Moves {
        let mut moves = Moves::new();
        if !self.wants_levelling(now, board) || now < self.next_move {
            return moves;
        }
        let (Some(busiest), Some(idlest)) = (board.busiest(), board.idlest()) else {
            return moves;
        };
        let found = board.best_move(busiest.backend, idlest.backend, |item| {
            !self.moved.contains_key(&item.subject)
        });
        match found {
            Some(change) => {
                board.apply(&change);
                self.next_move = now + MOVE_INTERVAL;
                moves.push(change);
            }
            None => self.end_episode(),
        }
        moves
    }

    /// Tells whether an episode of levelling runs, and starts or ends one.
    fn wants_levelling(&mut self, now: Instant, board: &Board) -> bool {
        let (Some(busiest), Some(idlest)) = (board.busiest(), board.idlest()) else {
            return false;
        };
        if self.levelling {
            if busiest.ratio <= STOP_RATIO.max(1.0 + busiest.error) {
                self.end_episode();
            }
            return self.levelling;
        }
        let above = busiest.ratio > START_RATIO.max(1.0 + START_ERRORS * busiest.error);
        let below = idlest.ratio < 0.5 && busiest.ratio > STOP_RATIO;
        if !above && !below {
            self.uneven_since = None;
            return false;
        }
        let since = *self.uneven_since.get_or_insert(now);
        let is_steep = below || busiest.ratio > STEEP_RATIO;
        let wait = if is_steep { STEEP_AFTER } else { START_AFTER };
        self.levelling = now.since(since) >= wait;
        self.levelling
    }

    fn end_episode(&mut self) {
        self.levelling = false;
        self.uneven_since = None;
    }

    /// Gives a key that cooled down back to its group.
    fn cool(&self, view: &View<'_>, board: &Board) -> Moves {
        let least = board.fair_share() * COOL_PART;
        let cooled = view.overrides.iter().find_map(|entry| {
            let meter = self.keys.get(&entry.key)?;
            let subject = Subject::Key(entry.key);
            let index = entry.group.0.checked_sub(view.first_group.0)?;
            let to = *view.owners.get(index as usize)?;
            let from = entry.owner;
            let is_cool = meter.sum < least && !self.moved.contains_key(&subject);
            (is_cool && least > 0.0).then_some(Move { subject, from, to })
        });
        cooled.into_iter().collect()
    }

    fn note_moves(&mut self, now: Instant, moves: &[Move]) {
        for change in moves {
            self.moved.insert(change.subject, now);
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

/// Moves what lost and leaving servers own, heaviest first.
fn forced_moves(board: &mut Board, view: &View<'_>) -> Moves {
    let mut moves = Moves::new();
    let count = u32::try_from(board.items.len()).unwrap_or(u32::MAX);
    let total: f64 = board.items.iter().map(|item| item.load).sum();
    let least = (total / f64::from(count.max(1)) * LEAST_PART).max(f64::MIN_POSITIVE);
    let mut items = board.items.clone();
    items.retain(|item| must_leave(view.backends, item.owner).is_some());
    items.retain(|item| is_owned(view, &item.subject));
    items.sort_by(|a, b| b.load.total_cmp(&a.load));
    let mut drained = 0;
    for item in items {
        let drains = must_leave(view.backends, item.owner) == Some(State::Leaving);
        if drains && drained == DRAIN_MOVES {
            continue;
        }
        let Some(to) = board.lowest_with(item.load.max(least)) else {
            return moves;
        };
        drained += usize::from(drains);
        let change = Move {
            subject: item.subject,
            from: item.owner,
            to,
        };
        board.put(&change, item.load.max(least));
        moves.push(change);
    }
    moves
}

/// Tells whether something has an entry of its own among the owners.
fn is_owned(view: &View<'_>, subject: &Subject) -> bool {
    match subject {
        Subject::Group(_) => true,
        Subject::Key(key) => view.overrides.iter().any(|entry| entry.key == *key),
    }
}

/// Returns the state of a server whose keys have to move.
fn must_leave(backends: &[Backend], owner: u16) -> Option<State> {
    let state = backends.get(usize::from(owner)).map(|server| server.state);
    let state = state.unwrap_or(State::Lost);
    (!state.takes_work()).then_some(state)
}
