//! Adds and removes the drain rule of a host in the text of a rule file.

use std::net::SocketAddrV4;

use crate::line::RuleLine;
use crate::rule::Rule;

/// Returns the text with a drain rule for `host`, unless it has one already.
pub fn add_drain(text: &str, host: SocketAddrV4, asked_by: &str) -> String {
    let mut new = normalize_line_breaks(text);
    if !text.lines().any(|line| is_drain(line, host)) {
        new.push_str(&format!("drain {host}  # {asked_by}\n"));
    }
    new
}

/// Returns the text without drain rules for `host`.
pub fn remove_drain(text: &str, host: SocketAddrV4) -> String {
    let lines = text.lines().filter(|line| !is_drain(line, host));
    lines.flat_map(|line| [line, "\n"]).collect()
}

/// Returns the text with a line break after each line, the last included.
pub fn normalize_line_breaks(text: &str) -> String {
    text.lines().flat_map(|line| [line, "\n"]).collect()
}

fn is_drain(line: &str, host: SocketAddrV4) -> bool {
    let rule = Rule::parse(&mut RuleLine::split(1, line));
    rule.is_ok_and(|rule| rule == Rule::Drain { host })
}
