//! Loading of the secret that all processes of a fleet share.

use std::env;
use std::fs;

use error_stack::Report;
use error_stack::ResultExt;
use hyssopstair_rules::settings::SecretSource;
use hyssopstair_wire::token::FleetSecret;
use hyssopstair_wire::token::SECRET_LENGTH;

use crate::error::DaemonError;

/// Reads the fleet secret from the file or environment variable that the settings name.
///
/// # Errors
///
/// Returns an error if the file or variable cannot be read, or if its content is not
/// 32 hexadecimal digits.
pub fn read_secret(source: &SecretSource) -> Result<FleetSecret, Report<DaemonError>> {
    let text = match source {
        SecretSource::File(path) => fs::read_to_string(path).change_context_lazy(|| {
            DaemonError::new(format!("failed to read the secret from {}", path.display()))
        })?,
        SecretSource::Environment(name) => env::var(name).change_context_lazy(|| {
            DaemonError::new(format!(
                "failed to read the secret from environment variable {name}"
            ))
        })?,
    };
    decode_hex(text.trim())
        .map(FleetSecret::new)
        .ok_or_else(|| Report::new(DaemonError::new("the secret is not 32 hexadecimal digits")))
}

/// Decodes exactly [`SECRET_LENGTH`] bytes, or returns `None` if `text` has another
/// length or contains other characters than hexadecimal digits.
fn decode_hex(text: &str) -> Option<[u8; SECRET_LENGTH]> {
    if text.len() != 2 * SECRET_LENGTH || !text.is_ascii() {
        return None;
    }
    let mut bytes = [0; SECRET_LENGTH];
    for (index, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(bytes)
}
