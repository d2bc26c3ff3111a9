//! Builders of rule files.

/// Lines that most rule files of the tests start with.
pub const BASE: &str = "\
zone utr-a id 1  # A. Visser: where we run
zone ame-b id 2  # A. Visser: where we run
service leerplein id 1 address 127.1.0.10:4433  # A. Visser: enrolment
service diplomakluis id 2 address 127.1.0.11:4433  # A. Visser: archive
";

/// Returns a rule file with `lines` behind the base.
pub fn with_lines(lines: &str) -> String {
    format!("{BASE}{lines}")
}
