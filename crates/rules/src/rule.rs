//! The rules of the rule file.
//!
//! | rule | meaning |
//! |---|---|
//! | `service NAME id N address IP:PORT` | declares a service that callers reach at the address |
//! | `zone NAME id N` | declares an availability zone |
//! | `weight SERVICE ZONE N` | relative share of new flows for each host in the zone |
//! | `limit SERVICE slots N connections N queue N` | limits of each host |
//! | `deadline SERVICE MILLISECONDS` | deadline of a request |
//! | `idempotent SERVICE METHOD PREFIX` | requests that may run more than once |
//! | `stream SERVICE PREFIX` | paths with long-lived responses, which need no slot and have no deadline |
//! | `withdraw SERVICE` | no host accepts new flows to the service |
//! | `drain IP:PORT` | the host at this inner address accepts no new flows |
//! | `evacuate ZONE` | no host in the zone accepts new flows |
//! | `key N` | declares a valid route key; the one with the highest number seals new tokens |

use std::net::SocketAddrV4;
use std::num::NonZeroU16;

use hyssopstair_wire::address::ServiceId;
use hyssopstair_wire::token::KeyNumber;

use crate::error::RuleError;
use crate::hint::find_nearest_word;
use crate::line::LineWord;
use crate::line::RuleLine;

/// A rule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Rule {
    /// Declares a service.
    Service {
        /// The name of the service.
        name: String,
        /// The number of the service on the wire.
        id: ServiceId,
        /// The address to which callers send packets.
        address: SocketAddrV4,
    },
    /// Declares an availability zone.
    Zone {
        /// The name of the zone.
        name: String,
        /// The number of the zone on the wire.
        id: u8,
    },
    /// Sets the weight of the hosts of a service in a zone.
    Weight {
        /// The name of the service.
        service: String,
        /// The name of the zone.
        zone: String,
        /// The weight relative to other hosts; 100 if there is no such rule.
        weight: u16,
    },
    /// Sets the limits of each host of a service.
    Limit {
        /// The name of the service.
        service: String,
        /// Maximum number of concurrent requests.
        slots: u16,
        /// Maximum number of open flows.
        connections: u32,
        /// Maximum number of requests that wait for a slot.
        queue: u16,
    },
    /// Sets the deadline of a request to a service.
    Deadline {
        /// The name of the service.
        service: String,
        /// The deadline in milliseconds.
        millis: u32,
    },
    /// Marks requests that may run more than once.
    Idempotent {
        /// The name of the service.
        service: String,
        /// The HTTP method.
        method: String,
        /// The prefix of the path.
        prefix: String,
    },
    /// Marks paths whose responses last for hours.
    Stream {
        /// The name of the service.
        service: String,
        /// The prefix of the path.
        prefix: String,
    },
    /// Stops new flows to a service.
    Withdraw {
        /// The name of the service.
        service: String,
    },
    /// Stops new flows to a host.
    Drain {
        /// The inner address of the host.
        host: SocketAddrV4,
    },
    /// Stops new flows to all hosts of an availability zone.
    Evacuate {
        /// The name of the zone.
        zone: String,
    },
    /// Makes a route key valid.
    Key {
        /// The number of the key.
        number: KeyNumber,
    },
}

/// The first word of each rule.
const RULE_KEYWORDS: [&str; 11] = [
    "service",
    "zone",
    "weight",
    "limit",
    "deadline",
    "idempotent",
    "stream",
    "withdraw",
    "drain",
    "evacuate",
    "key",
];

impl Rule {
    /// Parses the rule on a line.
    ///
    /// # Errors
    ///
    /// Returns the first error on the line.
    pub fn parse(line: &mut RuleLine<'_>) -> Result<Self, RuleError> {
        let keyword = line.expect_word("a rule")?;
        let rule = Self::parse_after_keyword(line, keyword)?;
        if let Some(extra_word) = line.next_word() {
            let message = format!("unexpected word \"{}\"", extra_word.text);
            return Err(line.error_at_word(extra_word, message, "remove it"));
        }
        Ok(rule)
    }

    fn parse_after_keyword(
        line: &mut RuleLine<'_>,
        keyword: LineWord<'_>,
    ) -> Result<Self, RuleError> {
        match keyword.text {
            "service" => parse_service(line),
            "zone" => parse_zone(line),
            "weight" => parse_weight(line),
            "limit" => parse_limit(line),
            "deadline" => parse_deadline(line),
            "idempotent" => parse_idempotent(line),
            "stream" => parse_stream(line),
            "withdraw" => Ok(Self::Withdraw {
                service: line.expect_value("a service name")?,
            }),
            "drain" => Ok(Self::Drain {
                host: line.expect_value("an address of the form IP:PORT")?,
            }),
            "evacuate" => Ok(Self::Evacuate {
                zone: line.expect_value("the name of an availability zone")?,
            }),
            "key" => Ok(Self::Key {
                number: KeyNumber(line.expect_value("a key number from 0 to 255")?),
            }),
            other => Err(unknown_rule_error(line, keyword, other)),
        }
    }
}

fn unknown_rule_error(line: &RuleLine<'_>, word: LineWord<'_>, text: &str) -> RuleError {
    let hint = match find_nearest_word(text, RULE_KEYWORDS.into_iter()) {
        Some(nearest) => format!("did you mean \"{nearest}\"?"),
        None => format!("the known rules are {}", RULE_KEYWORDS.join(", ")),
    };
    line.error_at_word(word, format!("unknown rule \"{text}\""), &hint)
}

fn expect_label(line: &mut RuleLine<'_>, label: &str) -> Result<(), RuleError> {
    let word = line.expect_word(&format!("\"{label}\""))?;
    if word.text == label {
        return Ok(());
    }
    let message = format!("unexpected word \"{}\"", word.text);
    Err(line.error_at_word(
        word,
        message,
        &format!("expected \"{label}\" and its value"),
    ))
}

fn parse_labelled<T: std::str::FromStr>(
    line: &mut RuleLine<'_>,
    label: &str,
    expected: &str,
) -> Result<T, RuleError> {
    expect_label(line, label)?;
    line.expect_value(expected)
}

fn parse_service(line: &mut RuleLine<'_>) -> Result<Rule, RuleError> {
    Ok(Rule::Service {
        name: line.expect_value("a service name")?,
        id: ServiceId(parse_labelled(line, "id", "a number from 0 to 65535")?),
        address: parse_labelled(line, "address", "an address of the form IP:PORT")?,
    })
}

fn parse_zone(line: &mut RuleLine<'_>) -> Result<Rule, RuleError> {
    Ok(Rule::Zone {
        name: line.expect_value("the name of an availability zone")?,
        id: parse_labelled(line, "id", "a number from 0 to 255")?,
    })
}

fn parse_weight(line: &mut RuleLine<'_>) -> Result<Rule, RuleError> {
    Ok(Rule::Weight {
        service: line.expect_value("a service name")?,
        zone: line.expect_value("the name of an availability zone")?,
        weight: line.expect_value("a weight from 0 to 65535")?,
    })
}

fn parse_limit(line: &mut RuleLine<'_>) -> Result<Rule, RuleError> {
    Ok(Rule::Limit {
        service: line.expect_value("a service name")?,
        slots: parse_labelled::<NonZeroU16>(line, "slots", "a number from 1 to 65535")?.get(),
        connections: parse_labelled(line, "connections", "a number of flows")?,
        queue: parse_labelled(line, "queue", "a number from 0 to 65535")?,
    })
}

fn parse_deadline(line: &mut RuleLine<'_>) -> Result<Rule, RuleError> {
    Ok(Rule::Deadline {
        service: line.expect_value("a service name")?,
        millis: line.expect_value("a duration in milliseconds")?,
    })
}

fn parse_idempotent(line: &mut RuleLine<'_>) -> Result<Rule, RuleError> {
    Ok(Rule::Idempotent {
        service: line.expect_value("a service name")?,
        method: line.expect_value("an HTTP method")?,
        prefix: line.expect_value("a path prefix")?,
    })
}

fn parse_stream(line: &mut RuleLine<'_>) -> Result<Rule, RuleError> {
    Ok(Rule::Stream {
        service: line.expect_value("a service name")?,
        prefix: line.expect_value("a path prefix")?,
    })
}
