//! The configuration that a process acts on.

use std::sync::Arc;

use hyssopstair_rules::error::RuleError;
use hyssopstair_rules::rule_set::RuleSet;

/// A configuration that could not be read.
#[derive(Debug, Clone)]
pub struct RejectedConfig {
    /// Its version.
    pub version: u64,
    /// What is wrong with it.
    pub errors: Arc<[RuleError]>,
}

/// What becomes of a configuration that is offered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApplyResult {
    /// It is in force now.
    Applied,
    /// It is not newer than the one in force, or was refused before.
    Ignored,
    /// It cannot be read and is not taken.
    Rejected,
}

/// The configuration in force in one process.
#[derive(Debug, Clone, Default)]
pub struct ConfigState {
    version: u64,
    text: Arc<str>,
    rules: Arc<RuleSet>,
    rejected: Option<RejectedConfig>,
}

impl ConfigState {
    /// Returns the version, 0 before any configuration is known.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the text of the rule file.
    pub fn text(&self) -> &Arc<str> {
        &self.text
    }

    /// Returns the rules.
    pub fn rules(&self) -> &Arc<RuleSet> {
        &self.rules
    }

    /// Returns the last configuration that could not be read, unless one was
    /// taken since.
    pub fn rejected(&self) -> Option<&RejectedConfig> {
        self.rejected.as_ref()
    }

    /// Returns whether a configuration of this version would be news.
    pub fn needs_version(&self, version: u64) -> bool {
        let rejected = self.rejected.as_ref().map(|rejected| rejected.version);
        version > self.version && rejected != Some(version)
    }

    /// Takes a configuration if it is newer than the one in force and can be
    /// read.
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
