//! Parsers for the rule file and the settings files.
//!
//! Operators describe the services in a rule file, with one rule per line. The
//! platform stores the file, and all processes use the same version of it. Values
//! that differ between processes are in the settings file of each process. Start
//! with [`rule`] for the rules and with [`settings`] for the settings.

pub(crate) mod builder;
pub mod carry_settings;
pub mod drain;
pub mod edit;
pub mod error;
pub mod hint;
pub mod line;
pub mod review;
pub mod rule;
pub mod rule_set;
pub mod service_rule;
pub mod settings;
