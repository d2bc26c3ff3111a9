//! Rule files and time measurements for the examples.

use std::fmt::Write;
use std::time::Duration;
use std::time::Instant;

/// Number of measurements, of which the median is taken.
const ROUND_COUNT: usize = 5;

/// Returns a rule file with five rules for each service.
pub fn rule_text(service_count: u32) -> String {
    let mut text = String::from("zone utr-a id 1  # A. Visser: where we run\n");
    for index in 0..service_count {
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

/// Runs an operation several times and returns the median duration.
pub fn median(mut operation: impl FnMut()) -> Duration {
    let mut durations: Vec<Duration> = (0..ROUND_COUNT)
        .map(|_| {
            let start = Instant::now();
            operation();
            start.elapsed()
        })
        .collect();
    durations.sort_unstable();
    durations[ROUND_COUNT / 2]
}

/// Returns a duration in milliseconds.
pub fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}
