//! Line differences between two rule files, and three-way merges.
//!
//! Each line is a rule of its own, and the order of the rules has no meaning. Two
//! edits therefore conflict only if both change the same line of their common base.
//! If both add lines at the same position, all of these lines are kept, and equal ones
//! appear once.

use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use similar::Algorithm;
use similar::DiffOp;

/// Replaces consecutive lines of a text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LineEdit {
    /// Index of the first replaced line in the old text, starting at 0.
    pub start: usize,
    /// Number of lines that are removed.
    pub removed: usize,
    /// Lines that are added in their place.
    pub added: Vec<String>,
}

/// A line that two edits change differently.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LineConflict {
    /// The line number in the common base, starting at 1.
    pub line: usize,
    /// The line in the common base.
    pub base: String,
    /// Its replacement in the first edit; empty if the line is removed.
    pub ours: Vec<String>,
    /// Its replacement in the second edit; empty if the line is removed.
    pub theirs: Vec<String>,
}

/// Returns the edits that turn `old` into `new`.
pub fn diff_lines(old: &str, new: &str) -> Vec<LineEdit> {
    diff_lines_until(old, new, None)
}

/// Returns the edits that turn `old` into `new`. The search for the shortest edits ends
/// at the deadline; the edits are correct in any case, but may then be longer than
/// necessary.
pub fn diff_lines_until(old: &str, new: &str, deadline: Option<Instant>) -> Vec<LineEdit> {
    let old: Vec<&str> = old.lines().collect();
    let new: Vec<&str> = new.lines().collect();
    // The patience algorithm matches unique lines first, and most rules are unique.
    similar::capture_diff_slices_deadline(Algorithm::Patience, &old, &new, deadline)
        .iter()
        .filter_map(|operation| to_line_edit(operation, &new))
        .collect()
}

fn to_line_edit(operation: &DiffOp, new: &[&str]) -> Option<LineEdit> {
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

/// Applies edits, sorted by position, and returns the new text. Returns `None` if
/// an edit lies outside the text or overlaps the previous one.
pub fn apply_edits(old: &str, edits: &[LineEdit]) -> Option<String> {
    let old: Vec<&str> = old.lines().collect();
    let mut new: Vec<&str> = Vec::with_capacity(old.len());
    let mut next_line = 0;
    for edit in edits {
        new.extend(old.get(next_line..edit.start)?);
        new.extend(edit.added.iter().map(String::as_str));
        next_line = edit.start.checked_add(edit.removed)?;
    }
    new.extend(old.get(next_line..)?);
    Some(join_lines(&new))
}

/// Merges two texts that were both edited from `base`. Lines that both add at the
/// same position appear once if they are equal; otherwise those of `theirs` come
/// first.
///
/// # Errors
///
/// Returns the lines of `base` that both texts change differently.
pub fn merge_lines(base: &str, ours: &str, theirs: &str) -> Result<String, Vec<LineConflict>> {
    let base_lines: Vec<&str> = base.lines().collect();
    let ours = LineChanges::between(base, ours);
    let theirs = LineChanges::between(base, theirs);
    let mut merged: Vec<&str> = Vec::new();
    let mut conflicts = Vec::new();
    for (index, line) in base_lines.iter().enumerate() {
        merge_insertions(&mut merged, &theirs.inserted[index], &ours.inserted[index]);
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
    merge_insertions(&mut merged, &theirs.inserted[end], &ours.inserted[end]);
    if conflicts.is_empty() {
        return Ok(join_lines(&merged));
    }
    Err(conflicts)
}

/// The changes of an edit, indexed by the lines of the old text.
#[derive(Debug)]
struct LineChanges {
    /// The replacement of each line; `None` if the line is unchanged.
    replaced: Vec<Option<Vec<String>>>,
    /// The lines that are inserted before each line; the last item has those that
    /// are appended to the text.
    inserted: Vec<Vec<String>>,
}

impl LineChanges {
    fn between(old: &str, new: &str) -> Self {
        let line_count = old.lines().count();
        let mut changes = Self {
            replaced: vec![None; line_count],
            inserted: vec![Vec::new(); line_count + 1],
        };
        for edit in diff_lines(old, new) {
            changes.add_edit(edit);
        }
        changes
    }

    fn add_edit(&mut self, edit: LineEdit) {
        if edit.removed == 0 {
            self.inserted[edit.start] = edit.added;
            return;
        }
        let mut added = edit.added.into_iter();
        for line in &mut self.replaced[edit.start..edit.start + edit.removed] {
            *line = Some(added.next().into_iter().collect());
        }
        // If more lines are added than removed, the last removed line is replaced by
        // all remaining ones.
        if let Some(Some(last)) = self.replaced.get_mut(edit.start + edit.removed - 1) {
            last.extend(added);
        }
    }
}

fn merge_insertions<'a>(merged: &mut Vec<&'a str>, theirs: &'a [String], ours: &'a [String]) {
    merged.extend(as_strs(theirs));
    // A line that both edits insert is the same rule, so it is added only once.
    merged.extend(as_strs(ours).filter(|line| theirs.iter().all(|other| other != line)));
}

fn as_strs(lines: &[String]) -> impl Iterator<Item = &str> {
    lines.iter().map(String::as_str)
}

fn join_lines(lines: &[&str]) -> String {
    let mut text = lines.join("\n");
    // A text of one empty line is "\n", which differs from an empty text.
    if !lines.is_empty() {
        text.push('\n');
    }
    text
}
