//! The daemon of hyssopstair, in the role of a balancer or of a host.
//!
//! A balancer forwards datagrams of callers to hosts. A host runs beside a
//! backend server, ends the callers' QUIC connections and speaks HTTP to the
//! backend server. Both run the modules of [`control`], which keep members and
//! configuration. The decisions are in the packages `routing`, `roster` and
//! `requests`; the modules here connect them with sockets.
//!
//! A second way to run, [`carry`], forwards flows that callers and backend servers
//! end themselves.
//!
//! Read [`ops::run`] next: it starts the parts of each role.

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

/// Runs the command line and returns the exit code of the process.
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
