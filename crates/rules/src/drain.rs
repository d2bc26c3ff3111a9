//! Adds drain rules to the text of a rule file, and removes them.

use std::net::SocketAddrV4;

use crate::line::RuleLine;
use crate::rule::Rule;

/// Returns the text with a drain rule for `host`, added at the end unless there is
/// one already. The comment of the added rule is `asked_by`.
pub fn add_drain(text: &str, host: SocketAddrV4, asked_by: &str) -> String {
    let mut new_text = normalize_line_breaks(text);
    if !text.lines().any(|line| is_drain_of(line, host)) {
        new_text.push_str(&format!("drain {host}  # {asked_by}\n"));
    }
    new_text
}

/// Returns the text without the drain rules for `host`.
pub fn remove_drain(text: &str, host: SocketAddrV4) -> String {
    let lines = text.lines().filter(|line| !is_drain_of(line, host));
    lines.flat_map(|line| [line, "\n"]).collect()
}

/// Returns the text with `\n` at the end of each line, including the last.
pub fn normalize_line_breaks(text: &str) -> String {
    text.lines().flat_map(|line| [line, "\n"]).collect()
}

fn is_drain_of(line: &str, host: SocketAddrV4) -> bool {
    let rule = Rule::parse(&mut RuleLine::split(1, line));
    rule.is_ok_and(|rule| rule == Rule::Drain { host })
}
