//! Executes commands.

use std::io::Write;

use tarragon_model::config::Config;
use tarragon_model::settings;
use tarragon_timeline::event::Event;
use tarragon_timeline::merge::Filter;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::change::{self, Accepted, RetryPolicy};
use crate::command::{Change, Command, KeyQuery, Options, Show};
use crate::edit::Edit;
use crate::error::Error;
use crate::output::{self, Output};
use crate::{explain, follow, host, host_list, lost_host, rollout, status};

/// Dependencies and options of a command.
pub struct Context<'a> {
    /// The platform's object API.
    pub store: &'a dyn tarragon_store::api::Api,
    /// Admin endpoint of the hosts.
    pub hosts: &'a dyn host::Api,
    /// Options of the command.
    pub options: &'a Options,
    /// Cancels a command that waits.
    pub cancel: CancellationToken,
}

/// Executes one command, writes its result to `out` and returns the exit code.
///
/// # Errors
///
/// Returns the error of the command.
pub async fn run(
    context: &Context<'_>,
    command: &Command,
    out: &mut dyn Write,
) -> Result<u8, Error> {
    let result = match command {
        Command::Show(what) => show(context, what).await?,
        Command::Change(change) => return make_change(context, change, out).await,
        Command::ListHosts => {
            output::hosts(&host_list::read(context.store, &context.cancel).await?)
        }
        Command::DeclareHostLost(name) => {
            let cancel = &context.cancel;
            output::lost_host(
                &lost_host::declare(context.store, context.hosts, name, cancel).await?,
            )
        }
        Command::Status => fleet(context).await?,
        Command::Owner(query) => owner(context, query, false).await?,
        Command::Explain(query) => owner(context, query, true).await?,
        Command::Timeline { filter, follow } => {
            timeline(context, filter, *follow, out).await?;
            return Ok(0);
        }
    };
    print(context, &result, out)
}

fn print(context: &Context<'_>, result: &Output, out: &mut dyn Write) -> Result<u8, Error> {
    if context.options.json {
        writeln!(out, "{}", result.json)?;
    } else {
        out.write_all(result.text.as_bytes())?;
    }
    out.flush()?;
    Ok(result.code)
}

async fn show(context: &Context<'_>, what: &Show) -> Result<Output, Error> {
    let current = change::read(context.store, &context.cancel).await?;
    let config = &current.config;
    Ok(match what {
        Show::Config => output::config(&current),
        Show::Services => output::services(config),
        Show::Service(name) => output::service(find_service(config, name.as_str())?),
        Show::Places => output::places(config),
        Show::Backends(Some(name)) => {
            find_service(config, name.as_str())?;
            output::backends(config, Some(name))
        }
        Show::Backends(None) => output::backends(config, None),
        Show::Presets => output::presets(config),
    })
}

fn find_service<'a>(
    config: &'a Config,
    name: &str,
) -> Result<&'a tarragon_model::config::Service, Error> {
    config.service(name).ok_or_else(|| Error::NotFound {
        what: "service",
        name: name.to_owned(),
        command: "service list",
    })
}

async fn make_change(
    context: &Context<'_>,
    change: &Change,
    out: &mut dyn Write,
) -> Result<u8, Error> {
    let edit = edit(change)?;
    let deadline = Instant::now() + context.options.timeout;
    let retry_conflicts = context.options.retry;
    let policy = RetryPolicy {
        retry_conflicts,
        deadline,
    };
    let accepted = change::apply(context.store, &edit, policy, &context.cancel).await?;
    if !context.options.json {
        out.write_all(output::accepted(&accepted).as_bytes())?;
        out.flush()?;
    }
    let result = wait_for_rollout(context, &accepted, deadline).await;
    print(context, &result, out)
}

/// Converts a change into an edit, reading the files that it names.
fn edit(change: &Change) -> Result<Edit, Error> {
    Ok(match change {
        Change::CreateService(path) => Edit::CreateService(settings::load_service(path)?),
        Change::ChangeService(path) => Edit::ChangeService(settings::load_service(path)?),
        Change::RemoveService(name) => Edit::RemoveService(name.clone()),
        Change::AddPlace(place) => Edit::AddPlace(place.clone()),
        Change::RemovePlace(name) => Edit::RemovePlace(name.clone()),
        Change::AddBackend(service, backend) => Edit::AddBackend(service.clone(), backend.clone()),
        Change::ChangeBackend(service, id, action) => {
            Edit::ChangeBackend(service.clone(), id.clone(), *action)
        }
        Change::ChoosePreset(name) => Edit::ChoosePreset(*name),
        Change::Apply(path) => Edit::Replace(Box::new(settings::load_config(path)?)),
    })
}

/// Waits until an accepted change is in force everywhere.
///
/// It returns no error, since the change stays accepted whatever fails from here on.
async fn wait_for_rollout(context: &Context<'_>, change: &Accepted, deadline: Instant) -> Output {
    let hosts = match host_list::read(context.store, &context.cancel).await {
        Ok(hosts) => hosts,
        Err(error) => {
            log::warn!("event=host-list-unavailable error=\"{error}\"");
            let unreachable_hosts = vec!["all (the host list cannot be read)".to_owned()];
            let progress = rollout::Progress {
                unreachable_hosts,
                ..rollout::Progress::default()
            };
            return output::rollout(change, &progress);
        }
    };
    let progress = rollout::wait(
        context.hosts,
        &hosts,
        &change.config,
        change.version,
        deadline,
    )
    .await;
    output::rollout(change, &progress)
}

async fn fleet(context: &Context<'_>) -> Result<Output, Error> {
    let current = change::read(context.store, &context.cancel).await?;
    let hosts = host_list::read(context.store, &context.cancel).await?;
    let fleet = status::query_fleet(context.hosts, &hosts, &current).await;
    Ok(output::fleet(&fleet))
}

async fn owner(
    context: &Context<'_>,
    query: &KeyQuery,
    with_reasons: bool,
) -> Result<Output, Error> {
    let hosts = host_list::read(context.store, &context.cancel).await?;
    let explanation = explain::ask(context.hosts, &hosts, query).await?;
    Ok(output::owner(&explanation, with_reasons))
}

async fn timeline(
    context: &Context<'_>,
    filter: &Filter,
    keep_following: bool,
    out: &mut dyn Write,
) -> Result<(), Error> {
    let hosts = host_list::read(context.store, &context.cancel).await?;
    let json = context.options.json;
    if keep_following {
        let show = |event: &Event| write_event(event, json, out);
        return follow::follow(context.hosts, &hosts, filter, &context.cancel, show).await;
    }
    let deadline = Instant::now() + context.options.timeout;
    for event in follow::snapshot(context.hosts, &hosts, filter, deadline).await {
        write_event(&event, json, out)?;
    }
    Ok(())
}

fn write_event(event: &Event, json: bool, out: &mut dyn Write) -> Result<(), Error> {
    if json {
        let text = serde_json::to_string(event).map_err(std::io::Error::from)?;
        writeln!(out, "{text}")?;
    } else {
        writeln!(out, "{event}")?;
    }
    out.flush()?;
    Ok(())
}
