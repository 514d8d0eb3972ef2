//! Configuration file of the links.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;

use crate::standin::error::Error;

/// Configuration of all links of an experiment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// The links.
    pub links: Vec<Link>,
}

/// Configuration of one link, from the process that connects to the process that accepts.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// Unique name, such as `h1->h2`.
    pub name: String,
    /// Address on which the link accepts connections.
    ///
    /// Port 0 selects a free port, which `GET /_stats` reports.
    pub listen: SocketAddr,
    /// Address to which the link forwards them.
    pub target: SocketAddr,
    /// Delay in each direction, in microseconds.
    #[serde(default)]
    pub delay_us: u64,
    /// Rate limit in each direction, in megabits per second; unlimited when absent.
    pub mbit_per_s: Option<f64>,
    /// Group whose links share the rate limit and a byte count, since they are billed together.
    pub group: Option<String>,
}

impl Config {
    /// Reads and validates the file.
    ///
    /// # Errors
    ///
    /// [`Error::Io`] when it cannot be read, [`Error::Usage`] when its content is invalid.
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
                return Err(Error::Usage(format!("duplicate link name {}", link.name)));
            }
            if link.mbit_per_s.is_some_and(|rate| rate <= 0.0) {
                return Err(Error::Usage(format!(
                    "mbit_per_s of link {} must be positive",
                    link.name
                )));
            }
            let Some(group) = &link.group else { continue };
            let rate = *rates.entry(group).or_insert(link.mbit_per_s);
            if rate != link.mbit_per_s {
                return Err(Error::Usage(format!(
                    "links of group {group} have different mbit_per_s"
                )));
            }
        }
        Ok(())
    }
}
