//! Router process that runs on each entry host, in front of backend servers that own keys.
//!
//! Every host forwards a request directly to the backend server that holds its key. One host is
//! elected granter and assigns the keys. A single thread runs all tasks: a host has about a fifth
//! of a core, and shared state then needs no locks.

pub mod body;
pub mod clock;
pub mod cluster;
pub mod edit;
pub mod election;
pub mod evacuation;
pub mod front;
pub mod granting;
pub mod keys;
pub mod lag;
pub mod logging;
pub mod metrics;
pub mod overload;
pub mod peer;
pub mod platform;
pub mod pool;
pub mod process;
pub mod relay;
pub mod routed;
pub mod settings;
pub mod shutdown;
pub mod socket;
pub mod state;
pub mod warmup;
