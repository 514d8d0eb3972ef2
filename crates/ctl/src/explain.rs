//! Asks who owns a key and why.

use tarragon_model::host::Entry;

use crate::command::KeyQuery;
use crate::error::Error;
use crate::host::{Api, Explanation};

/// Asks the hosts one after another, then the leader that the first answer names.
///
/// # Errors
///
/// Fails when no host answers.
pub async fn ask(api: &dyn Api, hosts: &[Entry], query: &KeyQuery) -> Result<Explanation, Error> {
    let first = ask_any(api, hosts, query).await?;
    let Some(leader) = leader_of(&first, hosts) else {
        return Ok(first);
    };
    match ask_one(api, leader, query).await {
        Ok(answer) if answer.owner.is_some() => Ok(answer),
        _ => Ok(first),
    }
}

async fn ask_any(api: &dyn Api, hosts: &[Entry], query: &KeyQuery) -> Result<Explanation, Error> {
    let mut failure = Error::NoHost {
        step: "explain",
        reason: "the platform lists no host".to_owned(),
    };
    for host in hosts {
        failure = match ask_one(api, host, query).await {
            Ok(answer) if answer.shard.is_some() => return Ok(answer),
            Ok(_) => Error::Absent {
                what: "service",
                name: query.service.to_string(),
                command: "service list",
            },
            Err(error) => Error::NoHost {
                step: "explain",
                reason: error.to_string(),
            },
        };
    }
    Err(failure)
}

async fn ask_one(
    api: &dyn Api,
    host: &Entry,
    query: &KeyQuery,
) -> Result<Explanation, crate::http::Error> {
    api.explain(host.admin_addr, query.service.as_str(), &query.key)
        .await
}

fn leader_of<'a>(answer: &Explanation, hosts: &'a [Entry]) -> Option<&'a Entry> {
    let leader = &answer.leader.as_ref()?.0;
    let name = leader.split('#').next()?;
    hosts.iter().find(|host| host.id.as_str() == name)
}
