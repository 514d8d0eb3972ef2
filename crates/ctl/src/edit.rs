//! Changes of the configuration as pure functions, so that a change can be made again from a
//! newer version.

use tarragon_model::config::{self, Backend, Config, Place, PresetName, Problem, Service};
use tarragon_model::{backend, service};

use crate::command::Mark;

/// Why a change does not fit the configuration.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Something of that name exists already and differs.
    #[error("{what} \"{name}\" exists already and differs; {advice}")]
    Exists {
        /// What exists.
        what: &'static str,
        /// Its name.
        name: String,
        /// What to do.
        advice: &'static str,
    },
    /// Nothing of that name exists.
    #[error("there is no {what} \"{name}\"; `{command}` shows what there is")]
    Absent {
        /// What was looked for.
        what: &'static str,
        /// Its name.
        name: String,
        /// Command that lists what exists.
        command: &'static str,
    },
    /// The backend server is still in service.
    #[error(
        "backend server \"{0}\" is in service; drain it with `backend drain` and wait until it \
         owns no keys, or declare it lost"
    )]
    InService(String),
    /// The changed configuration fails its checks.
    #[error("the changed configuration is wrong:\n{}", lines(.0))]
    Problems(Vec<Problem>),
}

fn lines(problems: &[Problem]) -> String {
    let lines: Vec<_> = problems.iter().map(|p| format!("  {p}")).collect();
    lines.join("\n")
}

/// Change of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub enum Edit {
    /// Create a service.
    CreateService(Service),
    /// Replace the service of that name.
    ChangeService(Service),
    /// Remove a service.
    RemoveService(service::Id),
    /// Add a place.
    AddPlace(Place),
    /// Remove a place.
    RemovePlace(String),
    /// Add a backend server.
    AddBackend(service::Id, Backend),
    /// Mark or remove a backend server.
    MarkBackend(service::Id, backend::Id, Mark),
    /// Choose the preset in force.
    ChoosePreset(PresetName),
    /// Replace everything.
    Replace(Box<Config>),
}

impl Edit {
    /// Returns the changed configuration with the old token.
    ///
    /// ```
    /// use tarragon_model::config::{Config, PresetName};
    /// use tarragonctl::edit::Edit;
    ///
    /// let changed = Edit::ChoosePreset(PresetName::Peak).apply(&Config::default()).unwrap();
    /// assert_eq!(changed.preset, PresetName::Peak);
    /// ```
    ///
    /// # Errors
    ///
    /// Fails when the change does not fit or its result fails the checks.
    pub fn apply(&self, old: &Config) -> Result<Config, Error> {
        let mut new = old.clone();
        self.change(&mut new)?;
        new.token.clone_from(&old.token);
        config::check(&new).map_err(Error::Problems)?;
        config::check_change(old, &new).map_err(Error::Problems)?;
        Ok(new)
    }

    /// Tells whether the configuration already is as the change would make it.
    #[must_use]
    pub fn is_present(&self, config: &Config) -> bool {
        match self {
            Self::RemoveService(name) => config.service(name.as_str()).is_none(),
            Self::RemovePlace(name) => config.places.iter().all(|place| place.name != *name),
            Self::MarkBackend(service, id, Mark::Remove) => config
                .service(service.as_str())
                .is_none_or(|service| service.backends.iter().all(|backend| backend.id != *id)),
            _ => self.apply(config).is_ok_and(|changed| changed == *config),
        }
    }

    fn change(&self, config: &mut Config) -> Result<(), Error> {
        match self {
            Self::CreateService(service) => create_service(config, service),
            Self::ChangeService(service) => {
                let found = find_service(config, &service.name)?;
                *found = service.clone();
                Ok(())
            }
            Self::RemoveService(name) => {
                find_service(config, name)?;
                config.services.retain(|service| service.name != *name);
                Ok(())
            }
            Self::AddPlace(place) => add_place(config, place),
            Self::RemovePlace(name) => remove_place(config, name),
            Self::AddBackend(service, backend) => {
                add_backend(find_service(config, service)?, backend)
            }
            Self::MarkBackend(service, id, mark) => {
                mark_backend(find_service(config, service)?, id, *mark)
            }
            Self::ChoosePreset(name) => {
                config.preset = *name;
                Ok(())
            }
            Self::Replace(new) => {
                config.clone_from(new);
                Ok(())
            }
        }
    }
}

fn create_service(config: &mut Config, service: &Service) -> Result<(), Error> {
    match config.service(service.name.as_str()) {
        Some(found) if found == service => Ok(()),
        Some(_) => Err(Error::Exists {
            what: "service",
            name: service.name.to_string(),
            advice: "use `service change FILE` or another name",
        }),
        None => {
            config.services.push(service.clone());
            Ok(())
        }
    }
}

fn find_service<'a>(config: &'a mut Config, name: &service::Id) -> Result<&'a mut Service, Error> {
    let mut services = config.services.iter_mut();
    services
        .find(|service| service.name == *name)
        .ok_or_else(|| Error::Absent {
            what: "service",
            name: name.to_string(),
            command: "service list",
        })
}

fn add_place(config: &mut Config, place: &Place) -> Result<(), Error> {
    match config.places.iter().find(|found| found.name == place.name) {
        Some(found) if found == place => Ok(()),
        Some(_) => Err(Error::Exists {
            what: "place",
            name: place.name.clone(),
            advice: "use another name",
        }),
        None => {
            config.places.push(place.clone());
            Ok(())
        }
    }
}

fn remove_place(config: &mut Config, name: &str) -> Result<(), Error> {
    let Some(index) = config.places.iter().position(|place| place.name == name) else {
        return Err(Error::Absent {
            what: "place",
            name: name.to_owned(),
            command: "place list",
        });
    };
    config.places.remove(index);
    Ok(())
}

fn add_backend(service: &mut Service, backend: &Backend) -> Result<(), Error> {
    let mut backends = service.backends.iter();
    match backends.find(|found| found.id == backend.id) {
        Some(found) if found == backend => Ok(()),
        Some(_) => Err(Error::Exists {
            what: "backend server",
            name: backend.id.to_string(),
            advice: "use another name",
        }),
        None => {
            service.backends.push(backend.clone());
            Ok(())
        }
    }
}

fn mark_backend(service: &mut Service, id: &backend::Id, mark: Mark) -> Result<(), Error> {
    let position = service.backends.iter().position(|found| found.id == *id);
    let index = position.ok_or_else(|| Error::Absent {
        what: "backend server",
        name: id.to_string(),
        command: "backend list",
    })?;
    let backend = &mut service.backends[index];
    match mark {
        Mark::Drain => backend.draining = true,
        Mark::Undrain => backend.draining = false,
        Mark::Lost => backend.lost = true,
        Mark::Remove if backend.draining || backend.lost => {
            service.backends.remove(index);
        }
        Mark::Remove => return Err(Error::InService(id.to_string())),
    }
    Ok(())
}
