//! Size of the configuration, and CPU time to decode and apply it.

use tarragon_model::config;
use tarragon_node::input::Input;
use tarragon_node::message::{Message, VersionedConfig};

use super::Experiment;
use crate::capacity::fixture::{self, Size};
use crate::capacity::meter::{self, as_f64};
use crate::capacity::options::Effort;
use crate::capacity::series::Series;
use crate::error::Result;

/// Numbers of services, each with eight shards.
const SERVICES: [usize; 6] = [1, 10, 100, 500, 1_000, 2_000];
/// Numbers of shards of a single service.
const SHARDS: [usize; 6] = [1, 4, 16, 32, 64, 128];
/// Services of the planned system.
const PLANNED_SERVICES: f64 = 2_000.0;
/// Shards of one service of the planned system: 16,000 over 2,000 services.
const PLANNED_SHARDS: f64 = 8.0;
/// Key groups per shard.
const GROUPS: usize = 64;

/// Cost of a configuration by number of services and by shards of one service.
pub struct Config;

impl Experiment for Config {
    fn name(&self) -> &'static str {
        "config"
    }

    fn run(&self, effort: Effort) -> Result<Vec<Series>> {
        let x = "services of 8 shards";
        let mut json = Series::new("config-object", x, "object, KB", PLANNED_SERVICES);
        let mut frame = Series::new("config-frame", x, "frame, KB", PLANNED_SERVICES);
        let mut decode = Series::new(
            "config-decode",
            x,
            "CPU ms to read and check",
            PLANNED_SERVICES,
        );
        let mut apply = Series::new("config-apply", x, "CPU ms to apply", PLANNED_SERVICES);
        for services in effort.sizes(&SERVICES) {
            let config = config_of(*services, 8);
            let size = as_f64(*services);
            let bytes = serde_json::to_vec(&config).map_err(fixture::codec_error)?;
            json.add(size, as_f64(bytes.len()) / 1e3);
            frame.add(size, frame_kilobytes(&config)?);
            decode.add(size, decode_ms(&bytes, effort));
            apply.add(size, apply_ms(&config, effort));
        }
        let x = "shards of one service";
        let y = "CPU ms to apply";
        let mut shards = Series::new("config-shards", x, y, PLANNED_SHARDS).with_power_growth();
        for count in effort.sizes(&SHARDS) {
            let config = config_of(1, *count);
            shards.add(as_f64(*count), apply_ms(&config, effort));
        }
        Ok(vec![json, frame, decode, apply, shards])
    }
}

fn config_of(services: usize, shards: usize) -> config::Config {
    fixture::config(Size {
        services,
        shards,
        groups: GROUPS,
        backends: fixture::BACKENDS,
    })
}

fn frame_kilobytes(config: &config::Config) -> Result<f64> {
    let versioned = VersionedConfig {
        version: 1,
        config: config.clone(),
    };
    let bytes = fixture::encode(Message::Config(versioned))?;
    Ok(as_f64(bytes.len()) / 1e3)
}

/// Measures the decoding and check that the router does when it reads the object.
fn decode_ms(bytes: &[u8], effort: Effort) -> f64 {
    meter::median_of(effort.repeats(), || {
        meter::cpu_ms(|| {
            let config = serde_json::from_slice::<config::Config>(bytes);
            config.map(|config| config::check(&config).is_ok())
        })
    })
}

/// Measures how a node without a role in any shard applies a new version.
fn apply_ms(config: &config::Config, effort: Effort) -> f64 {
    let mut node = fixture::node(0);
    let mut version = 0;
    meter::median_of(effort.repeats(), || {
        version += 1;
        let input = Input::Config {
            version,
            config: Box::new(config.clone()),
        };
        meter::cpu_ms(|| node.handle(fixture::now(0), input, &mut Vec::new()))
    })
}
