//! Generates secrets and certificates for test fleets.

use std::fs;
use std::path::Path;

use error_stack::Report;
use error_stack::ResultExt;

use crate::error::CommandError;
use crate::error::FailureKind;

/// Generates a fleet secret and a self-signed certificate for the services `names`,
/// and writes `secret.hex`, `certificate.pem` and `private-key.pem` to `directory`,
/// which is created if it does not exist.
///
/// # Errors
///
/// Returns an error if the certificate cannot be generated or a file cannot be
/// written.
pub fn generate_keys(directory: &Path, names: &[String]) -> Result<(), Report<CommandError>> {
    let context = || {
        CommandError::new(
            FailureKind::InvalidInput,
            format!("failed to write keys to {}", directory.display()),
        )
    };
    fs::create_dir_all(directory).change_context_lazy(context)?;
    let certified = rcgen::generate_simple_self_signed(names).change_context_lazy(context)?;
    let secret = format!("{:032x}\n", rand::random::<u128>());
    let write =
        |name: &str, text: &str| fs::write(directory.join(name), text).change_context_lazy(context);
    write("secret.hex", &secret)?;
    write("certificate.pem", &certified.cert.pem())?;
    write("private-key.pem", &certified.signing_key.serialize_pem())
}
