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
use crate::trace::Incarnation;
use child::Child;
use layout::{Host, Layout, Server};

/// Time limit for a process to respond after its start.
const START_LIMIT: Duration = Duration::from_secs(20);
/// Interval between two checks of a process that is starting.
const POLL: Duration = Duration::from_millis(50);

/// All processes of a run; dropping it kills them.
#[derive(Debug)]
pub struct Fleet {
    /// Layout of the processes.
    pub layout: Layout,
    hosts: Vec<Child>,
    servers: Vec<Child>,
    store: Child,
    links: Child,
}

impl Fleet {
    /// Describes the processes of a layout without starting them.
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

    /// Starts the store, the fault proxy and the backend servers, and waits until they respond.
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
        await_ok(
            client,
            &self.store,
            self.layout.store_addr,
            "/v1/objects/config",
        )
        .await?;
        await_ok(
            client,
            &self.links,
            self.layout.links_addr,
            control::LINKS_STATUS_PATH,
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

    /// Returns the incarnations of all backend servers.
    #[must_use]
    pub fn incarnations(&self) -> Vec<Incarnation> {
        self.servers.iter().flat_map(Child::incarnations).collect()
    }

    /// Returns the process of a host or backend server.
    #[must_use]
    pub fn process(&self, name: &str) -> Option<&Child> {
        self.restartable().find(|child| child.name() == name)
    }

    /// Returns the names of the hosts and backend servers that are not running.
    #[must_use]
    pub fn exited(&self) -> Vec<String> {
        let exited = self.restartable().filter(|child| !child.is_running());
        exited.map(|child| child.name().to_owned()).collect()
    }

    fn restartable(&self) -> impl Iterator<Item = &Child> {
        self.hosts.iter().chain(&self.servers)
    }

    /// Waits until a backend server responds.
    ///
    /// # Errors
    ///
    /// Fails when it does not within the time limit for starts.
    pub async fn await_server(&self, client: &Client, server: &Server) -> Result<()> {
        let Some(child) = self.process(server.declared.id.as_str()) else {
            return Ok(());
        };
        await_ok(client, child, server.declared.addr, "/_health").await
    }

    /// Waits until a host reports that it is ready for callers.
    ///
    /// # Errors
    ///
    /// Fails when it does not within the time limit for starts.
    pub async fn await_ready(&self, client: &Client, host: &Host) -> Result<()> {
        let Some(child) = self.process(&host.id) else {
            return Ok(());
        };
        await_ok(client, child, host.admin_addr, "/readyz").await
    }

    /// Kills all processes, the hosts first, and prevents further starts.
    pub fn stop(&self) {
        let rest = [&self.links, &self.store];
        let all = self.hosts.iter().chain(&self.servers).chain(rest);
        all.for_each(Child::close);
    }
}

async fn await_ok(
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
        if call.await.is_ok_and(|response| response.status == 200) {
            return Ok(());
        }
        if !child.is_running() {
            return Err(timeout());
        }
        tokio::time::sleep(POLL).await;
    }
    Err(timeout())
}
