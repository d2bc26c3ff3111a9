//! Structured logs on standard error.
//!
//! A record consists of a message with the prefix of its component, such as
//! `daemon: started`, and key-value fields. The environment variable `RUST_LOG`
//! sets the level, and [`FORMAT_VARIABLE`] the format.

use std::env;

use jiff::tz::TimeZone;
use logforth::append::Stderr;
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::JsonLayout;
use logforth::layout::LogfmtLayout;

/// Environment variable that selects the log format.
pub const FORMAT_VARIABLE: &str = "HYSSOPSTAIR_LOG_FORMAT";

/// Log level if `RUST_LOG` is not set.
const DEFAULT_LEVEL: &str = "info";

/// The log format.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// `key=value` pairs.
    Logfmt,
    /// One JSON object per line.
    Json,
}

impl LogFormat {
    /// Parses the name of a format.
    ///
    /// # Errors
    ///
    /// Returns a message with the supported formats if the name is unknown.
    pub fn parse(name: &str) -> Result<Self, String> {
        match name {
            "logfmt" => Ok(Self::Logfmt),
            "json" => Ok(Self::Json),
            _ => Err(format!(
                "unknown log format \"{name}\" in {FORMAT_VARIABLE}, expected logfmt or json"
            )),
        }
    }

    /// Reads the format from the environment; the default is logfmt.
    ///
    /// # Errors
    ///
    /// Returns a message with the supported formats if the name is unknown.
    pub fn from_environment() -> Result<Self, String> {
        match env::var(FORMAT_VARIABLE) {
            Ok(name) => Self::parse(&name),
            Err(_) => Ok(Self::Logfmt),
        }
    }
}

/// Installs the logger of the process. Later calls have no effect.
pub fn start_logging(format: LogFormat) {
    let appender = match format {
        LogFormat::Logfmt => {
            Stderr::default().with_layout(LogfmtLayout::default().timezone(TimeZone::UTC))
        }
        LogFormat::Json => {
            Stderr::default().with_layout(JsonLayout::default().timezone(TimeZone::UTC))
        }
    };
    let filter = RustLogFilterBuilder::from_default_env_or(DEFAULT_LEVEL).build();
    let _ = logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(filter).append(appender))
        .try_apply();
}
