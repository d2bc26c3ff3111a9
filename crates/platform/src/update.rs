//! Sends newer configurations from one process to another.
//!
//! A step consists of the line edits that turn the text of one version into that of the
//! next. A process stores its latest steps, limited in number and size. A peer whose
//! version is among these receives the steps that follow it; any other peer receives the
//! complete text. The receiver applies the steps to its own text and checks the checksum
//! of each version. If one does not match, it requests the complete text instead. The
//! checksum detects that the texts of the two processes differ; it gives no protection
//! against attackers.

use std::collections::VecDeque;
use std::hash::Hasher;
use std::sync::Arc;
use std::time::Instant;

use hyssopstair_rules::edit::LineEdit;
use hyssopstair_rules::edit::apply_edits;
use hyssopstair_rules::edit::diff_lines_until;
use hyssopstair_wire::peer::ConfigurationStep;
use hyssopstair_wire::peer::PeerAnswer;
use siphasher::sip::SipHasher13;

use crate::record::inflate_text;

/// Maximum number of steps that a process stores.
pub const MAX_STORED_STEPS: usize = 64;

/// Maximum total size of the encoded edits of all stored steps, in bytes. A step with
/// larger edits is not built.
pub const MAX_EDIT_BYTES: usize = 64 * 1024;

/// Returns the checksum over the number and the text of a version.
pub fn text_checksum(version: u64, text: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write_u64(version);
    hasher.write(text.as_bytes());
    hasher.finish()
}

/// The number and the text of a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionedText<'a> {
    /// The version number.
    pub version: u64,
    /// The text of the rule file.
    pub text: &'a str,
}

/// Returns the step from one version to another, or `None` if line edits cannot
/// reproduce the new text or their encoding exceeds [`MAX_EDIT_BYTES`]. The search for
/// short edits ends at the deadline.
pub fn build_step(
    old: VersionedText<'_>,
    new: VersionedText<'_>,
    deadline: Option<Instant>,
) -> Option<ConfigurationStep> {
    let edits = diff_lines_until(old.text, new.text, deadline);
    let encoded_edits = postcard::to_stdvec(&edits).ok()?;
    if encoded_edits.len() > MAX_EDIT_BYTES {
        return None;
    }
    // Line edits do not preserve line breaks other than "\n".
    if apply_edits(old.text, &edits)? != new.text {
        return None;
    }
    Some(ConfigurationStep {
        from: old.version,
        to: new.version,
        checksum: text_checksum(new.version, new.text),
        edits: encoded_edits,
    })
}

/// The steps that led to the current version, and its compressed text.
#[derive(Debug, Clone, Default)]
pub struct UpdateLog {
    steps: VecDeque<ConfigurationStep>,
    edit_bytes: usize,
    /// The latest version that was compressed, and its text.
    deflated_text: Option<(u64, Arc<[u8]>)>,
}

impl UpdateLog {
    /// Adds a step, and drops the oldest ones while the number or the size of the steps
    /// exceeds its limit.
    pub fn add_step(&mut self, step: ConfigurationStep) {
        self.edit_bytes += step.edits.len();
        self.steps.push_back(step);
        while self.steps.len() > MAX_STORED_STEPS || self.edit_bytes > MAX_EDIT_BYTES {
            let Some(oldest_step) = self.steps.pop_front() else {
                return;
            };
            self.edit_bytes -= oldest_step.edits.len();
        }
    }

    /// Returns the steps from one version to a later one, in order, or `None` if one of
    /// them is not stored.
    pub fn find_steps(&self, from: u64, to: u64) -> Option<Vec<ConfigurationStep>> {
        let mut path = Vec::new();
        let mut version = from;
        while version < to {
            let step = self
                .steps
                .iter()
                .rev()
                .find(|step| step.from == version && step.to <= to)?;
            version = step.to;
            path.push(step.clone());
        }
        Some(path)
    }

    /// Returns the total size of the encoded edits of the stored steps, in bytes.
    pub fn edit_bytes(&self) -> usize {
        self.edit_bytes
    }

    /// Returns the compressed text of a version, if it is stored.
    pub fn find_deflated_text(&self, version: u64) -> Option<Arc<[u8]>> {
        let (stored_version, deflated_text) = self.deflated_text.as_ref()?;
        (*stored_version == version).then(|| Arc::clone(deflated_text))
    }

    /// Stores the compressed text of a version, unless that of a later version is stored
    /// already.
    pub fn store_deflated_text(&mut self, version: u64, deflated_text: Arc<[u8]>) {
        let stored_version = self
            .deflated_text
            .as_ref()
            .map_or(0, |(stored_version, _)| *stored_version);
        if version >= stored_version {
            self.deflated_text = Some((version, deflated_text));
        }
    }
}

/// The result of a request for a newer configuration to a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerUpdate {
    /// The peer sent no newer configuration.
    Nothing,
    /// The peer sent steps that do not apply to the text of this process. The complete
    /// text must be requested.
    Mismatch,
    /// The peer sent a newer configuration.
    Newer {
        /// The version of the configuration.
        version: u64,
        /// The text of the rule file.
        text: String,
        /// The steps that led to it; empty if the peer sent the complete text.
        steps: Vec<ConfigurationStep>,
    },
}

/// Returns the configuration that results from applying the answer of a peer to `old`,
/// the current configuration of this process.
pub fn apply_answer(old: VersionedText<'_>, answer: PeerAnswer) -> PeerUpdate {
    match answer {
        PeerAnswer::Configuration {
            version,
            deflated_text,
        } if version > old.version => match inflate_text(&deflated_text) {
            Ok(text) => PeerUpdate::Newer {
                version,
                text,
                steps: Vec::new(),
            },
            Err(_) => PeerUpdate::Nothing,
        },
        PeerAnswer::ConfigurationSteps(steps) => apply_steps(old, steps),
        _ => PeerUpdate::Nothing,
    }
}

/// Applies the steps that a peer sent.
fn apply_steps(old: VersionedText<'_>, steps: Vec<ConfigurationStep>) -> PeerUpdate {
    let Some(last_step) = steps.last() else {
        return PeerUpdate::Nothing;
    };
    let version = last_step.to;
    match build_text(old, &steps) {
        Some(text) => PeerUpdate::Newer {
            version,
            text,
            steps,
        },
        None => PeerUpdate::Mismatch,
    }
}

/// Applies steps to `old` and returns the resulting text, or `None` if a step does not
/// apply or its checksum does not match.
fn build_text(old: VersionedText<'_>, steps: &[ConfigurationStep]) -> Option<String> {
    let mut version = old.version;
    let mut text = old.text.to_owned();
    for step in steps {
        if step.from != version || step.to <= version {
            return None;
        }
        let edits: Vec<LineEdit> = postcard::from_bytes(&step.edits).ok()?;
        text = apply_edits(&text, &edits)?;
        version = step.to;
        if text_checksum(version, &text) != step.checksum {
            return None;
        }
    }
    Some(text)
}
