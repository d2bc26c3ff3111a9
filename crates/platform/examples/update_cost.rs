//! Prints what a change costs a process that is sent line edits: bytes of the
//! answer against the whole text, and times to find, make and check the edits
//! and to read the new rules. The load at the target's rate of changes follows.

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

/// Sizes of the fleet, in services; the last is the target size.
const SIZES: [u32; 3] = [100, 1_000, 8_700];

/// Changes a day at the target size.
const CHANGES_A_DAY: f64 = 2_900.0;

/// Seconds of a day.
const DAY_SECONDS: f64 = 86_400.0;

/// The lines that an operator changes at once.
#[derive(Debug, Clone, Copy)]
enum ChangeSize {
    /// A drain rule is added.
    Drain,
    /// The deadlines of 20 services, all over the file.
    TwentyLines,
}

fn main() {
    println!(
        "services  change       whole bytes  edit bytes  find ms  make ms  read ms  B/s    % of a core"
    );
    for services in SIZES {
        for change in [ChangeSize::Drain, ChangeSize::TwentyLines] {
            print_cost(services, change);
        }
    }
}

fn print_cost(services: u32, change: ChangeSize) {
    let old_text = rule_text(services);
    let new_text = changed(&old_text, services, change);
    let old = VersionedText {
        version: 1,
        text: &old_text,
    };
    let new = VersionedText {
        version: 2,
        text: &new_text,
    };
    let Some(step) = build_step(old, new, None) else {
        println!("{services:>8}  no edits");
        return;
    };
    let find = median(|| {
        black_box(build_step(old, new, None));
    });
    let answer = PeerAnswer::ConfigurationSteps(vec![step]);
    let make = median(|| {
        black_box(apply_answer(old, answer.clone()));
    });
    let read = median(|| {
        black_box(RuleSet::parse(black_box(&new_text)).is_ok());
    });
    let question = encode_request(&PeerRequest::Configuration { above: 1 }).len();
    let bytes = question + encode_answer(&answer).len();
    let changes_a_second = CHANGES_A_DAY / DAY_SECONDS;
    println!(
        "{services:>8}  {:<11}  {:>11}  {bytes:>10}  {:>7.2}  {:>7.2}  {:>7.2}  {:>5.1}  {:.3}",
        format!("{change:?}"),
        deflate_text(&new_text).map_or(0, |packed| packed.len()),
        millis(find),
        millis(make),
        millis(read),
        bytes as f64 * changes_a_second,
        (make + read).as_secs_f64() * changes_a_second * 100.0,
    );
}

fn changed(text: &str, services: u32, change: ChangeSize) -> String {
    match change {
        ChangeSize::Drain => format!("{text}drain 10.9.9.9:7000  # A. Visser\n"),
        ChangeSize::TwentyLines => {
            let every = services as usize / 20;
            let mut changed = String::with_capacity(text.len());
            let mut deadlines = 0;
            for line in text.lines() {
                let is_deadline = line.starts_with("deadline");
                deadlines += usize::from(is_deadline);
                if is_deadline && deadlines % every == 0 {
                    changed.push_str(&line.replace("course", "exam"));
                } else {
                    changed.push_str(line);
                }
                changed.push('\n');
            }
            changed
        }
    }
}
