//! What the commands do.

pub mod run;
