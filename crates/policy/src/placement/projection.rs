//! Projected load of each server while moves are planned.

use smallvec::SmallVec;

use super::meter::Meter;
use super::{Backend, Move, Subject};
use crate::backend::State;

/// Factor on the speed of a cold server.
const COLD_SPEED_FACTOR: f64 = 0.5;
/// Minimum gain of a move, as a fraction of the source server's relative load.
const MIN_GAIN: f64 = 0.02;

/// Group or key that can move.
#[derive(Clone, Copy, Debug)]
pub(super) struct Item {
    /// Group or key.
    pub(super) subject: Subject,
    /// Index of its owner.
    pub(super) owner: u16,
    /// Decaying sum of its work, in seconds at speed 1.
    pub(super) load: f64,
}

/// Projected load of one server.
#[derive(Clone, Copy, Debug)]
struct Server {
    load: f64,
    variance: f64,
    speed: f64,
    takes_keys: bool,
}

/// Projected loads of the servers of a shard.
#[derive(Clone, Debug)]
pub(super) struct Projection {
    servers: SmallVec<[Server; 8]>,
    /// Groups and keys that can move.
    pub(super) items: Vec<Item>,
}

/// Load of a server relative to its fair share.
#[derive(Clone, Copy, Debug)]
pub(super) struct Imbalance {
    /// Index of the server.
    pub(super) backend: u16,
    /// Load divided by the fair share.
    pub(super) ratio: f64,
    /// Standard error of the ratio.
    pub(super) error: f64,
}

impl Projection {
    /// Creates a projection of servers without load; `speeds` is indexed like `backends`.
    pub(super) fn new(backends: &[Backend], speeds: &[f64]) -> Self {
        let servers = backends
            .iter()
            .zip(speeds)
            .map(|(server, speed)| Server {
                load: 0.0,
                variance: 0.0,
                speed: if server.state == State::Cold {
                    speed * COLD_SPEED_FACTOR
                } else {
                    *speed
                },
                takes_keys: server.state.takes_keys(),
            })
            .collect();
        Self {
            servers,
            items: Vec::new(),
        }
    }

    /// Adds an item and counts its load for its owner.
    pub(super) fn add(&mut self, subject: Subject, owner: u16, meter: &Meter) {
        if let Some(server) = self.servers.get_mut(usize::from(owner)) {
            server.load += meter.sum;
            server.variance += meter.variance;
        }
        self.add_part(subject, owner, meter.sum);
    }

    /// Adds an item whose load is already counted as part of another item.
    pub(super) fn add_part(&mut self, subject: Subject, owner: u16, load: f64) {
        self.items.push(Item {
            subject,
            owner,
            load,
        });
    }

    /// Returns the server, of those that take keys, with the lowest relative load after it takes
    /// `load`.
    pub(super) fn least_loaded_with(&self, load: f64) -> Option<u16> {
        (0_u16..)
            .zip(&self.servers)
            .filter(|(_, server)| server.takes_keys)
            .min_by(|(_, a), (_, b)| {
                let (a, b) = ((a.load + load) / a.speed, (b.load + load) / b.speed);
                a.total_cmp(&b)
            })
            .map(|(backend, _)| backend)
    }

    /// Returns the server with the highest load over its fair share, of those that take keys.
    pub(super) fn busiest(&self) -> Option<Imbalance> {
        self.imbalances().max_by(|a, b| a.ratio.total_cmp(&b.ratio))
    }

    /// Returns the server with the lowest load over its fair share, of those that take keys.
    pub(super) fn least_busy(&self) -> Option<Imbalance> {
        self.imbalances().min_by(|a, b| a.ratio.total_cmp(&b.ratio))
    }

    /// Returns the mean load of the servers that take keys.
    pub(super) fn mean_fair_load(&self) -> f64 {
        let count = u32::try_from(self.servers_taking_keys().count()).unwrap_or(u32::MAX);
        self.total() / f64::from(count.max(1))
    }

    /// Returns the move between two servers that brings them closest to their fair shares.
    ///
    /// Ignores moves after which either server's relative load is not at least [`MIN_GAIN`] below
    /// the current one of the source.
    pub(super) fn best_move(
        &self,
        from: u16,
        to: u16,
        may_move: impl Fn(&Item) -> bool,
    ) -> Option<Move> {
        let (source, target) = (self.server(from)?, self.server(to)?);
        let surplus = source.load - self.fair_load(source);
        let room = self.fair_load(target) - target.load;
        let wanted_load = surplus.min(room);
        let peak = source.load / source.speed;
        let lowers_peak = |item: &&Item| {
            let after_target = (target.load + item.load) / target.speed;
            let after_source = (source.load - item.load) / source.speed;
            item.load > 0.0 && after_target.max(after_source) < peak * (1.0 - MIN_GAIN)
        };
        self.items
            .iter()
            .filter(|item| item.owner == from && may_move(item))
            .filter(lowers_peak)
            .min_by(|a, b| {
                (a.load - wanted_load)
                    .abs()
                    .total_cmp(&(b.load - wanted_load).abs())
            })
            .map(|item| Move {
                subject: item.subject,
                from,
                to,
            })
    }

    /// Applies a move to its item and to the loads of both servers.
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
        self.shift_load(change, load);
    }

    /// Moves `load` from the source of a move to its target.
    pub(super) fn shift_load(&mut self, change: &Move, load: f64) {
        if let Some(server) = self.servers.get_mut(usize::from(change.from)) {
            server.load -= load;
        }
        if let Some(server) = self.servers.get_mut(usize::from(change.to)) {
            server.load += load;
        }
    }

    fn imbalances(&self) -> impl Iterator<Item = Imbalance> + '_ {
        (0_u16..)
            .zip(&self.servers)
            .filter(|(_, server)| server.takes_keys)
            .map(|(backend, server)| {
                let fair_load = self.fair_load(server).max(f64::MIN_POSITIVE);
                Imbalance {
                    backend,
                    ratio: server.load / fair_load,
                    error: server.variance.sqrt() / fair_load,
                }
            })
    }

    fn server(&self, backend: u16) -> Option<&Server> {
        self.servers.get(usize::from(backend))
    }

    fn servers_taking_keys(&self) -> impl Iterator<Item = &Server> {
        self.servers.iter().filter(|server| server.takes_keys)
    }

    fn total(&self) -> f64 {
        self.servers_taking_keys().map(|server| server.load).sum()
    }

    /// Returns the share of the total load in proportion to the server's speed.
    fn fair_load(&self, server: &Server) -> f64 {
        let speeds: f64 = self.servers_taking_keys().map(|server| server.speed).sum();
        self.total() * server.speed / speeds
    }
}
