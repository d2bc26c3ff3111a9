//! Measures rule files of several sizes: the size of the text and of the stored value in
//! bytes, and the time to parse, encode, decode and compare them.

mod support;

use std::hint::black_box;

use hyssopstair_platform::record::ChangeId;
use hyssopstair_platform::record::ConfigurationRecord;
use hyssopstair_rules::edit::diff_lines;
use hyssopstair_rules::rule_set::RuleSet;

use support::median;
use support::millis;
use support::rule_text;

/// Numbers of services; the last one is the target size of the fleet.
const SERVICE_COUNTS: [u32; 4] = [10, 1_000, 4_000, 8_700];

fn main() {
    println!("services  text bytes  stored bytes  parse ms  encode ms  decode ms  diff ms");
    for service_count in SERVICE_COUNTS {
        let text = rule_text(service_count);
        let parse_time = median(|| {
            black_box(RuleSet::parse(black_box(&text)).is_ok());
        });
        let record = ConfigurationRecord::empty().with_change(ChangeId(1), 1, text.clone());
        let bytes = record.encode().unwrap_or_default();
        let encode_time = median(|| {
            black_box(record.encode().is_ok());
        });
        let decode_time = median(|| {
            black_box(ConfigurationRecord::decode(&bytes).is_ok());
        });
        let new_text = format!("{text}drain 10.9.9.9:7000  # A. Visser\n");
        let diff_time = median(|| {
            black_box(diff_lines(&text, &new_text).len());
        });
        println!(
            "{service_count:>8}  {:>10}  {:>12}  {:>8.2}  {:>9.2}  {:>9.2}  {:>7.2}",
            text.len(),
            bytes.len(),
            millis(parse_time),
            millis(encode_time),
            millis(decode_time),
            millis(diff_time)
        );
    }
}
