//! Formats the differences between two rule files.

use hyssopstair_rules::edit::LineEdit;
use hyssopstair_rules::edit::diff_lines;

/// Returns the differences line by line: for each edit its line number in `old`, the
/// removed lines (`-`) and the added ones (`+`). Empty if the texts are equal.
pub fn diff_text(old: &str, new: &str) -> Vec<String> {
    let old_lines: Vec<&str> = old.lines().collect();
    diff_lines(old, new)
        .iter()
        .flat_map(|edit| format_edit(edit, &old_lines))
        .collect()
}

fn format_edit(edit: &LineEdit, old_lines: &[&str]) -> Vec<String> {
    let removed = &old_lines[edit.start..edit.start + edit.removed];
    let header = format!("line {}:", edit.start + 1);
    let removed = removed.iter().map(|line| format!("- {line}"));
    let added = edit.added.iter().map(|line| format!("+ {line}"));
    std::iter::once(header)
        .chain(removed)
        .chain(added)
        .collect()
}
