//! The YAML settings of a daemon.
//!
//! A settings file contains the values that differ between processes: the role, the
//! addresses, the availability zone, and the locations of the platform and the
//! secrets. See `docs/reference/settings.md`.

use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::path::PathBuf;

use serde::Deserialize;

/// The settings of a daemon.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonSettings {
    /// The role of the daemon and its settings.
    pub role: RoleSettings,
    /// Address for other processes of the system: packets of flows and control
    /// messages over UDP, and requests from peers over TCP.
    pub inner: SocketAddrV4,
    /// HTTP address for operators: status, metrics and readiness.
    pub admin: SocketAddrV4,
    /// Name of the availability zone.
    pub zone: String,
    /// URLs of the platform's key-value service.
    pub platform: Vec<String>,
    /// Inner addresses of members to contact first, so that the daemon can join while
    /// the platform is unavailable.
    #[serde(default)]
    pub contacts: Vec<SocketAddrV4>,
    /// Location of the fleet secret.
    pub secret: SecretSource,
    /// URL of a trace collector that accepts OTLP over HTTP.
    #[serde(default)]
    pub traces: Option<String>,
}

/// The settings of each role.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum RoleSettings {
    /// Forwards packets between callers and hosts.
    Balancer(BalancerSettings),
    /// Runs beside a backend server.
    Host(HostSettings),
}

/// The settings of a balancer.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BalancerSettings {
    /// Address on which the balancer receives packets from the network fabric.
    pub entry: SocketAddrV4,
    /// Address of the network fabric.
    pub fabric: SocketAddr,
}

/// The settings of a host, the process beside a backend server.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostSettings {
    /// Name of the service.
    pub service: String,
    /// Address of the backend server.
    pub backend: SocketAddrV4,
    /// Path of the certificate chain of the service, in PEM.
    pub certificate: PathBuf,
    /// Path of the private key of the certificate, in PEM.
    pub private_key: PathBuf,
}

/// The location of a secret.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum SecretSource {
    /// A file that contains 32 hexadecimal digits.
    File(PathBuf),
    /// An environment variable that contains 32 hexadecimal digits.
    Environment(String),
}

impl DaemonSettings {
    /// Parses settings.
    ///
    /// # Errors
    ///
    /// Returns a message with the line, column and field of the first error.
    pub fn parse(text: &str) -> Result<Self, String> {
        serde_saphyr::from_str(text).map_err(|error| error.to_string())
    }
}
