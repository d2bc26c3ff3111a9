//! Start and stop of a daemon in each mode.

#[cfg(feature = "carry")]
pub mod carry;
#[cfg(feature = "terminate")]
pub mod run;
