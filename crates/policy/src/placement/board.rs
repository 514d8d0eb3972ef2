//! Load of each server and of each thing that can move, while a plan is made.

use smallvec::SmallVec;

use super::meter::Meter;
use super::{Backend, Move, Subject};
use crate::backend::State;

/// Part of its speed that a cold server counts for.
const COLD_PART: f64 = 0.5;
/// Part of the present peak that a move must at least save.
const LEAST_GAIN: f64 = 0.02;

/// Something that can move.
#[derive(Clone, Copy, Debug)]
pub(super) struct Item {
    /// What it is.
    pub(super) subject: Subject,
    /// Index of its owner.
    pub(super) owner: u16,
    /// Decaying sum of its work.
    pub(super) load: f64,
}

/// Load of one server.
#[derive(Clone, Copy, Debug)]
struct Seat {
    load: f64,
    variance: f64,
    speed: f64,
    open: bool,
}

/// Loads of a shard.
#[derive(Clone, Debug)]
pub(super) struct Board {
    seats: SmallVec<[Seat; 8]>,
    /// Everything that can move.
    pub(super) items: Vec<Item>,
}

/// Server with its load over its fair share.
#[derive(Clone, Copy, Debug)]
pub(super) struct Extreme {
    /// Index of the server.
    pub(super) backend: u16,
    /// Load over fair share.
    pub(super) ratio: f64,
    /// Standard error of the ratio.
    pub(super) error: f64,
}

impl Board {
    /// Creates a board of servers without load; `speeds` are by index.
    pub(super) fn new(backends: &[Backend], speeds: &[f64]) -> Self {
        let seats = backends
            .iter()
            .zip(speeds)
            .map(|(server, speed)| Seat {
                load: 0.0,
                variance: 0.0,
                speed: if server.state == State::Cold {
                    speed * COLD_PART
                } else {
                    *speed
                },
                open: server.state.takes_keys(),
            })
            .collect();
        Self {
            seats,
            items: Vec::new(),
        }
    }

    /// Adds an item whose load counts for its owner.
    pub(super) fn add(&mut self, subject: Subject, owner: u16, meter: &Meter) {
        if let Some(seat) = self.seats.get_mut(usize::from(owner)) {
            seat.load += meter.sum;
            seat.variance += meter.variance;
        }
        self.add_part(subject, owner, meter.sum);
    }

    /// Adds an item that is part of another one.
    pub(super) fn add_part(&mut self, subject: Subject, owner: u16, load: f64) {
        self.items.push(Item {
            subject,
            owner,
            load,
        });
    }

    /// Returns the open server that ends up lowest when it takes a load.
    pub(super) fn lowest_with(&self, load: f64) -> Option<u16> {
        (0_u16..)
            .zip(&self.seats)
            .filter(|(_, seat)| seat.open)
            .min_by(|(_, a), (_, b)| {
                let (a, b) = ((a.load + load) / a.speed, (b.load + load) / b.speed);
                a.total_cmp(&b)
            })
            .map(|(backend, _)| backend)
    }

    /// Returns the busiest open server.
    pub(super) fn busiest(&self) -> Option<Extreme> {
        self.extremes().max_by(|a, b| a.ratio.total_cmp(&b.ratio))
    }

    /// Returns the least busy open server.
    pub(super) fn idlest(&self) -> Option<Extreme> {
        self.extremes().min_by(|a, b| a.ratio.total_cmp(&b.ratio))
    }

    /// Returns the average fair share.
    pub(super) fn fair_share(&self) -> f64 {
        let open = u32::try_from(self.open().count()).unwrap_or(u32::MAX);
        self.total() / f64::from(open.max(1))
    }

    /// Returns the move between two servers that brings them closest to their fair shares.
    pub(super) fn best_move(
        &self,
        from: u16,
        to: u16,
        may_move: impl Fn(&Item) -> bool,
    ) -> Option<Move> {
        let (source, target) = (self.seat(from)?, self.seat(to)?);
        let excess = source.load - self.fair(source);
        let room = self.fair(target) - target.load;
        let wanted = excess.min(room);
        let peak = source.load / source.speed;
        let helps = |item: &&Item| {
            let after_target = (target.load + item.load) / target.speed;
            let after_source = (source.load - item.load) / source.speed;
            item.load > 0.0 && after_target.max(after_source) < peak * (1.0 - LEAST_GAIN)
        };
        self.items
            .iter()
            .filter(|item| item.owner == from && may_move(item))
            .filter(helps)
            .min_by(|a, b| (a.load - wanted).abs().total_cmp(&(b.load - wanted).abs()))
            .map(|item| Move {
                subject: item.subject,
                from,
                to,
            })
    }

    /// Carries out a move on the board.
    pub(super) fn apply(&mut self, change: &Move) {
        let Some(index) = self
            .items
            .iter()
            .position(|item| item.subject == change.subject && item.owner == change.from)
        else {
            return;
        };
        let load = self.items[index].load;
        self.items[index].owner = change.to;
        self.put(change, load);
    }

    /// Shifts a load between two servers.
    pub(super) fn put(&mut self, change: &Move, load: f64) {
        if let Some(seat) = self.seats.get_mut(usize::from(change.from)) {
            seat.load -= load;
        }
        if let Some(seat) = self.seats.get_mut(usize::from(change.to)) {
            seat.load += load;
        }
    }

    fn extremes(&self) -> impl Iterator<Item = Extreme> + '_ {
        (0_u16..)
            .zip(&self.seats)
            .filter(|(_, seat)| seat.open)
            .map(|(backend, seat)| {
                let fair = self.fair(seat).max(f64::MIN_POSITIVE);
                Extreme {
                    backend,
                    ratio: seat.load / fair,
                    error: seat.variance.sqrt() / fair,
                }
            })
    }

    fn seat(&self, backend: u16) -> Option<&Seat> {
        self.seats.get(usize::from(backend))
    }

    fn open(&self) -> impl Iterator<Item = &Seat> {
        self.seats.iter().filter(|seat| seat.open)
    }

    fn total(&self) -> f64 {
        self.open().map(|seat| seat.load).sum()
    }

    /// Returns the share of the whole load that befits a server's speed.
    fn fair(&self, seat: &Seat) -> f64 {
        let speeds: f64 = self.open().map(|seat| seat.speed).sum();
        self.total() * seat.speed / speeds
    }
}
