//! Measures the cost of sending a change as line edits: the size of the messages compared
//! with that of the complete text, and the time to compute the edits, to apply and check
//! them, and to parse the new rules. From these it calculates the load on a process at
//! the target rate of changes.

mod support;

use std::hint::black_box;

use hyssopstair_platform::record::deflate_text;
use hyssopstair_platform::update::VersionedText;
use hyssopstair_platform::update::apply_answer;
use hyssopstair_platform::update::build_step;
use hyssopstair_rules::rule_set::RuleSet;
use hyssopstair_wire::peer::PeerAnswer;
use hyssopstair_wire::peer::PeerRequest;
use hyssopstair_wire::peer::encode_answer;
use hyssopstair_wire::peer::encode_request;

use support::median;
use support::millis;
use support::rule_text;

/// Numbers of services; the last one is the target size of the fleet.
const SERVICE_COUNTS: [u32; 3] = [100, 1_000, 8_700];

/// Number of changes per day at the target size.
const CHANGES_PER_DAY: f64 = 2_900.0;

/// Number of seconds in a day.
const SECONDS_PER_DAY: f64 = 86_400.0;

/// A change by an operator.
#[derive(Debug, Clone, Copy)]
enum ChangeSize {
    /// Adds a drain rule.
    Drain,
    /// Changes the deadline rules of 20 services, spread over the file.
    TwentyLines,
}

fn main() {
    println!(
        "services  change        text bytes  edit bytes  diff ms  apply ms  parse ms  B/s    % of a core"
    );
    for service_count in SERVICE_COUNTS {
        for change in [ChangeSize::Drain, ChangeSize::TwentyLines] {
            print_cost(service_count, change);
        }
    }
}

fn print_cost(service_count: u32, change: ChangeSize) {
    let old_text = rule_text(service_count);
    let new_text = apply_change(&old_text, service_count, change);
    let old = VersionedText {
        version: 1,
        text: &old_text,
    };
    let new = VersionedText {
        version: 2,
        text: &new_text,
    };
    let Some(step) = build_step(old, new, None) else {
        println!("{service_count:>8}  no edits");
        return;
    };
    let diff_time = median(|| {
        black_box(build_step(old, new, None));
    });
    let answer = PeerAnswer::ConfigurationSteps(vec![step]);
    let apply_time = median(|| {
        black_box(apply_answer(old, answer.clone()));
    });
    let parse_time = median(|| {
        black_box(RuleSet::parse(black_box(&new_text)).is_ok());
    });
    let request_bytes = encode_request(&PeerRequest::Configuration { above: 1 }).len();
    let message_bytes = request_bytes + encode_answer(&answer).len();
    let changes_per_second = CHANGES_PER_DAY / SECONDS_PER_DAY;
    println!(
        "{service_count:>8}  {:<11}  {:>11}  {message_bytes:>10}  {:>7.2}  {:>8.2}  {:>8.2}  {:>5.1}  {:.3}",
        format!("{change:?}"),
        deflate_text(&new_text).map_or(0, |deflated_text| deflated_text.len()),
        millis(diff_time),
        millis(apply_time),
        millis(parse_time),
        message_bytes as f64 * changes_per_second,
        (apply_time + parse_time).as_secs_f64() * changes_per_second * 100.0,
    );
}

fn apply_change(text: &str, service_count: u32, change: ChangeSize) -> String {
    match change {
        ChangeSize::Drain => format!("{text}drain 10.9.9.9:7000  # A. Visser\n"),
        ChangeSize::TwentyLines => {
            let interval = service_count as usize / 20;
            let mut new_text = String::with_capacity(text.len());
            let mut deadline_count = 0;
            for line in text.lines() {
                let is_deadline = line.starts_with("deadline");
                deadline_count += usize::from(is_deadline);
                if is_deadline && deadline_count % interval == 0 {
                    new_text.push_str(&line.replace("course", "exam"));
                } else {
                    new_text.push_str(line);
                }
                new_text.push('\n');
            }
            new_text
        }
    }
}
