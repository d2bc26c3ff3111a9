//! The daemon's entry point; see the library for everything else.

use std::process::ExitCode;

fn main() -> ExitCode {
    hyssopstaird::main()
}
