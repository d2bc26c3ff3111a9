//! The YAML settings of a process that forwards flows without terminating them.
//!
//! Unlike in [`DaemonSettings`](crate::settings::DaemonSettings), unknown fields are
//! ignored: the platform generates the file from a template, and a newer version of
//! the platform may add fields.

use std::net::SocketAddrV4;
use std::time::Duration;

use serde::Deserialize;

/// The role of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CarryRole {
    /// Receives packets from callers and forwards them to hosts.
    Balancer,
    /// Runs beside a backend server.
    Host,
}

/// The settings of a process.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct CarrySettings {
    /// Name of the instance, used in logs.
    pub name: String,
    /// The role of the process.
    pub role: CarryRole,
    /// Availability zone of the instance.
    pub zone: String,
    /// UDP address on which the process receives packets; on a balancer, those of
    /// callers. Packets to a caller are sent to this port at the address of the caller.
    pub packets: SocketAddrV4,
    /// HTTP address of the readiness check.
    pub readiness: SocketAddrV4,
    /// HTTP address on which metrics are served, at `/metrics`; if missing, they are
    /// not served.
    #[serde(default)]
    pub metrics: Option<SocketAddrV4>,
    /// First and last port for messages between processes.
    pub inner_ports: (u16, u16),
    /// Port on which this process receives messages from other processes; if missing,
    /// the first port of `inner_ports`. Needed only if something between the processes
    /// forwards messages from that first port to another one.
    #[serde(default)]
    pub inner_bind: Option<u16>,
    /// Addresses of some balancers, which may be outdated.
    #[serde(default)]
    pub contacts: Vec<SocketAddrV4>,
    /// Address of the platform's key-value store.
    pub store: SocketAddrV4,
    /// Time without packets after which a flow may be removed, in seconds.
    pub max_flow_seconds: f64,
    /// Time from the stop signal to the end of the process, in seconds.
    pub grace_seconds: f64,
    /// Time for which the address of an instance that has ended stays unused, in seconds.
    #[serde(default = "default_address_reuse_seconds")]
    pub address_reuse_seconds: f64,
    /// Whether operators may empty availability zones.
    #[serde(default)]
    pub evacuation: bool,
    /// Whether a host finds from the answers of its server how many requests it bears.
    #[serde(default)]
    pub server_pace: bool,
    /// The backend server; required for a host.
    #[serde(default)]
    pub server: Option<ServerSettings>,
}

/// The backend server of a host.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct ServerSettings {
    /// Name of the service that the server provides.
    pub service: String,
    /// Address on which the server receives packets over UDP and accepts connections over TCP.
    pub address: SocketAddrV4,
    /// UDP address to which the server sends its packets.
    pub outbound: SocketAddrV4,
    /// HTTP address to which the server sends its heartbeats.
    pub heartbeats: SocketAddrV4,
}

impl CarrySettings {
    /// Parses and validates settings.
    ///
    /// # Errors
    ///
    /// Returns a message that describes the first error.
    pub fn parse(text: &str) -> Result<Self, String> {
        let settings: Self = serde_saphyr::from_str(text).map_err(|error| error.to_string())?;
        if settings.inner_ports.0 > settings.inner_ports.1 {
            return Err("inner_ports: the first port is greater than the last port".to_owned());
        }
        let durations = [
            settings.max_flow_seconds,
            settings.grace_seconds,
            settings.address_reuse_seconds,
        ];
        if durations
            .iter()
            .any(|seconds| !(0.0..1e6).contains(seconds))
        {
            return Err(
                "max_flow_seconds, grace_seconds, address_reuse_seconds: must be at least 0 and less \
                 than 1000000"
                    .to_owned(),
            );
        }
        if settings.role == CarryRole::Host && settings.server.is_none() {
            return Err("server: missing field, required for the role host".to_owned());
        }
        Ok(settings)
    }

    /// Returns the address on which the process receives messages from other
    /// processes.
    pub fn inner_address(&self) -> SocketAddrV4 {
        let port = self.inner_bind.unwrap_or(self.inner_ports.0);
        SocketAddrV4::new(*self.packets.ip(), port)
    }

    /// Returns the time without packets after which a flow may be removed.
    pub fn max_flow_age(&self) -> Duration {
        Duration::from_secs_f64(self.max_flow_seconds)
    }

    /// Returns the time for which the address of an instance that has ended stays unused.
    pub fn address_reuse_time(&self) -> Duration {
        Duration::from_secs_f64(self.address_reuse_seconds)
    }
}

fn default_address_reuse_seconds() -> f64 {
    2.0
}
