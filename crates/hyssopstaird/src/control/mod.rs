//! The roster and the configuration, which both roles maintain.
//!
//! [`node`] contains the shared state. Three background tasks update it: [`gossip`]
//! exchanges the roster with other processes, [`entries`] finds the first members
//! through the platform, and [`configuration`] fetches newer configurations.

pub mod configuration;
pub mod entries;
pub mod gossip;
pub mod node;

use std::sync::Arc;

use hyssopstair_platform::client::PlatformClient;

use crate::control::node::ControlNode;

/// Starts the background tasks. `platform` lists the URLs of the platform.
pub fn spawn_loops(node: &Arc<ControlNode>, platform: &[String]) {
    let client = PlatformClient::new(platform);
    tokio::spawn(gossip::run(node.clone()));
    tokio::spawn(entries::run(node.clone(), client.clone()));
    tokio::spawn(configuration::run(node.clone(), client));
}
