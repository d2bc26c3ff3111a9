//! Differences between two rule files, line by line, and their merge.
//!
//! The order of rules has no meaning, and each line is a rule of its own. So two
//! edits clash only where both touch the same line of the text that they
//! started from; lines that both add at one place are all kept.

use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use similar::Algorithm;
use similar::DiffOp;

/// Replaces some lines of a text by others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LineEdit {
    /// Lines of the old text before the edit.
    pub start: usize,
    /// Lines that are removed.
    pub removed: usize,
    /// Lines that are put in their place.
    pub added: Vec<String>,
}

/// A line that two edits change differently.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LineConflict {
    /// The number of the line in the text that both started from, from 1.
    pub line: usize,
    /// The line in that text.
    pub base: String,
    /// What the first edit makes of it; nothing when it is removed.
    pub ours: Vec<String>,
    /// What the second edit makes of it.
    pub theirs: Vec<String>,
}

/// Returns the edits that make `new` of `old`.
pub fn diff_lines(old: &str, new: &str) -> Vec<LineEdit> {
    diff_lines_until(old, new, None)
}

/// Returns the edits that make `new` of `old`. They are right but may be longer
/// than needed when the deadline passes before the shortest are found.
pub fn diff_lines_until(old: &str, new: &str, deadline: Option<Instant>) -> Vec<LineEdit> {
    let old: Vec<&str> = old.lines().collect();
    let new: Vec<&str> = new.lines().collect();
    // Rules are mostly unique lines, which this algorithm finds first.
    similar::capture_diff_slices_deadline(Algorithm::Patience, &old, &new, deadline)
        .iter()
        .filter_map(|operation| line_edit(operation, &new))
        .collect()
}

fn line_edit(operation: &DiffOp, new: &[&str]) -> Option<LineEdit> {
    if let DiffOp::Equal { .. } = operation {
        return None;
    }
    let old_range = operation.old_range();
    Some(LineEdit {
        start: old_range.start,
        removed: old_range.len(),
        added: new[operation.new_range()]
            .iter()
            .map(|line| (*line).to_owned())
            .collect(),
    })
}

/// Carries out edits, which are in order; returns nothing when they do not fit
/// the text.
pub fn apply_edits(old: &str, edits: &[LineEdit]) -> Option<String> {
    let old: Vec<&str> = old.lines().collect();
    let mut new: Vec<&str> = Vec::with_capacity(old.len());
    let mut next = 0;
    for edit in edits {
        new.extend(old.get(next..edit.start)?);
        new.extend(edit.added.iter().map(String::as_str));
        next = edit.start.checked_add(edit.removed)?;
    }
    new.extend(old.get(next..)?);
    Some(join_lines(&new))
}

/// Merges two texts that were both made of `base`.
///
/// # Errors
///
/// Returns the lines that both changed differently.
pub fn merge_lines(base: &str, ours: &str, theirs: &str) -> Result<String, Vec<LineConflict>> {
    let base_lines: Vec<&str> = base.lines().collect();
    let ours = LineChanges::between(base, ours);
    let theirs = LineChanges::between(base, theirs);
    let mut merged: Vec<&str> = Vec::new();
    let mut conflicts = Vec::new();
    for (index, line) in base_lines.iter().enumerate() {
        merge_inserts(&mut merged, &theirs.inserted[index], &ours.inserted[index]);
        match (&ours.replaced[index], &theirs.replaced[index]) {
            (None, None) => merged.push(line),
            (Some(lines), None) | (None, Some(lines)) => merged.extend(as_strs(lines)),
            (Some(ours), Some(theirs)) if ours == theirs => merged.extend(as_strs(ours)),
            (Some(ours), Some(theirs)) => conflicts.push(LineConflict {
                line: index + 1,
                base: (*line).to_owned(),
                ours: ours.clone(),
                theirs: theirs.clone(),
            }),
        }
    }
    let end = base_lines.len();
    merge_inserts(&mut merged, &theirs.inserted[end], &ours.inserted[end]);
    if conflicts.is_empty() {
        return Ok(join_lines(&merged));
    }
    Err(conflicts)
}

/// What an edit does to each line of the old text.
#[derive(Debug)]
struct LineChanges {
    /// For each line, what stands in its place.
    replaced: Vec<Option<Vec<String>>>,
    /// For each line and the end, the lines that are added before it.
    inserted: Vec<Vec<String>>,
}

impl LineChanges {
    fn between(old: &str, new: &str) -> Self {
        let count = old.lines().count();
        let mut changes = Self {
            replaced: vec![None; count],
            inserted: vec![Vec::new(); count + 1],
        };
        for edit in diff_lines(old, new) {
            changes.note(edit);
        }
        changes
    }

    fn note(&mut self, edit: LineEdit) {
        if edit.removed == 0 {
            self.inserted[edit.start] = edit.added;
            return;
        }
        let mut added = edit.added.into_iter();
        for line in &mut self.replaced[edit.start..edit.start + edit.removed] {
            *line = Some(added.next().into_iter().collect());
        }
        // More new lines than old ones: the rest stands behind the last.
        if let Some(Some(last)) = self.replaced.get_mut(edit.start + edit.removed - 1) {
            last.extend(added);
        }
    }
}

fn merge_inserts<'a>(merged: &mut Vec<&'a str>, theirs: &'a [String], ours: &'a [String]) {
    merged.extend(as_strs(theirs));
    // A line that both add is one rule.
    merged.extend(as_strs(ours).filter(|line| theirs.iter().all(|other| other != line)));
}

fn as_strs(lines: &[String]) -> impl Iterator<Item = &str> {
    lines.iter().map(String::as_str)
}

fn join_lines(lines: &[&str]) -> String {
    let mut text = lines.join("\n");
    // One empty line is a text too.
    if !lines.is_empty() {
        text.push('\n');
    }
    text
}
