//! Logs: short sentences with a fixed prefix for each part, on standard error.
//!
//! A record has a sentence such as `daemon: started` and fields of its own. The
//! level is taken from the variable `RUST_LOG`, the form from
//! [`FORMAT_VARIABLE`].

use std::env;

use jiff::tz::TimeZone;
use logforth::append::Stderr;
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::JsonLayout;
use logforth::layout::LogfmtLayout;

/// Name of the variable that chooses the form of the logs.
pub const FORMAT_VARIABLE: &str = "HYSSOPSTAIR_LOG_FORMAT";

/// Level of the logs when the variable `RUST_LOG` names none.
const DEFAULT_LEVEL: &str = "info";

/// The form of the logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// `key=value` pairs.
    Logfmt,
    /// One JSON object a line.
    Json,
}

impl LogFormat {
    /// Reads the name of a form.
    ///
    /// # Errors
    ///
    /// Returns a sentence that names the known forms.
    pub fn parse(name: &str) -> Result<Self, String> {
        match name {
            "logfmt" => Ok(Self::Logfmt),
            "json" => Ok(Self::Json),
            _ => Err(format!(
                "unknown log format \"{name}\" in {FORMAT_VARIABLE}; logfmt and json are known"
            )),
        }
    }

    /// Reads the form from the environment.
    ///
    /// # Errors
    ///
    /// Returns a sentence that names the known forms.
    pub fn from_environment() -> Result<Self, String> {
        match env::var(FORMAT_VARIABLE) {
            Ok(name) => Self::parse(&name),
            Err(_) => Ok(Self::Logfmt),
        }
    }
}

/// Starts to write logs; later calls change nothing.
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
