//! What the commands do.

pub mod apply;
pub mod keygen;
pub mod load;
pub mod rule_file;
pub mod runtime;
