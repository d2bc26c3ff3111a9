//! The command line of the daemon.

pub mod run;
