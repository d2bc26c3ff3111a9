//! Injects the faults of a workload at their scheduled times.

use std::fs;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;

use crate::ops::load::workload::FaultAction;
use crate::ops::load::workload::FaultPlan;
use crate::ops::load::workload::SignalKind;

/// Waits until a fault is due and injects it. `start` is the start of the load.
///
/// # Errors
///
/// Returns a message for the report if the fault could not be injected.
pub async fn inject_fault(fault: &FaultPlan, start: Instant) -> Result<(), String> {
    let due = start + Duration::from_secs_f64(fault.at);
    tokio::time::sleep_until(due.into()).await;
    match &fault.action {
        FaultAction::Post { url, body } => send_post(url, body).await,
        FaultAction::Signal { kind, pid_file } => send_signal(*kind, pid_file),
    }
}

async fn send_post(url: &str, body: &str) -> Result<(), String> {
    reqwest::Client::new()
        .post(url)
        .header("content-type", "application/json")
        .body(body.to_owned())
        .send()
        .await
        .and_then(reqwest::Response::error_for_status)
        .map(|_| ())
        .map_err(|error| error.to_string())
}

fn send_signal(kind: SignalKind, pid_file: &Path) -> Result<(), String> {
    let text = fs::read_to_string(pid_file)
        .map_err(|error| format!("failed to read {}: {error}", pid_file.display()))?;
    let pid: i32 = text
        .trim()
        .parse()
        .map_err(|_| format!("{} does not contain a process ID", pid_file.display()))?;
    // An ID of 0 or below would signal a group of processes, and 1 the init process.
    if pid <= 1 {
        return Err(format!(
            "{} contains the process ID {pid}, which must be above 1",
            pid_file.display()
        ));
    }
    kill(Pid::from_raw(pid), unix_signal(kind)).map_err(|error| error.to_string())
}

fn unix_signal(kind: SignalKind) -> Signal {
    match kind {
        SignalKind::Kill => Signal::SIGKILL,
        SignalKind::Terminate => Signal::SIGTERM,
        SignalKind::Stop => Signal::SIGSTOP,
        SignalKind::Continue => Signal::SIGCONT,
    }
}
