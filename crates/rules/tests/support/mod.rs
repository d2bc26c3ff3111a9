//! Rule files for tests.

/// The declarations at the start of each rule file.
const DECLARATIONS: &str = "\
zone utr-a id 1  # A. Visser: where we run
zone ame-b id 2  # A. Visser: where we run
service leerplein id 1 address 127.1.0.10:4433  # A. Visser: enrolment
service diplomakluis id 2 address 127.1.0.11:4433  # A. Visser: archive
";

/// Returns a rule file with two zones and two services, followed by `lines`.
pub fn with_lines(lines: &str) -> String {
    format!("{DECLARATIONS}{lines}")
}
