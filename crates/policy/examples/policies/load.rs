//! Load of a shard: request classes, skewed keys and arrivals in virtual time.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::SmallRng;
use tarragon_model::config;
use tarragon_model::key::Hash;
use tarragon_model::time::Instant;

/// Request class and its work.
#[derive(Clone, Debug)]
pub struct Class {
    pub name: &'static str,
    /// Share of the arrivals.
    pub share: f64,
    pub weight: u32,
    pub max_slots: u16,
    /// Mean work of a request that is not a straggler, at speed 1.
    pub work: Duration,
    /// Share of the requests that are stragglers.
    pub stragglers: f64,
    pub deadline: Duration,
}

/// Work of a straggler as a multiple of normal work.
pub const STRAGGLER_FACTOR: f64 = 50.0;

impl Class {
    /// Returns the mean work, stragglers included, in seconds.
    pub fn mean(&self) -> f64 {
        self.work.as_secs_f64() * (1.0 + self.stragglers * (STRAGGLER_FACTOR - 1.0))
    }

    pub fn config(&self) -> config::Class {
        config::Class {
            name: self.name.to_owned(),
            prefix: String::new(),
            weight: self.weight,
            max_slots: self.max_slots,
        }
    }
}

/// Time span with a multiple of the usual arrival rate.
#[derive(Clone, Copy, Debug)]
pub struct Peak {
    pub from: Instant,
    pub to: Instant,
    pub factor: f64,
}

/// Key that receives a share of the arrivals from a given time.
#[derive(Clone, Copy, Debug)]
pub struct HotKey {
    pub from: Instant,
    pub share: f64,
}

/// Arrivals at a shard.
#[derive(Clone, Debug)]
pub struct Load {
    pub classes: Vec<Class>,
    /// Requests per second outside the peak.
    pub rate: f64,
    pub keys: usize,
    /// Exponent of the Zipf distribution of keys.
    pub skew: f64,
    pub peak: Option<Peak>,
    pub hot: Option<HotKey>,
}

/// Request of the load.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub class: u8,
    pub key: Hash,
    /// Work at speed 1.
    pub work: Duration,
    pub straggler: bool,
}

/// Generator of random arrivals.
pub struct Source {
    load: Load,
    rng: SmallRng,
    cumulative: Vec<f64>,
    at: Instant,
}

impl Source {
    pub fn new(load: &Load, rng: SmallRng) -> Self {
        let mut sum = 0.0;
        let cumulative = (1..=load.keys)
            .map(|rank| {
                sum += f64::from(u32::try_from(rank).unwrap()).powf(-load.skew);
                sum
            })
            .collect();
        Self {
            load: load.clone(),
            rng,
            cumulative,
            at: Instant::ZERO,
        }
    }

    pub fn next(&mut self) -> Arrival {
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / self.rate();
        self.at = self.at + Duration::from_secs_f64(gap);
        let class = self.class();
        let known = &self.load.classes[class];
        let straggler = self.rng.random::<f64>() < known.stragglers;
        let factor = if straggler { STRAGGLER_FACTOR } else { 1.0 };
        let work = known.work.mul_f64(self.rng.random_range(0.5..1.5) * factor);
        Arrival {
            at: self.at,
            class: u8::try_from(class).unwrap(),
            key: self.key(),
            work,
            straggler,
        }
    }

    fn rate(&self) -> f64 {
        match self.load.peak {
            Some(period) if self.at >= period.from && self.at < period.to => {
                self.load.rate * period.factor
            }
            _ => self.load.rate,
        }
    }

    fn class(&mut self) -> usize {
        let mut point = self.rng.random::<f64>();
        let last = self.load.classes.len() - 1;
        self.load
            .classes
            .iter()
            .position(|class| {
                point -= class.share;
                point < 0.0
            })
            .unwrap_or(last)
    }

    fn key(&mut self) -> Hash {
        if let Some(hot) = self.load.hot
            && self.at >= hot.from
            && self.rng.random::<f64>() < hot.share
        {
            return Hash::of("hot");
        }
        let total = self.cumulative[self.cumulative.len() - 1];
        let point = self.rng.random::<f64>() * total;
        let rank = self.cumulative.partition_point(|sum| *sum < point);
        Hash::of(&format!("vessel-{rank}"))
    }
}
