//! Logs, metrics and traces of the daemons.

pub mod logs;
