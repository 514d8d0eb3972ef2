//! Router process on entry hosts in front of backend servers that hold keys by grant.
//!
//! Each host sends straight to the backend server that holds a key; one of them grants the keys.
//! One thread runs everything: the hosts are a fifth of a core, and state needs no locks so.

pub mod clock;
pub mod cluster;
pub mod edit;
pub mod election;
pub mod front;
pub mod granting;
pub mod keys;
pub mod logging;
pub mod metrics;
pub mod peer;
pub mod platform;
pub mod pool;
pub mod process;
pub mod relay;
pub mod settings;
pub mod socket;
pub mod state;
