//! How a newer configuration goes from one process to another.
//!
//! A process keeps the line edits of its latest versions, bounded in number and
//! bytes. A process that lags by no more is sent these; any other is sent the
//! whole text. The receiver makes the edits to its own text and takes the result
//! only when the checksum of each version agrees, else it asks for the whole
//! text. The checksum guards against texts that differ, not against attackers.

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

/// Steps that a process keeps.
pub const MAX_KEPT_STEPS: usize = 64;

/// Bytes of edits that a process keeps.
pub const MAX_EDIT_BYTES: usize = 64 * 1024;

/// Returns the checksum of a version and its text.
pub fn text_checksum(version: u64, text: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write_u64(version);
    hasher.write(text.as_bytes());
    hasher.finish()
}

/// A version and its text.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionedText<'a> {
    /// The version.
    pub version: u64,
    /// The text of the rule file.
    pub text: &'a str,
}

/// Returns the step between two texts, or nothing when line edits cannot make
/// the later of the earlier, or would be longer than what is kept. The search
/// for short edits ends at the deadline.
pub fn build_step(
    old: VersionedText<'_>,
    new: VersionedText<'_>,
    deadline: Option<Instant>,
) -> Option<ConfigurationStep> {
    let edits = diff_lines_until(old.text, new.text, deadline);
    let encoded = postcard::to_stdvec(&edits).ok()?;
    if encoded.len() > MAX_EDIT_BYTES {
        return None;
    }
    // Line ends other than "\n" are lost.
    if apply_edits(old.text, &edits)? != new.text {
        return None;
    }
    Some(ConfigurationStep {
        from: old.version,
        to: new.version,
        checksum: text_checksum(new.version, new.text),
        edits: encoded,
    })
}

/// The steps that led to the version in force, and its packed text.
#[derive(Debug, Clone, Default)]
pub struct UpdateLog {
    steps: VecDeque<ConfigurationStep>,
    bytes: usize,
    packed: Option<(u64, Arc<[u8]>)>,
}

impl UpdateLog {
    /// Keeps a step; the oldest are dropped when there are too many.
    pub fn add_step(&mut self, step: ConfigurationStep) {
        self.bytes += step.edits.len();
        self.steps.push_back(step);
        while self.steps.len() > MAX_KEPT_STEPS || self.bytes > MAX_EDIT_BYTES {
            let Some(oldest) = self.steps.pop_front() else {
                return;
            };
            self.bytes -= oldest.edits.len();
        }
    }

    /// Returns the steps from one version to a later one, if all are kept.
    pub fn find_steps(&self, from: u64, to: u64) -> Option<Vec<ConfigurationStep>> {
        let mut found = Vec::new();
        let mut version = from;
        while version < to {
            let step = self
                .steps
                .iter()
                .rev()
                .find(|step| step.from == version && step.to <= to)?;
            version = step.to;
            found.push(step.clone());
        }
        Some(found)
    }

    /// Returns the bytes of edits that are kept.
    pub fn edit_bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the packed text of a version, if it was kept.
    pub fn find_deflated_text(&self, version: u64) -> Option<Arc<[u8]>> {
        let (kept, packed) = self.packed.as_ref()?;
        (*kept == version).then(|| Arc::clone(packed))
    }

    /// Keeps the packed text of a version, unless that of a later one is kept.
    pub fn store_deflated_text(&mut self, version: u64, packed: Arc<[u8]>) {
        let kept = self.packed.as_ref().map_or(0, |(kept, _)| *kept);
        if version >= kept {
            self.packed = Some((version, packed));
        }
    }
}

/// What a peer's answer to a question for the configuration holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerUpdate {
    /// Nothing that is newer.
    Nothing,
    /// Edits that do not fit the text here; the whole text is needed.
    Mismatch,
    /// A newer configuration.
    Newer {
        /// Its version.
        version: u64,
        /// Its text.
        text: String,
        /// The steps that led to it; none when the whole text was sent.
        steps: Vec<ConfigurationStep>,
    },
}

/// Reads a peer's answer at a process that acts on `old`.
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
        PeerAnswer::ConfigurationSteps(steps) => read_steps(old, steps),
        _ => PeerUpdate::Nothing,
    }
}

fn read_steps(old: VersionedText<'_>, steps: Vec<ConfigurationStep>) -> PeerUpdate {
    let Some(last) = steps.last() else {
        return PeerUpdate::Nothing;
    };
    let version = last.to;
    match make_steps(old, &steps) {
        Some(text) => PeerUpdate::Newer {
            version,
            text,
            steps,
        },
        None => PeerUpdate::Mismatch,
    }
}

fn make_steps(old: VersionedText<'_>, steps: &[ConfigurationStep]) -> Option<String> {
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
