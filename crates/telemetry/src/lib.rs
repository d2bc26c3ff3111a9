//! Logs of the daemons.
//!
//! [`logs`] writes sentences with fields, and [`limiter`] keeps a repeated
//! warning from flooding them.

pub mod limiter;
pub mod logs;
