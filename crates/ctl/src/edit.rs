//! Changes of the configuration as pure functions, so that a change can be applied again to a
//! newer version after a conflict.

use tarragon_model::config::{self, Backend, Config, Place, PresetName, Problem, Service};
use tarragon_model::{backend, service};

use crate::command::BackendAction;

/// Why a change does not apply to a configuration.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A different item of that name already exists.
    #[error("{what} \"{name}\" already exists and differs; {advice}")]
    AlreadyExists {
        /// Kind of item.
        what: &'static str,
        /// Name of the item.
        name: String,
        /// Advice to the operator.
        advice: &'static str,
    },
    /// No item of that name exists.
    #[error("there is no {what} \"{name}\"; `{command}` lists what exists")]
    NotFound {
        /// Kind of item.
        what: &'static str,
        /// Name of the item.
        name: String,
        /// Command that lists the existing items.
        command: &'static str,
    },
    /// The backend server is still in service, so it cannot be removed.
    #[error(
        "backend server \"{0}\" is in service; drain it with `backend drain` and wait until it \
         owns no keys, or declare it lost"
    )]
    InService(String),
    /// The changed configuration is invalid.
    #[error("the changed configuration is invalid:\n{}", indented_lines(.0))]
    Invalid(Vec<Problem>),
}

fn indented_lines(problems: &[Problem]) -> String {
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
    /// Drain, undrain, declare lost or remove a backend server.
    ChangeBackend(service::Id, backend::Id, BackendAction),
    /// Choose the preset in force.
    ChoosePreset(PresetName),
    /// Replace the whole configuration.
    Replace(Box<Config>),
}

impl Edit {
    /// Returns the changed configuration, which keeps the token of `old`.
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
    /// Fails when the change does not apply or the changed configuration is invalid.
    pub fn apply(&self, old: &Config) -> Result<Config, Error> {
        let mut new = old.clone();
        self.change(&mut new)?;
        new.token.clone_from(&old.token);
        config::check(&new).map_err(Error::Invalid)?;
        config::check_change(old, &new).map_err(Error::Invalid)?;
        Ok(new)
    }

    /// Returns whether the configuration already contains the change.
    #[must_use]
    pub fn is_applied(&self, config: &Config) -> bool {
        match self {
            Self::RemoveService(name) => config.service(name.as_str()).is_none(),
            Self::RemovePlace(name) => config.places.iter().all(|place| place.name != *name),
            Self::ChangeBackend(service, id, BackendAction::Remove) => config
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
            Self::ChangeBackend(service, id, action) => {
                change_backend(find_service(config, service)?, id, *action)
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
        Some(_) => Err(Error::AlreadyExists {
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
        .ok_or_else(|| Error::NotFound {
            what: "service",
            name: name.to_string(),
            command: "service list",
        })
}

fn add_place(config: &mut Config, place: &Place) -> Result<(), Error> {
    match config.places.iter().find(|found| found.name == place.name) {
        Some(found) if found == place => Ok(()),
        Some(_) => Err(Error::AlreadyExists {
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
        return Err(Error::NotFound {
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
        Some(_) => Err(Error::AlreadyExists {
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

fn change_backend(
    service: &mut Service,
    id: &backend::Id,
    action: BackendAction,
) -> Result<(), Error> {
    let position = service.backends.iter().position(|found| found.id == *id);
    let index = position.ok_or_else(|| Error::NotFound {
        what: "backend server",
        name: id.to_string(),
        command: "backend list",
    })?;
    let backend = &mut service.backends[index];
    match action {
        BackendAction::Drain => backend.draining = true,
        BackendAction::Undrain => backend.draining = false,
        BackendAction::Lost => backend.lost = true,
        BackendAction::Remove if backend.draining || backend.lost => {
            service.backends.remove(index);
        }
        BackendAction::Remove => return Err(Error::InService(id.to_string())),
    }
    Ok(())
}
