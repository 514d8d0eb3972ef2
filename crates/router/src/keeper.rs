//! The keeper duty: everything between this process and the platform's object API.

use std::time::Duration;

use tarragon_model::config::{self, Config};
use tarragon_model::host::{self, Peer};
use tarragon_model::record::Record;
use tarragon_model::shard;
use tarragon_node::input::{self, Input, ReadRecord};
use tarragon_store::api::Api;
use tarragon_store::client::Client;
use tarragon_store::error::{Error as StoreError, Kind};
use tarragon_store::object::{Changes, Key, Object, Version};
use tarragon_store::update::{SeededFault as StoreSeededFault, WriteOutcome, Writer};
use tarragon_timeline::event::{Draft, Kind as EventKind, Name};
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::control::Command;
use crate::seeded_fault::SeededFault;
use crate::shared::Shared;

/// Kind of the objects that hold shards' records.
pub const SHARDS: &str = "shards";
/// Kind of the objects of the platform's host list.
pub const HOSTS: &str = "hosts";
/// Kind of the objects with which operators declare hosts lost.
pub const LOST_HOSTS: &str = "lost-hosts";

/// Time in which the store must answer.
const STORE_TIME: Duration = Duration::from_secs(1);
/// Longest wait of one watch.
const WATCH_TIME: Duration = Duration::from_secs(20);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Update of a shard's record.
#[derive(Debug)]
pub struct Write {
    /// The shard.
    pub shard: shard::Id,
    /// Version that the object must have; zero means that it must be absent.
    pub if_version: u64,
    /// The new record.
    pub record: Record,
}

/// Object with which operators declare a host lost.
#[derive(Debug, serde::Deserialize)]
struct LostHost {
    host: host::Id,
    incarnation: u64,
}

/// Watches the store and updates records until the process stops.
pub async fn run(shared: Shared, mut writes: mpsc::Receiver<Write>) {
    let client = match Client::new(shared.dialled(shared.settings.store_addr), STORE_TIME) {
        Ok(client) => std::sync::Arc::new(client),
        Err(error) => {
            log::error!("event=duty-failed duty=keeper error=\"{error}\"");
            shared.stop.cancel();
            return;
        }
    };
    for kind in [config::KIND, HOSTS, LOST_HOSTS, SHARDS] {
        tokio::spawn(follow(shared.clone(), client.clone(), kind));
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
        Ok(WriteOutcome::Won { version }) => input::WriteOutcome::Won { version: version.0 },
        Ok(WriteOutcome::Lost { version, value }) => input::WriteOutcome::Lost {
            version: version.0,
            record: value.map(Box::new),
        },
        Ok(WriteOutcome::Unresolved) => {
            settle(&shared, &client, &write).await;
            return;
        }
        Err(error) => {
            log::warn!("event=write-failed shard={name} error=\"{error}\"");
            sleep(RETRY_PAUSE).await;
            input::WriteOutcome::Failed
        }
    };
    tell(
        &shared,
        Input::WriteEnded {
            shard: write.shard,
            result,
        },
    )
    .await;
}

/// Reads until the fate of an update is known; the decisions wait for it.
async fn settle(shared: &Shared, client: &Client, write: &Write) {
    let name = write.shard.object_name();
    let key = Key::new(SHARDS, &name);
    let expected = Version(write.if_version);
    tell(
        shared,
        Input::WriteEnded {
            shard: write.shard.clone(),
            result: input::WriteOutcome::Unresolved,
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
            WriteOutcome::Won { version } => input::WriteOutcome::Won { version: version.0 },
            WriteOutcome::Lost { version, value } => input::WriteOutcome::Lost {
                version: version.0,
                record: value.map(Box::new),
            },
            WriteOutcome::Unresolved => {
                sleep(RETRY_PAUSE).await;
                continue;
            }
        };
        tell(
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

/// Reads all objects of a kind, then follows their changes.
async fn follow(shared: Shared, client: std::sync::Arc<Client>, kind: &'static str) {
    let mut source = Source {
        shared,
        client,
        kind,
        objects: Vec::new(),
        away: false,
    };
    while !source.shared.stop.is_cancelled() {
        match source.list().await {
            Ok(revision) => source.watch(revision).await,
            Err(error) => source.failed(&error).await,
        }
    }
}

struct Source {
    shared: Shared,
    client: std::sync::Arc<Client>,
    kind: &'static str,
    objects: Vec<Object>,
    away: bool,
}

impl Source {
    async fn list(&mut self) -> Result<Version, StoreError> {
        let list = self.client.list(self.kind, &self.shared.stop).await?;
        self.objects = list.items;
        self.answered().await;
        self.tell().await;
        Ok(list.revision)
    }

    async fn watch(&mut self, mut after: Version) {
        while !self.shared.stop.is_cancelled() {
            let watch = self
                .client
                .watch(self.kind, after, WATCH_TIME, &self.shared.stop)
                .await;
            match watch {
                Ok(changes) => {
                    after = changes.revision.max(after);
                    self.answered().await;
                    self.take(changes).await;
                }
                Err(error) if matches!(error.kind, Kind::TooOld) => return,
                Err(error) => self.failed(&error).await,
            }
        }
    }

    async fn take(&mut self, changes: Changes) {
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
        self.tell().await;
    }

    async fn tell(&self) {
        let input = match self.kind {
            config::KIND => self.config(),
            HOSTS => Some(Input::Hosts(
                self.decoded().map(|(_, entry)| entry).collect(),
            )),
            SHARDS => Some(Input::Records(self.records())),
            _ => {
                for (_, lost) in self.decoded::<LostHost>() {
                    let peer = Peer::new(lost.host, lost.incarnation);
                    tell(&self.shared, Input::HostLost(peer)).await;
                }
                None
            }
        };
        if let Some(input) = input {
            tell(&self.shared, input).await;
        }
    }

    fn config(&self) -> Option<Input> {
        let (object, config) = self
            .decoded::<Config>()
            .find(|(object, _)| object.name == config::OBJECT)?;
        if let Err(problems) = config::check(&config) {
            let wrong = problems
                .iter()
                .map(ToString::to_string)
                .collect::<Vec<_>>()
                .join("; ");
            self.refuse(EventKind::ConfigRefused, object, &wrong);
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

    /// Returns the objects that can be read; the others are reported and left out.
    fn decoded<T: serde::de::DeserializeOwned>(&self) -> impl Iterator<Item = (&Object, T)> {
        self.objects
            .iter()
            .filter_map(|object| match object.decode::<T>() {
                Ok(value) => Some((object, value)),
                Err(error) => {
                    self.refuse(EventKind::BadObject, object, &error.to_string());
                    None
                }
            })
    }

    fn refuse(&self, kind: EventKind, object: &Object, wrong: &str) {
        let draft = Draft::new(kind)
            .with(Name::Detail, format!("{}/{}", object.kind, object.name))
            .with(Name::Version, object.version)
            .with(Name::Reason, wrong);
        self.shared.record(draft);
    }

    async fn answered(&mut self) {
        if self.away {
            self.away = false;
            tell(&self.shared, Input::StoreUnavailable(false)).await;
        }
    }

    async fn failed(&mut self, error: &StoreError) {
        if self.shared.stop.is_cancelled() {
            return;
        }
        if !self.away {
            self.away = true;
            log::warn!("event=store-away kind={} error=\"{error}\"", self.kind);
            tell(&self.shared, Input::StoreUnavailable(true)).await;
        }
        sleep(RETRY_PAUSE).await;
    }
}

async fn tell(shared: &Shared, input: Input) {
    let _ = shared.control.send(Command::Input(input)).await;
}
