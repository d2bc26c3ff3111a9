//! Members and configuration, as both roles keep them.
//!
//! [`node`] holds the state. Three loops feed it: [`gossip`] exchanges members,
//! [`entries`] finds the first members through the platform, and
//! [`configuration`] fetches newer configurations.

pub mod configuration;
pub mod entries;
pub mod gossip;
pub mod node;

use std::sync::Arc;

use hyssopstair_platform::client::PlatformClient;

use crate::control::node::ControlNode;

/// Starts the loops of a daemon.
pub fn spawn_loops(node: &Arc<ControlNode>, platform: &[String]) {
    let client = PlatformClient::new(platform);
    tokio::spawn(gossip::run(node.clone()));
    tokio::spawn(entries::run(node.clone(), client.clone()));
    tokio::spawn(configuration::run(node.clone(), client));
}
