//! The file that names the links.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;

use crate::standin::error::Error;

/// All links of an experiment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// The links.
    pub links: Vec<Link>,
}

/// One link, from the process that dials to the process that accepts.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// Unique name, such as `h1->h2`.
    pub name: String,
    /// Address on which the link accepts connections.
    ///
    /// With port zero any free port is taken, which `GET /_stats` tells.
    pub listen: SocketAddr,
    /// Address to which the link connects them.
    pub target: SocketAddr,
    /// Delay in each direction, in microseconds.
    #[serde(default)]
    pub delay_us: u64,
    /// Rate in each direction, in megabits a second; without limit when absent.
    pub mbit_per_s: Option<f64>,
    /// Links of one group share the rate and are billed together.
    pub group: Option<String>,
}

impl Config {
    /// Reads the file.
    ///
    /// # Errors
    ///
    /// [`Error::Io`] when it cannot be read, [`Error::Usage`] when it cannot be used.
    pub fn read(path: &Path) -> Result<Self, Error> {
        let object = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(Error::io("read", &object))?;
        let config: Self = serde_json::from_str(&text)
            .map_err(|error| Error::Usage(format!("{object}: {error}")))?;
        config.check()?;
        Ok(config)
    }

    fn check(&self) -> Result<(), Error> {
        let mut names = HashSet::new();
        let mut rates = HashMap::new();
        for link in &self.links {
            if !names.insert(&link.name) {
                return Err(Error::Usage(format!("two links named {}", link.name)));
            }
            if link.mbit_per_s.is_some_and(|rate| rate <= 0.0) {
                return Err(Error::Usage(format!("rate of {} not positive", link.name)));
            }
            let Some(group) = &link.group else { continue };
            let rate = *rates.entry(group).or_insert(link.mbit_per_s);
            if rate != link.mbit_per_s {
                return Err(Error::Usage(format!("two rates in group {group}")));
            }
        }
        Ok(())
    }
}
