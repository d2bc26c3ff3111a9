//! The settings of one daemon, in YAML.
//!
//! A settings file gives a process what differs from process to process: its
//! role, addresses and availability zone, and where to find the platform and
//! the secrets. See `docs/reference/settings.md`.

use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::path::PathBuf;

use serde::Deserialize;

/// The settings of a daemon.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonSettings {
    /// What the daemon does.
    pub role: RoleSettings,
    /// Address for other processes of the system: packets of flows and control
    /// messages over UDP, and requests of peers over TCP.
    pub inner: SocketAddrV4,
    /// Address for operators: status, metrics and readiness, over HTTP.
    pub admin: SocketAddrV4,
    /// The availability zone.
    pub zone: String,
    /// URLs of the platform's key-value service.
    pub platform: Vec<String>,
    /// Inner addresses of members that are asked first, for a start while the
    /// platform does not answer.
    #[serde(default)]
    pub contacts: Vec<SocketAddrV4>,
    /// Where the secret of the fleet is.
    pub secret: SecretSource,
    /// URL of a collector of traces, for OTLP over HTTP.
    #[serde(default)]
    pub traces: Option<String>,
}

/// What a daemon does.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum RoleSettings {
    /// Forwards packets between callers and hosts.
    Balancer(BalancerSettings),
    /// Runs beside a backend server.
    Host(HostSettings),
}

/// Settings of a balancer.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BalancerSettings {
    /// Address where the network fabric hands over packets.
    pub entry: SocketAddrV4,
    /// Address of the network fabric.
    pub fabric: SocketAddr,
}

/// Settings of a local process beside a backend server.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostSettings {
    /// Name of the service.
    pub service: String,
    /// Address of the backend server.
    pub backend: SocketAddrV4,
    /// Certificate chain of the service, in PEM.
    pub certificate: PathBuf,
    /// Private key of the certificate, in PEM.
    pub private_key: PathBuf,
}

/// Where a secret is kept.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum SecretSource {
    /// A file that holds 32 hexadecimal digits.
    File(PathBuf),
    /// An environment variable that holds 32 hexadecimal digits.
    Environment(String),
}

impl DaemonSettings {
    /// Reads settings.
    ///
    /// # Errors
    ///
    /// Returns a text that names line, column and field of the first mistake.
    pub fn parse(text: &str) -> Result<Self, String> {
        serde_saphyr::from_str(text).map_err(|error| error.to_string())
    }
}
