//! The settings of a process that carries flows without ending them, in YAML.
//!
//! Unlike [`DaemonSettings`](crate::settings::DaemonSettings), unknown fields are
//! passed over: the platform fills in a template, and its newer versions may know
//! more.

use std::net::SocketAddrV4;
use std::time::Duration;

use serde::Deserialize;

/// What a process does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CarryRole {
    /// Callers' packets arrive at it.
    Balancer,
    /// It runs beside a backend server.
    Host,
}

/// The settings of one process.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct CarrySettings {
    /// Name of the instance, for logs.
    pub name: String,
    /// What the process does.
    pub role: CarryRole,
    /// Availability zone of the instance.
    pub zone: String,
    /// Where packets arrive over UDP: those of callers at a balancer. The port is
    /// also the one that callers get their packets at.
    pub packets: SocketAddrV4,
    /// Where readiness is asked for over HTTP.
    pub readiness: SocketAddrV4,
    /// Where metrics are served over HTTP, at `/metrics`; nowhere if left out.
    #[serde(default)]
    pub metrics: Option<SocketAddrV4>,
    /// First and last port for messages between processes.
    pub inner_ports: (u16, u16),
    /// Port for messages between processes at this one, if it is not the first of
    /// `inner_ports`, as something in between passes them on.
    #[serde(default)]
    pub inner_bind: Option<u16>,
    /// Addresses of some balancers; they may be old.
    #[serde(default)]
    pub contacts: Vec<SocketAddrV4>,
    /// Address of the platform's key-value store.
    pub store: SocketAddrV4,
    /// Age after which a flow may be forgotten, in seconds.
    pub max_flow_seconds: f64,
    /// Time between the signal to stop and the end of the process, in seconds.
    pub grace_seconds: f64,
    /// What only a host has.
    #[serde(default)]
    pub server: Option<ServerSettings>,
}

/// The server beside a host.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct ServerSettings {
    /// Name of its service.
    pub service: String,
    /// Where it takes packets over UDP, and health checks over HTTP.
    pub address: SocketAddrV4,
    /// Where it sends its own packets to, over UDP.
    pub outbound: SocketAddrV4,
    /// Where it sends its heartbeats to, over HTTP.
    pub heartbeats: SocketAddrV4,
}

impl CarrySettings {
    /// Reads settings and checks them.
    ///
    /// # Errors
    ///
    /// Returns a text that names the mistake.
    pub fn parse(text: &str) -> Result<Self, String> {
        let settings: Self = serde_saphyr::from_str(text).map_err(|error| error.to_string())?;
        if settings.inner_ports.0 > settings.inner_ports.1 {
            return Err("inner_ports: the first port is above the last".to_owned());
        }
        let times = [settings.max_flow_seconds, settings.grace_seconds];
        if times.iter().any(|seconds| !(0.0..1e6).contains(seconds)) {
            return Err("max_flow_seconds, grace_seconds: not a time".to_owned());
        }
        if settings.role == CarryRole::Host && settings.server.is_none() {
            return Err("server: a host needs the settings of its server".to_owned());
        }
        Ok(settings)
    }

    /// Returns the address for messages between processes.
    pub fn inner_address(&self) -> SocketAddrV4 {
        let port = self.inner_bind.unwrap_or(self.inner_ports.0);
        SocketAddrV4::new(*self.packets.ip(), port)
    }

    /// Returns the age after which a flow may be forgotten.
    pub fn max_flow_age(&self) -> Duration {
        Duration::from_secs_f64(self.max_flow_seconds)
    }
}
