//! The configuration that a process acts on.

use std::sync::Arc;

use hyssopstair_rules::error::RuleError;
use hyssopstair_rules::rule_set::RuleSet;

/// A configuration that could not be read.
#[derive(Debug, Clone)]
pub struct RefusedConfig {
    /// Its version.
    pub version: u64,
    /// What is wrong with it.
    pub errors: Arc<[RuleError]>,
}

/// What becomes of a configuration that is offered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferResult {
    /// It is in force now.
    Taken,
    /// It is not newer than the one in force, or was refused before.
    Known,
    /// It cannot be read and is not taken.
    Refused,
}

/// The configuration in force in one process.
#[derive(Debug, Clone, Default)]
pub struct ConfigState {
    version: u64,
    text: Arc<str>,
    rules: Arc<RuleSet>,
    refused: Option<RefusedConfig>,
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
    pub fn refused(&self) -> Option<&RefusedConfig> {
        self.refused.as_ref()
    }

    /// Returns whether a configuration of this version would be news.
    pub fn wants(&self, version: u64) -> bool {
        let refused = self.refused.as_ref().map(|refused| refused.version);
        version > self.version && refused != Some(version)
    }

    /// Takes a configuration if it is newer than the one in force and can be
    /// read.
    pub fn offer(&mut self, version: u64, text: &str) -> OfferResult {
        if !self.wants(version) {
            return OfferResult::Known;
        }
        match RuleSet::parse(text) {
            Ok(rules) => {
                self.version = version;
                self.text = text.into();
                self.rules = Arc::new(rules);
                self.refused = None;
                OfferResult::Taken
            }
            Err(errors) => {
                self.refused = Some(RefusedConfig {
                    version,
                    errors: errors.into(),
                });
                OfferResult::Refused
            }
        }
    }
}
