//! Starts the programs of a fleet on a network of its own.

use std::fs;
use std::net::Ipv4Addr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use crate::fleet::error::FleetError;

/// Port that shows that a network is taken by a fleet.
const GUARD_PORT: u16 = 9;

/// Takes a loopback network that no other fleet on the machine uses.
///
/// # Errors
///
/// Returns an error when all are taken.
pub fn take_network() -> Result<([u8; 2], TcpListener), FleetError> {
    const FIRST: u32 = 16;
    const COUNT: u32 = 200;
    let start = std::process::id();
    for step in 0..COUNT * COUNT {
        let number = start.wrapping_mul(31).wrapping_add(step);
        let network = [
            (FIRST + (number / COUNT) % COUNT) as u8,
            (FIRST + number % COUNT) as u8,
        ];
        let ip = Ipv4Addr::new(127, network[0], network[1], 254);
        if let Ok(guard) = TcpListener::bind((ip, GUARD_PORT)) {
            return Ok((network, guard));
        }
    }
    Err(FleetError::Timeout("a free network".to_owned()))
}

/// Returns the path of a program that the workspace built, beside the test
/// that runs.
pub fn program(name: &str) -> PathBuf {
    let test = std::env::current_exe().unwrap_or_default();
    let deps = test.parent().unwrap_or(Path::new("."));
    deps.parent().unwrap_or(Path::new(".")).join(name)
}

/// Starts a program whose output goes to the end of `log`.
///
/// # Errors
///
/// Returns an error when it cannot be started.
pub fn spawn(program: &Path, arguments: &[String], log: &Path) -> Result<Child, FleetError> {
    let log = fs::OpenOptions::new().create(true).append(true).open(log)?;
    let child = Command::new(program)
        .args(arguments)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()?;
    Ok(child)
}

/// Asks for JSON over HTTP; nothing when there is no such answer.
pub async fn fetch<T: serde::de::DeserializeOwned>(url: &str) -> Option<T> {
    const LIMIT: Duration = Duration::from_secs(1);
    let client = reqwest::Client::builder().timeout(LIMIT).build().ok()?;
    client.get(url).send().await.ok()?.json().await.ok()
}
