//! Logs, metrics and traces of the daemons.
//!
//! [`logs`] configures structured logs, and [`limiter`] limits the rate of repeated
//! warnings. [`counts`] holds the counters that the parts of a daemon update, and
//! [`metrics`] exports them together with the resource usage from [`process`].
//! [`traces`] exports spans to a collector. [`requests`] creates the spans of a
//! request at a host; [`callers`] and [`relays`] create those of the balancers that
//! forward its response packets.

pub mod callers;
pub mod counts;
pub mod limiter;
pub mod logs;
pub mod metrics;
pub mod process;
pub mod relays;
pub mod requests;
pub mod traces;
