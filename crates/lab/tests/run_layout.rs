//! Layouts of runs: valid configurations and settings, and distinct ports.

use std::collections::HashSet;
use std::path::Path;

use tarragon_lab::deployment::Deployment;
use tarragon_lab::fleet::layout::Layout;
use tarragon_model::config;

/// Defines a test: a deployment with this number of hosts gets this number of backend servers.
macro_rules! plan {
    ($name:ident, $deployment:expr, $hosts:expr, $servers:expr) => {
        #[test]
        fn $name() {
            let layout = Layout::plan(&$deployment, $hosts, 1, Path::new("unused")).unwrap();
            config::check(&layout.config).unwrap();
            assert_eq!(layout.servers.len(), $servers);
            let links = layout.links.iter().map(|link| link.listen);
            let hosts = layout.hosts.iter();
            let hosts =
                hosts.flat_map(|host| [host.caller_addr, host.peer_addr, host.forward_addr]);
            let all: Vec<_> = links.chain(hosts).collect();
            assert_eq!(all.iter().collect::<HashSet<_>>().len(), all.len());
            let from_each = 2 * ($hosts - 1) + $servers + 1;
            assert_eq!(layout.links.len(), $hosts * from_each);
        }
    };
}

plan!(indus_fits, Deployment::indus(), 12, 40);
plan!(atlas_fits, Deployment::atlas(), 12, 45);
plan!(largest_fits, Deployment::atlas(), 18, 45);

#[test]
fn settings_are_accepted() {
    let dir = std::env::temp_dir().join(format!("lab-layout-{}", std::process::id()));
    let layout = Layout::plan(&Deployment::indus(), 3, 1, &dir).unwrap();
    layout.write(1).unwrap();
    for host in &layout.hosts {
        let text = std::fs::read_to_string(layout.settings_path(host)).unwrap();
        let settings: tarragon_model::settings::Router = serde_json::from_str(&text).unwrap();
        assert_eq!(settings.host.as_str(), host.id);
        assert!(std::fs::metadata(&settings.fleet_key_file).unwrap().len() >= 32);
    }
    std::fs::remove_dir_all(&dir).unwrap();
}
