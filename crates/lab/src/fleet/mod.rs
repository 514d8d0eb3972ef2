//! The processes of a run.

pub mod child;
pub mod command;
pub mod control;
pub mod layout;
pub mod port;

use std::time::Duration;

use tokio::time::Instant;

use crate::client::Client;
use crate::error::{Error, Result};
use crate::trace::Life;
use child::Child;
use layout::{Host, Layout, Server};

/// Longest time until a process answers after its start.
const START_LIMIT: Duration = Duration::from_secs(20);
/// Pause between two looks at a process that starts.
const POLL: Duration = Duration::from_millis(50);

/// All processes of a run; they are ended when this is dropped.
#[derive(Debug)]
pub struct Fleet {
    /// Where everything stands.
    pub layout: Layout,
    hosts: Vec<Child>,
    servers: Vec<Child>,
    store: Child,
    links: Child,
}

impl Fleet {
    /// Describes the processes of a layout.
    #[must_use]
    pub fn new(layout: Layout, router: &command::Router) -> Self {
        let log = |name: &str| layout.path(&format!("{name}.log"));
        let hosts = layout.hosts.iter().map(|host| {
            let args = command::host(&layout, host, router);
            Child::new(&host.id, args, log(&host.id))
        });
        let servers = layout.servers.iter().map(|server| {
            let name = server.declared.id.as_str();
            Child::new(name, command::server(&layout, server), log(name))
        });
        Self {
            hosts: hosts.collect(),
            servers: servers.collect(),
            store: Child::new("store", command::store(&layout), log("store")),
            links: Child::new("links", command::links(&layout), log("links")),
            layout,
        }
    }

    /// Starts the store, the links and the backend servers, and waits until they answer.
    ///
    /// # Errors
    ///
    /// Fails when one of them does not start.
    pub async fn start_platform(&self, client: &Client) -> Result<()> {
        self.store.start()?;
        self.links.start()?;
        for server in &self.servers {
            server.start()?;
        }
        await_answer(
            client,
            &self.store,
            self.layout.store_addr,
            "/v1/objects/config",
        )
        .await?;
        await_answer(
            client,
            &self.links,
            self.layout.links_addr,
            control::LINKS_STATUS,
        )
        .await?;
        for server in &self.layout.servers {
            self.await_server(client, server).await?;
        }
        Ok(())
    }

    /// Starts all hosts.
    ///
    /// # Errors
    ///
    /// Fails when one of them does not start.
    pub fn start_hosts(&self) -> Result<()> {
        self.hosts.iter().try_for_each(Child::start)
    }

    /// Returns a host and its process.
    #[must_use]
    pub fn host(&self, id: &str) -> Option<(&Host, &Child)> {
        self.hosts().find(|(host, _)| host.id == id)
    }

    /// Returns all hosts and their processes.
    pub fn hosts(&self) -> impl Iterator<Item = (&Host, &Child)> {
        self.layout.hosts.iter().zip(&self.hosts)
    }

    /// Returns a backend server and its process.
    #[must_use]
    pub fn server(&self, id: &str) -> Option<(&Server, &Child)> {
        self.servers()
            .find(|(server, _)| server.declared.id.as_str() == id)
    }

    /// Returns all backend servers and their processes.
    pub fn servers(&self) -> impl Iterator<Item = (&Server, &Child)> {
        self.layout.servers.iter().zip(&self.servers)
    }

    /// Returns the lives of the backend servers' processes.
    #[must_use]
    pub fn lives(&self) -> Vec<Life> {
        self.servers.iter().flat_map(Child::lives).collect()
    }

    /// Returns the process of a host or backend server.
    #[must_use]
    pub fn process(&self, name: &str) -> Option<&Child> {
        self.movable().find(|child| child.name() == name)
    }

    /// Looks at all hosts and backend servers and returns the names of those that do not run.
    #[must_use]
    pub fn ended(&self) -> Vec<String> {
        let ended = self.movable().filter(|child| !child.is_running());
        ended.map(|child| child.name().to_owned()).collect()
    }

    fn movable(&self) -> impl Iterator<Item = &Child> {
        self.hosts.iter().chain(&self.servers)
    }

    /// Waits until a backend server answers.
    ///
    /// # Errors
    ///
    /// Fails when it does not within the limit for starts.
    pub async fn await_server(&self, client: &Client, server: &Server) -> Result<()> {
        let Some(child) = self.process(server.declared.id.as_str()) else {
            return Ok(());
        };
        await_answer(client, child, server.declared.addr, "/_health").await
    }

    /// Waits until a host says that callers may come.
    ///
    /// # Errors
    ///
    /// Fails when it does not within the limit for starts.
    pub async fn await_ready(&self, client: &Client, host: &Host) -> Result<()> {
        let Some(child) = self.process(&host.id) else {
            return Ok(());
        };
        await_answer(client, child, host.admin_addr, "/readyz").await
    }

    /// Ends all processes for good, the hosts first.
    pub fn stop(&self) {
        let rest = [&self.links, &self.store];
        let all = self.hosts.iter().chain(&self.servers).chain(rest);
        all.for_each(Child::close);
    }
}

async fn await_answer(
    client: &Client,
    child: &Child,
    addr: std::net::SocketAddr,
    path: &str,
) -> Result<()> {
    let start = Instant::now();
    let timeout = || Error::Timeout {
        step: "start",
        peer: child.name().to_owned(),
        after_ms: start.elapsed().as_millis(),
    };
    while start.elapsed() < START_LIMIT {
        let call = client.call(http::Method::GET, addr, path, Vec::new().into(), POLL * 4);
        if call.await.is_ok_and(|answer| answer.status == 200) {
            return Ok(());
        }
        if !child.is_running() {
            return Err(timeout());
        }
        tokio::time::sleep(POLL).await;
    }
    Err(timeout())
}
