//! Responses to operators' queries.

use std::collections::BTreeMap;

use serde_json::{Value, json};
use tarragon_model::key;

use super::{Node, Query};
use crate::input::Now;
use crate::local_shard::LocalShard;

impl Node {
    /// Answers an operator's query as JSON.
    #[must_use]
    pub fn query(&self, now: Now, query: &Query) -> Value {
        match query {
            Query::Shards => self.describe_shards(now),
            Query::Status => self.describe_status(now),
            Query::Explain { service, key } => self.explain(now, service, key),
        }
    }

    /// Describes the shards of this process and all known leaders.
    fn describe_shards(&self, now: Now) -> Value {
        let member_shards = self
            .shards
            .values()
            .filter(|local_shard| local_shard.member.is_some());
        json!({
            "host": self.settings.me.host,
            "incarnation": self.settings.me.incarnation,
            "config_version": self.config_version,
            "shards": member_shards.map(|local_shard| describe_shard(now, local_shard)).collect::<Vec<_>>(),
            "directory": self.directory.all().collect::<Vec<_>>(),
        })
    }

    /// Describes the state of this process.
    fn describe_status(&self, now: Now) -> Value {
        let acting = self
            .shards
            .values()
            .filter(|local_shard| local_shard.is_acting(now.at));
        let in_force: BTreeMap<String, u64> = acting
            .filter_map(|local_shard| {
                let version = local_shard.engine.as_ref()?.applied_config_version();
                Some((local_shard.id.object_name(), version))
            })
            .collect();
        let mut invariants: BTreeMap<&'static str, u64> = BTreeMap::new();
        let engines = self
            .shards
            .values()
            .filter_map(|local_shard| local_shard.engine.as_ref());
        for (name, count) in engines.flat_map(crate::engine::Engine::broken_invariants) {
            *invariants.entry(name).or_default() += count;
        }
        json!({
            "host": self.settings.me.host,
            "incarnation": self.settings.me.incarnation,
            "draining": self.draining.is_some(),
            "store_away": self.store_unavailable,
            "config_version": self.config_version,
            "config_in_force": in_force,
            "invariants": invariants,
        })
    }

    /// Explains who owns a key; only the leader of its shard knows.
    fn explain(&self, now: Now, service: &str, key: &str) -> Value {
        let Some(found) = self.config.service(service) else {
            return json!({ "service": service, "key": key, "why": ["no such service"] });
        };
        let hash = key::Hash::of(key);
        let group = hash.group(found.groups);
        let shard = found.shard_of(group);
        let leader = self
            .directory
            .leadership(&shard)
            .map(|leadership| leadership.leader.host.clone());
        let local_shard = self
            .shards
            .get(&shard)
            .filter(|local_shard| local_shard.is_acting(now.at));
        let mut response = json!({
            "service": service,
            "key": key,
            "group": group.0,
            "shard": shard,
            "leader": leader,
            "owner": Value::Null,
            "why": ["ask the leader: it knows the owner"],
        });
        if let Some(engine) = local_shard.and_then(|local_shard| local_shard.engine.as_ref()) {
            let known = engine.explain(hash);
            response["owner"] = known["owner"].clone();
            response["why"] = known["why"].clone();
        }
        response
    }
}

/// Describes a shard of which this process is a member.
fn describe_shard(now: Now, local_shard: &LocalShard) -> Value {
    let Some(member) = &local_shard.member else {
        return Value::Null;
    };
    let acting = local_shard.is_acting(now.at);
    let state = member.state();
    let backends = local_shard.engine.as_ref().filter(|_| acting);
    json!({
        "shard": local_shard.id.object_name(),
        "fence": member.fence().to_string(),
        "role": format!("{:?}", member.role()).to_lowercase(),
        "acting": acting,
        "lease_ms": member.lease_until().since(now.at).as_millis(),
        "trio": member.replica_set(),
        "record_version": local_shard.version,
        "changes": state.changes,
        "owners": state.owners_for_record(local_shard.groups.0),
        "overrides": state.overrides_for_record(),
        "remembered": state.ledger.len(),
        "backends": backends.map(crate::engine::Engine::backends).unwrap_or_default(),
    })
}
