//! Entry point of the `hyssopstaird` program, which calls [`hyssopstaird::main`].

use std::process::ExitCode;

fn main() -> ExitCode {
    hyssopstaird::main()
}
