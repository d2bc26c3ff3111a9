//! Reserves a network for a fleet, starts its programs and sends them HTTP requests.

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

/// Port that a fleet holds open to reserve its network.
const RESERVATION_PORT: u16 = 9;

/// Reserves a loopback network that no other fleet on the machine uses. Returns the second
/// and third octet of its addresses, and the listener that holds the reservation.
///
/// # Errors
///
/// Returns an error if all networks are in use.
pub fn reserve_network() -> Result<([u8; 2], TcpListener), FleetError> {
    const MIN_OCTET: u32 = 16;
    const OCTET_COUNT: u32 = 200;
    let process_id = std::process::id();
    for attempt in 0..OCTET_COUNT * OCTET_COUNT {
        let number = process_id.wrapping_mul(31).wrapping_add(attempt);
        let network = [
            (MIN_OCTET + (number / OCTET_COUNT) % OCTET_COUNT) as u8,
            (MIN_OCTET + number % OCTET_COUNT) as u8,
        ];
        let ip = Ipv4Addr::new(127, network[0], network[1], 254);
        if let Ok(reservation) = TcpListener::bind((ip, RESERVATION_PORT)) {
            return Ok((network, reservation));
        }
    }
    Err(FleetError::Timeout("a free network".to_owned()))
}

/// Returns the path of a program of the workspace. It must have been built with the same
/// profile and into the same directory as the running test.
pub fn program_path(name: &str) -> PathBuf {
    let test_path = std::env::current_exe().unwrap_or_default();
    let deps_directory = test_path.parent().unwrap_or(Path::new("."));
    deps_directory.parent().unwrap_or(Path::new(".")).join(name)
}

/// Starts a program and appends its output to the file `log_path`.
///
/// # Errors
///
/// Returns an error if the file cannot be opened or the program cannot be started.
pub fn spawn_program(
    program: &Path,
    arguments: &[String],
    log_path: &Path,
) -> Result<Child, FleetError> {
    let log = fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(log_path)?;
    let child = Command::new(program)
        .args(arguments)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()?;
    Ok(child)
}

/// Sends a GET request and returns the JSON value of the response, or `None` if the request
/// fails or takes longer than a second.
pub async fn fetch_json<T: serde::de::DeserializeOwned>(url: &str) -> Option<T> {
    const TIMEOUT: Duration = Duration::from_secs(1);
    let client = reqwest::Client::builder().timeout(TIMEOUT).build().ok()?;
    client.get(url).send().await.ok()?.json().await.ok()
}
