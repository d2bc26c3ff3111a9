//! Logs: short sentences with a fixed prefix for each part, on standard error.

/// Starts to write logs; the level is taken from the variable `RUST_LOG`.
pub fn start() {
    logforth::starter_log::stderr().apply();
}
