//! Access to the platform's object store, on the thread `keeper`: watches objects and updates
//! shard records.

use std::time::Duration;

use tarragon_model::config::{self, Config};
use tarragon_model::host::{self, Peer};
use tarragon_model::record::Record;
use tarragon_model::shard;
use tarragon_node::input::{Input, ReadRecord, WriteOutcome};
use tarragon_store::api::Api;
use tarragon_store::client::Client;
use tarragon_store::error::{Error as StoreError, Kind};
use tarragon_store::object::{Changes, Key, Object, Version};
use tarragon_store::update::{
    SeededFault as StoreSeededFault, WriteOutcome as StoreWriteOutcome, Writer,
};
use tarragon_timeline::event::{Draft, Kind as EventKind, Name};
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::control::Command;
use crate::seeded_fault::SeededFault;
use crate::shared::Shared;

/// Kind of the objects that hold shard records.
pub const SHARDS: &str = "shards";
/// Kind of the objects that make up the platform's host list.
pub const HOSTS: &str = "hosts";
/// Kind of the objects by which operators declare hosts lost.
pub const LOST_HOSTS: &str = "lost-hosts";

/// Timeout of a call to the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum duration of one watch call.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);
/// Delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Conditional update of a shard's record.
#[derive(Debug)]
pub struct Write {
    /// The shard.
    pub shard: shard::Id,
    /// Expected version of the object; zero means that the object must not exist.
    pub if_version: u64,
    /// Record to write.
    pub record: Record,
}

/// Object by which operators declare a host lost, up to an incarnation.
#[derive(Debug, serde::Deserialize)]
struct LostHost {
    host: host::Id,
    incarnation: u64,
}

/// Watches the store and executes the updates of `writes` until the process stops.
pub async fn run(shared: Shared, mut writes: mpsc::Receiver<Write>) {
    let client = match Client::new(shared.dial_addr(shared.settings.store_addr), STORE_TIMEOUT) {
        Ok(client) => std::sync::Arc::new(client),
        Err(error) => {
            log::error!("event=duty-failed duty=keeper error=\"{error}\"");
            shared.stop.cancel();
            return;
        }
    };
    for kind in [config::KIND, HOSTS, LOST_HOSTS, SHARDS] {
        tokio::spawn(watch_kind(shared.clone(), client.clone(), kind));
    }
    loop {
        let write = tokio::select! {
            () = shared.stop.cancelled() => return,
            write = writes.recv() => write,
        };
        let Some(write) = write else {
            return;
        };
        tokio::spawn(update(shared.clone(), client.clone(), write));
    }
}

async fn update(shared: Shared, client: std::sync::Arc<Client>, write: Write) {
    let name = write.shard.object_name();
    let mut writer = Writer::new(client.as_ref());
    if shared.seeded_fault == SeededFault::BlindSecondWrite {
        writer = writer.with_seeded_fault(StoreSeededFault::BlindSecondWrite);
    }
    let key = Key::new(SHARDS, &name);
    let expected = Version(write.if_version);
    let result = match writer
        .update(key, expected, &write.record, &shared.stop)
        .await
    {
        Ok(StoreWriteOutcome::Applied { version }) => WriteOutcome::Applied { version: version.0 },
        Ok(StoreWriteOutcome::Conflict { version, value }) => WriteOutcome::Conflict {
            version: version.0,
            record: value.map(Box::new),
        },
        Ok(StoreWriteOutcome::Unresolved) => {
            resolve(&shared, &client, &write).await;
            return;
        }
        Err(error) => {
            log::warn!("event=write-failed shard={name} error=\"{error}\"");
            sleep(RETRY_DELAY).await;
            WriteOutcome::Failed
        }
    };
    send_input(
        &shared,
        Input::WriteEnded {
            shard: write.shard,
            result,
        },
    )
    .await;
}

/// Reads until the outcome of an update is known; the node waits for it.
async fn resolve(shared: &Shared, client: &Client, write: &Write) {
    let name = write.shard.object_name();
    let key = Key::new(SHARDS, &name);
    let expected = Version(write.if_version);
    send_input(
        shared,
        Input::WriteEnded {
            shard: write.shard.clone(),
            result: WriteOutcome::Unresolved,
        },
    )
    .await;
    loop {
        if shared.stop.is_cancelled() {
            return;
        }
        let writer = Writer::new(client);
        let token = &write.record.token;
        let result = match writer
            .resolve::<Record>(key, expected, token, &shared.stop)
            .await
        {
            StoreWriteOutcome::Applied { version } => WriteOutcome::Applied { version: version.0 },
            StoreWriteOutcome::Conflict { version, value } => WriteOutcome::Conflict {
                version: version.0,
                record: value.map(Box::new),
            },
            StoreWriteOutcome::Unresolved => {
                sleep(RETRY_DELAY).await;
                continue;
            }
        };
        send_input(
            shared,
            Input::WriteEnded {
                shard: write.shard.clone(),
                result,
            },
        )
        .await;
        return;
    }
}

/// Lists all objects of a kind and then watches their changes.
async fn watch_kind(shared: Shared, client: std::sync::Arc<Client>, kind: &'static str) {
    let mut watcher = Watcher {
        shared,
        client,
        kind,
        objects: Vec::new(),
        unavailable: false,
    };
    while !watcher.shared.stop.is_cancelled() {
        match watcher.list().await {
            Ok(revision) => watcher.watch(revision).await,
            Err(error) => watcher.mark_unavailable(&error).await,
        }
    }
}

/// Watch of all objects of one kind.
struct Watcher {
    shared: Shared,
    client: std::sync::Arc<Client>,
    kind: &'static str,
    /// Latest version of each object.
    objects: Vec<Object>,
    /// Whether the last call failed.
    unavailable: bool,
}

impl Watcher {
    async fn list(&mut self) -> Result<Version, StoreError> {
        let list = self.client.list(self.kind, &self.shared.stop).await?;
        self.objects = list.items;
        self.mark_available().await;
        self.publish().await;
        Ok(list.revision)
    }

    /// Watches for changes until the store no longer has those since the last revision.
    async fn watch(&mut self, mut after: Version) {
        while !self.shared.stop.is_cancelled() {
            let watch = self
                .client
                .watch(self.kind, after, WATCH_TIMEOUT, &self.shared.stop)
                .await;
            match watch {
                Ok(changes) => {
                    after = changes.revision.max(after);
                    self.mark_available().await;
                    self.apply(changes).await;
                }
                Err(error) if matches!(error.kind, Kind::TooOld) => return,
                Err(error) => self.mark_unavailable(&error).await,
            }
        }
    }

    /// Applies changes to the objects, ignoring those that are older, and publishes the result.
    async fn apply(&mut self, changes: Changes) {
        if changes.changes.is_empty() {
            return;
        }
        for change in changes.changes {
            let name = &change.object.name;
            let newer = self
                .objects
                .iter()
                .all(|object| object.name != *name || object.version <= change.object.version);
            if !newer {
                continue;
            }
            self.objects.retain(|object| object.name != *name);
            if !change.deleted {
                self.objects.push(change.object);
            }
        }
        self.publish().await;
    }

    /// Sends the objects to the node.
    async fn publish(&self) {
        let input = match self.kind {
            config::KIND => self.config(),
            HOSTS => Some(Input::Hosts(
                self.decoded().map(|(_, entry)| entry).collect(),
            )),
            SHARDS => Some(Input::Records(self.records())),
            _ => {
                for (_, lost) in self.decoded::<LostHost>() {
                    let peer = Peer::new(lost.host, lost.incarnation);
                    send_input(&self.shared, Input::HostLost(peer)).await;
                }
                None
            }
        };
        if let Some(input) = input {
            send_input(&self.shared, input).await;
        }
    }

    fn config(&self) -> Option<Input> {
        let (object, config) = self
            .decoded::<Config>()
            .find(|(object, _)| object.name == config::OBJECT)?;
        if let Err(problems) = config::check(&config) {
            let problem = problems
                .iter()
                .map(ToString::to_string)
                .collect::<Vec<_>>()
                .join("; ");
            self.report(EventKind::ConfigRefused, object, &problem);
            return None;
        }
        Some(Input::Config {
            version: object.version.0,
            config: Box::new(config),
        })
    }

    fn records(&self) -> Vec<ReadRecord> {
        self.decoded::<Record>()
            .filter_map(|(object, record)| {
                let shard = shard::Id::parse(&object.name)?;
                Some(ReadRecord {
                    shard,
                    version: object.version.0,
                    record,
                })
            })
            .collect()
    }

    /// Returns the objects that can be decoded; reports and skips the others.
    fn decoded<T: serde::de::DeserializeOwned>(&self) -> impl Iterator<Item = (&Object, T)> {
        self.objects
            .iter()
            .filter_map(|object| match object.decode::<T>() {
                Ok(value) => Some((object, value)),
                Err(error) => {
                    self.report(EventKind::BadObject, object, &error.to_string());
                    None
                }
            })
    }

    /// Records an event for an object that cannot be used.
    fn report(&self, kind: EventKind, object: &Object, problem: &str) {
        let draft = Draft::new(kind)
            .with(Name::Detail, format!("{}/{}", object.kind, object.name))
            .with(Name::Version, object.version)
            .with(Name::Reason, problem);
        self.shared.record(draft);
    }

    async fn mark_available(&mut self) {
        if self.unavailable {
            self.unavailable = false;
            send_input(&self.shared, Input::StoreUnavailable(false)).await;
        }
    }

    async fn mark_unavailable(&mut self, error: &StoreError) {
        if self.shared.stop.is_cancelled() {
            return;
        }
        if !self.unavailable {
            self.unavailable = true;
            log::warn!("event=store-away kind={} error=\"{error}\"", self.kind);
            send_input(&self.shared, Input::StoreUnavailable(true)).await;
        }
        sleep(RETRY_DELAY).await;
    }
}

async fn send_input(shared: &Shared, input: Input) {
    let _ = shared.control.send(Command::Input(input)).await;
}
