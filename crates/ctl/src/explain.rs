//! Looks up the owner of a key and the reasons for it.

use tarragon_model::host::Entry;

use crate::command::KeyQuery;
use crate::error::Error;
use crate::host::{Api, Explanation};

/// Asks the hosts in order until one knows the shard, then the leader that it names.
///
/// The leader's explanation is returned if it names an owner, else the first one.
///
/// # Errors
///
/// Fails when no host responds with the shard of the key.
pub async fn ask(api: &dyn Api, hosts: &[Entry], query: &KeyQuery) -> Result<Explanation, Error> {
    let first = ask_any(api, hosts, query).await?;
    let Some(leader) = leader_of(&first, hosts) else {
        return Ok(first);
    };
    match ask_one(api, leader, query).await {
        Ok(explanation) if explanation.owner.is_some() => Ok(explanation),
        _ => Ok(first),
    }
}

async fn ask_any(api: &dyn Api, hosts: &[Entry], query: &KeyQuery) -> Result<Explanation, Error> {
    let mut failure = Error::NoHost {
        operation: "explain",
        reason: "the platform lists no host".to_owned(),
    };
    for host in hosts {
        failure = match ask_one(api, host, query).await {
            Ok(explanation) if explanation.shard.is_some() => return Ok(explanation),
            Ok(_) => Error::NotFound {
                what: "service",
                name: query.service.to_string(),
                command: "service list",
            },
            Err(error) => Error::NoHost {
                operation: "explain",
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

fn leader_of<'a>(explanation: &Explanation, hosts: &'a [Entry]) -> Option<&'a Entry> {
    let leader = &explanation.leader.as_ref()?.0;
    let name = leader.split('#').next()?;
    hosts.iter().find(|host| host.id.as_str() == name)
}
