//! What the commands do.

#[cfg(feature = "carry")]
pub mod carry;
#[cfg(feature = "terminate")]
pub mod run;
