//! The hyssopstair daemon, which runs as a balancer or as a host.
//!
//! A balancer forwards datagrams from callers to hosts. A host runs beside a
//! backend server, terminates the callers' QUIC connections and forwards their
//! requests to the backend server over HTTP. Both roles run the tasks of
//! [`control`], which maintain the roster and the configuration. The crates
//! `routing`, `roster` and `requests` make the decisions; the modules of this crate
//! connect them to sockets and clocks.
//!
//! The second mode, [`carry`], forwards flows without terminating them; callers
//! and backend servers are their endpoints.
//!
//! Read [`ops::run`] next: it starts the components of each role.

#[cfg(feature = "terminate")]
pub mod admin;
#[cfg(feature = "terminate")]
pub mod balancer;
#[cfg(feature = "carry")]
pub mod carry;
pub mod clock;
pub mod commands;
#[cfg(feature = "terminate")]
pub mod control;
#[cfg(feature = "terminate")]
pub mod datagram;
pub mod error;
#[cfg(feature = "terminate")]
pub mod host;
pub mod ops;
#[cfg(feature = "terminate")]
pub mod peer;
#[cfg(feature = "terminate")]
pub mod secret;
#[cfg(feature = "terminate")]
pub mod telemetry;

use std::process::ExitCode;

/// Parses the command line, runs the daemon and returns the exit code of the process.
/// An error is printed to standard error.
pub fn main() -> ExitCode {
    let args: commands::run::RunArgs = argh::from_env();
    match commands::run::exec(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("error: {report:#}");
            ExitCode::FAILURE
        }
    }
}
