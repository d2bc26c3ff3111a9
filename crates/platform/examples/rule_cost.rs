//! Prints what rule files of growing size cost: bytes of text and of the stored
//! value, and times to read, store, load and compare them.

mod support;

use std::hint::black_box;

use hyssopstair_platform::record::ChangeId;
use hyssopstair_platform::record::ConfigurationRecord;
use hyssopstair_rules::edit::diff_lines;
use hyssopstair_rules::rule_set::RuleSet;

use support::median;
use support::millis;
use support::rule_text;

/// Sizes of the fleet, in services; the last is the target size.
const SIZES: [u32; 4] = [10, 1_000, 4_000, 8_700];

fn main() {
    println!("services  text bytes  stored bytes  read ms  store ms  load ms  diff ms");
    for services in SIZES {
        let text = rule_text(services);
        let read = median(|| {
            black_box(RuleSet::parse(black_box(&text)).is_ok());
        });
        let record = ConfigurationRecord::empty().with_change(ChangeId(1), 1, text.clone());
        let bytes = record.encode().unwrap_or_default();
        let store = median(|| {
            black_box(record.encode().is_ok());
        });
        let load = median(|| {
            black_box(ConfigurationRecord::decode(&bytes).is_ok());
        });
        let changed = format!("{text}drain 10.9.9.9:7000  # A. Visser\n");
        let diff = median(|| {
            black_box(diff_lines(&text, &changed).len());
        });
        println!(
            "{services:>8}  {:>10}  {:>12}  {:>7.2}  {:>8.2}  {:>7.2}  {:>7.2}",
            text.len(),
            bytes.len(),
            millis(read),
            millis(store),
            millis(load),
            millis(diff)
        );
    }
}
