//! Runs one case of the review: `review-case NAME RECORD`, from the project's root.
//!
//! Exits with 1 if a rule was broken, 0 if it held, and 2 if the case couldn't run. With
//! TROUBLE=0 the disruption is left out.

mod cases;
mod consumer;
mod fleet;
mod packet;
mod server;
mod store;
mod util;

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, record] = arguments.as_slice() else {
        eprintln!("usage: review-case NAME RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    match cases::run(name, record, has_trouble) {
        Ok(broken) if broken.is_empty() => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(broken) => {
            for line in broken.iter().take(5) {
                println!("{line}");
            }
            println!("broken {} times", broken.len());
            ExitCode::from(1)
        }
        Err(error) => {
            println!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
