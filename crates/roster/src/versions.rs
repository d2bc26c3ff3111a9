//! The configuration in force in a process.
//!
//! A process applies only versions newer than the one in force, so that its
//! configuration never goes back.

use std::sync::Arc;

use hyssopstair_rules::error::RuleError;
use hyssopstair_rules::rule_set::RuleSet;

/// A configuration that failed to parse.
#[derive(Debug, Clone)]
pub struct RejectedConfig {
    /// The version of the configuration.
    pub version: u64,
    /// The errors in its text.
    pub errors: Arc<[RuleError]>,
}

/// The outcome of [`ConfigState::apply`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApplyResult {
    /// The configuration is in force now.
    Applied,
    /// The configuration is not newer than the one in force, or is the last one
    /// that was rejected.
    Ignored,
    /// The configuration failed to parse and is not applied.
    Rejected,
}

/// The configuration in force, and the last one that was rejected.
#[derive(Debug, Clone, Default)]
pub struct ConfigState {
    version: u64,
    text: Arc<str>,
    rules: Arc<RuleSet>,
    rejected: Option<RejectedConfig>,
}

impl ConfigState {
    /// Returns the version in force, or 0 before any configuration is known.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the text of the rule file in force.
    pub fn text(&self) -> &Arc<str> {
        &self.text
    }

    /// Returns the parsed rules in force.
    pub fn rules(&self) -> &Arc<RuleSet> {
        &self.rules
    }

    /// Returns the last configuration that failed to parse, or `None` if one was
    /// applied since.
    pub fn rejected(&self) -> Option<&RejectedConfig> {
        self.rejected.as_ref()
    }

    /// Returns whether a configuration of this version is newer than the one in
    /// force and is not the last one that was rejected.
    pub fn needs_version(&self, version: u64) -> bool {
        let rejected = self.rejected.as_ref().map(|rejected| rejected.version);
        version > self.version && rejected != Some(version)
    }

    /// Parses a configuration and puts it in force if its version is needed.
    /// Returns whether it was applied, ignored or rejected.
    pub fn apply(&mut self, version: u64, text: &str) -> ApplyResult {
        if !self.needs_version(version) {
            return ApplyResult::Ignored;
        }
        match RuleSet::parse(text) {
            Ok(rules) => {
                self.version = version;
                self.text = text.into();
                self.rules = Arc::new(rules);
                self.rejected = None;
                ApplyResult::Applied
            }
            Err(errors) => {
                self.rejected = Some(RejectedConfig {
                    version,
                    errors: errors.into(),
                });
                ApplyResult::Rejected
            }
        }
    }
}
