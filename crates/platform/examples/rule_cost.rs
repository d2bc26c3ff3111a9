//! Prints what rule files of growing size cost: bytes of text and time to read.

use std::fmt::Write;
use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use hyssopstair_rules::rule_set::RuleSet;

/// Sizes of the fleet, in services; the last is the target size.
const SIZES: [u32; 4] = [10, 1_000, 4_000, 8_700];

/// Times that each step is repeated; the median is printed.
const ROUNDS: usize = 5;

fn main() {
    println!("services  text bytes  read ms");
    for services in SIZES {
        let text = rule_text(services);
        let read = median(|| {
            black_box(RuleSet::parse(black_box(&text)).is_ok());
        });
        println!("{services:>8}  {:>10}  {:>7.2}", text.len(), millis(read));
    }
}

/// Writes a rule file with five lines for each service.
fn rule_text(services: u32) -> String {
    let mut text = String::from("zone utr-a id 1  # A. Visser: where we run\n");
    for index in 0..services {
        let name = format!("service-{index:05}");
        let id = index + 1;
        let host = format!("10.{}.{}.{}", index >> 16, (index >> 8) & 255, index & 255);
        let rules = [
            format!("service {name} id {id} address {host}:4433"),
            format!("limit {name} slots 3 connections 2000 queue 6"),
            format!("deadline {name} {}", 1_000 + index),
            format!("idempotent {name} GET /"),
            format!("stream {name} /feed/"),
        ];
        for rule in rules {
            let _ = writeln!(text, "{rule}  # A. Visser, course platform {index}");
        }
    }
    text
}

fn median(mut step: impl FnMut()) -> Duration {
    let mut times: Vec<Duration> = (0..ROUNDS)
        .map(|_| {
            let start = Instant::now();
            step();
            start.elapsed()
        })
        .collect();
    times.sort_unstable();
    times[ROUNDS / 2]
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}
