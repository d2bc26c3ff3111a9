//! The rule file and the settings files.
//!
//! Operators describe services in a rule file, one rule a line; it is kept by
//! the platform and is the same for every process. What differs from process
//! to process is in its settings file. Start with [`rule`] for the rules, and
//! [`settings`] for the settings.

pub(crate) mod builder;
pub mod carry_settings;
pub mod drain;
pub mod edit;
pub mod error;
pub mod hint;
pub mod line;
pub mod rule;
pub mod rule_set;
pub mod service_rule;
pub mod settings;
