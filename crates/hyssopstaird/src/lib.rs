//! The daemon of hyssopstair, in the role of a balancer or of a host.
//!
//! A balancer forwards datagrams of callers to hosts. A host runs beside a
//! backend server, ends the callers' QUIC connections and speaks HTTP to the
//! backend server. Both run the modules of [`control`], which keep members and
//! configuration. The decisions are in the packages `routing`, `roster` and
//! `requests`; the modules here connect them with sockets.
//!
//! Read [`ops::run`] next: it starts the parts of each role.

pub mod admin;
pub mod balancer;
pub mod clock;
pub mod commands;
pub mod control;
pub mod datagram;
pub mod error;
pub mod host;
pub mod ops;
pub mod peer;
pub mod secret;
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
