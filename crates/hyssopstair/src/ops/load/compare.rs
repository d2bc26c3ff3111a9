//! Compares the numbers of two load reports.

use std::fs;
use std::path::Path;

use error_stack::Report;
use error_stack::ResultExt;
use serde_json::Value;

use crate::error::CommandError;
use crate::error::FailureKind;

/// A number that appears in either report.
#[derive(Debug, Clone, PartialEq)]
struct ComparedNumber {
    name: String,
    before: Option<f64>,
    after: Option<f64>,
}

/// Reads a report that `hyssopstair load --json` wrote.
///
/// # Errors
///
/// Returns an error if the file cannot be read or is not valid JSON.
pub fn read_report(path: &Path) -> Result<Value, Report<CommandError>> {
    let context = || {
        CommandError::new(
            FailureKind::InvalidInput,
            format!("failed to read report {}", path.display()),
        )
    };
    let text = fs::read_to_string(path).change_context_lazy(context)?;
    serde_json::from_str(&text).change_context_lazy(context)
}

/// Returns the lines of a text table with each number of both reports and its
/// relative change.
pub fn compare_reports(before: &Value, after: &Value) -> Vec<String> {
    let mut numbers = Vec::new();
    collect_numbers("", before, &mut numbers, |number| &mut number.before);
    collect_numbers("", after, &mut numbers, |number| &mut number.after);
    let mut lines = vec![format!(
        "{:<42}{:>12}{:>12}{:>10}",
        "", "before", "after", "change"
    )];
    lines.extend(numbers.iter().map(format_row));
    lines
}

/// Collects the numbers in `value` and its nested values. `name` is the path of
/// `value`; `column` selects the report to which the numbers belong.
fn collect_numbers(
    name: &str,
    value: &Value,
    numbers: &mut Vec<ComparedNumber>,
    column: fn(&mut ComparedNumber) -> &mut Option<f64>,
) {
    match value {
        Value::Number(number) => set_number(name, number.as_f64(), numbers, column),
        Value::Object(fields) => {
            // The samples of each second are only used by the plot.
            for (field, value) in fields.iter().filter(|(field, _)| *field != "seconds") {
                collect_numbers(&join_name(name, field), value, numbers, column);
            }
        }
        Value::Array(items) => {
            for item in items {
                let service = item["service"].as_str().unwrap_or_default();
                if !service.is_empty() {
                    collect_numbers(&join_name(name, service), item, numbers, column);
                }
            }
        }
        Value::Null | Value::Bool(_) | Value::String(_) => {}
    }
}

/// Sets a number in the column of one report. `numbers` stays sorted by name.
fn set_number(
    name: &str,
    value: Option<f64>,
    numbers: &mut Vec<ComparedNumber>,
    column: fn(&mut ComparedNumber) -> &mut Option<f64>,
) {
    let index = match numbers.binary_search_by(|number| number.name.as_str().cmp(name)) {
        Ok(index) => index,
        Err(index) => {
            let number = ComparedNumber {
                name: name.to_owned(),
                before: None,
                after: None,
            };
            numbers.insert(index, number);
            index
        }
    };
    *column(&mut numbers[index]) = value;
}

fn join_name(name: &str, field: &str) -> String {
    if name.is_empty() {
        return field.to_owned();
    }
    format!("{name} {field}")
}

fn format_row(number: &ComparedNumber) -> String {
    let change = match (number.before, number.after) {
        (Some(before), Some(after)) if before != 0.0 => {
            format!("{:+.1} %", (after / before - 1.0) * 100.0)
        }
        (Some(before), Some(after)) if before == after => "same".to_owned(),
        _ => "-".to_owned(),
    };
    let format_value =
        |value: Option<f64>| value.map_or("-".to_owned(), |value| format!("{value:.3}"));
    format!(
        "{:<42}{:>12}{:>12}{:>10}",
        number.name,
        format_value(number.before),
        format_value(number.after),
        change
    )
}
