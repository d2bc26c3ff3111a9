//! Entry point of the `hyssopstair` program; the code is in the library.

use std::process::ExitCode;

fn main() -> ExitCode {
    hyssopstair::main()
}
