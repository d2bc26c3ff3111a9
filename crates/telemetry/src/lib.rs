//! Logs, metrics and traces of the daemons.
//!
//! [`logs`] writes sentences with fields, and [`limiter`] keeps a repeated
//! warning from flooding them. [`counts`] holds the counters that the parts of
//! a daemon add to; [`metrics`] shows them to operators. [`traces`] exports
//! spans, [`requests`] makes those of a request, [`callers`] and [`relays`] those
//! of the balancers that a request's packets passed through.

pub mod callers;
pub mod counts;
pub mod limiter;
pub mod logs;
pub mod metrics;
pub mod process;
pub mod relays;
pub mod requests;
pub mod traces;
