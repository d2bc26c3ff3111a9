//! The operators' command's entry point; see the library for everything else.

use std::process::ExitCode;

fn main() -> ExitCode {
    hyssopstair::main()
}
