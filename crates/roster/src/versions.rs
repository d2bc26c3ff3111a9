//! The configuration that a process acts on.

use std::sync::Arc;

use hyssopstair_rules::rule_set::RuleSet;

/// The configuration in force in one process.
#[derive(Debug, Clone, Default)]
pub struct ConfigState {
    version: u64,
    text: Arc<str>,
    rules: Arc<RuleSet>,
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

    /// Takes a configuration if it is newer than the one in force, and returns
    /// whether it did. A text that cannot be read is never taken.
    pub fn offer(&mut self, version: u64, text: &str) -> bool {
        if version <= self.version {
            return false;
        }
        let Ok(rules) = RuleSet::parse(text) else {
            return false;
        };
        self.version = version;
        self.text = text.into();
        self.rules = Arc::new(rules);
        true
    }
}
