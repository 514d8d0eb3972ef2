//! Answers to operators' questions.

use std::collections::BTreeMap;

use serde_json::{Value, json};
use tarragon_model::key;

use super::{Node, Query};
use crate::input::Now;
use crate::slot::Slot;

impl Node {
    /// Answers an operator's question.
    #[must_use]
    pub fn query(&self, now: Now, query: &Query) -> Value {
        match query {
            Query::Shards => self.describe_shards(now),
            Query::Status => self.describe_status(now),
            Query::Explain { service, key } => self.explain(now, service, key),
        }
    }

    fn describe_shards(&self, now: Now) -> Value {
        let parts = self.slots.values().filter(|slot| slot.member.is_some());
        json!({
            "host": self.settings.me.host,
            "incarnation": self.settings.me.incarnation,
            "config_version": self.config_version,
            "shards": parts.map(|slot| describe_slot(now, slot)).collect::<Vec<_>>(),
            "directory": self.directory.all().collect::<Vec<_>>(),
        })
    }

    fn describe_status(&self, now: Now) -> Value {
        let acting = self.slots.values().filter(|slot| slot.is_acting(now.at));
        let in_force: BTreeMap<String, u64> = acting
            .filter_map(|slot| {
                let version = slot.engine.as_ref()?.config_in_force();
                Some((slot.id.object_name(), version))
            })
            .collect();
        let mut invariants: BTreeMap<&'static str, u64> = BTreeMap::new();
        let engines = self.slots.values().filter_map(|slot| slot.engine.as_ref());
        for (name, count) in engines.flat_map(crate::engine::Engine::broken_invariants) {
            *invariants.entry(name).or_default() += count;
        }
        json!({
            "host": self.settings.me.host,
            "incarnation": self.settings.me.incarnation,
            "draining": self.draining.is_some(),
            "store_away": self.store_away,
            "config_version": self.config_version,
            "config_in_force": in_force,
            "invariants": invariants,
        })
    }

    fn explain(&self, now: Now, service: &str, key: &str) -> Value {
        let Some(found) = self.config.service(service) else {
            return json!({ "service": service, "key": key, "why": ["no such service"] });
        };
        let hash = key::Hash::of(key);
        let group = hash.group(found.groups);
        let shard = found.shard_of(group);
        let leader = self
            .directory
            .lead(&shard)
            .map(|lead| lead.leader.host.clone());
        let slot = self.slots.get(&shard).filter(|slot| slot.is_acting(now.at));
        let mut answer = json!({
            "service": service,
            "key": key,
            "group": group.0,
            "shard": shard,
            "leader": leader,
            "owner": Value::Null,
            "why": ["ask the leader: it knows the owner"],
        });
        if let Some(engine) = slot.and_then(|slot| slot.engine.as_ref()) {
            let known = engine.explain(hash);
            answer["owner"] = known["owner"].clone();
            answer["why"] = known["why"].clone();
        }
        answer
    }
}

fn describe_slot(now: Now, slot: &Slot) -> Value {
    let Some(member) = &slot.member else {
        return Value::Null;
    };
    let acting = slot.is_acting(now.at);
    let state = member.state();
    let backends = slot.engine.as_ref().filter(|_| acting);
    json!({
        "shard": slot.id.object_name(),
        "fence": member.fence().to_string(),
        "role": format!("{:?}", member.role()).to_lowercase(),
        "acting": acting,
        "lease_ms": member.lease_until().since(now.at).as_millis(),
        "trio": member.replica_set(),
        "record_version": slot.version,
        "changes": state.changes,
        "owners": state.owners_for_record(slot.groups.0),
        "overrides": state.overrides_for_record(),
        "remembered": state.ledger.len(),
        "backends": backends.map(crate::engine::Engine::backends).unwrap_or_default(),
    })
}
