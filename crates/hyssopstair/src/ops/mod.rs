//! The operations behind the subcommands. They take plain arguments and return
//! results instead of printing them.

pub mod apply;
pub mod change;
pub mod change_report;
pub mod check;
pub mod confirm;
pub mod daemon;
pub mod diff;
pub mod drain;
pub mod explain;
pub mod keygen;
pub mod load;
pub mod record;
pub mod rule_file;
pub mod runtime;
pub mod status;
