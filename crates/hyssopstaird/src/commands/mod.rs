//! Command line parsing of the daemon.

pub mod run;
