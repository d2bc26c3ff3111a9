//! What the programs that measure rule files share.

use std::fmt::Write;
use std::time::Duration;
use std::time::Instant;

/// Times that each step is repeated; the median is printed.
const ROUNDS: usize = 5;

/// Writes a rule file with five lines for each service.
pub fn rule_text(services: u32) -> String {
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

/// Returns the median time of a step.
pub fn median(mut step: impl FnMut()) -> Duration {
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

/// Returns a time in milliseconds.
pub fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}
