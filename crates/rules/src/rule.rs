//! The rules that a line can hold.
//!
//! | rule | meaning |
//! |---|---|
//! | `service NAME id N address IP:PORT` | callers reach the service at the address |
//! | `zone NAME id N` | an availability zone |
//! | `weight SERVICE ZONE N` | share of new flows of the hosts there |
//! | `limit SERVICE slots N connections N queue N` | bounds of one host |
//! | `deadline SERVICE MILLISECONDS` | longest time of one request |
//! | `idempotent SERVICE METHOD PREFIX` | requests that may be run again |
//! | `stream SERVICE PREFIX` | paths whose answers last: no slot, no deadline |
//! | `withdraw SERVICE` | no host takes new flows of the service |
//! | `drain IP:PORT` | the host with this inner address takes nothing new |
//! | `key N` | a route key; the highest seals, the others are honoured |

use std::net::SocketAddrV4;
use std::num::NonZeroU16;

use hyssopstair_wire::address::ServiceId;
use hyssopstair_wire::token::KeyNumber;

use crate::error::RuleError;
use crate::hint::nearest_word;
use crate::line::LineWord;
use crate::line::RuleLine;

/// One rule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Rule {
    /// Callers reach a service at an address.
    Service {
        /// The name of the service.
        name: String,
        /// Its number on the wire.
        id: ServiceId,
        /// Where callers send to.
        address: SocketAddrV4,
    },
    /// An availability zone.
    Zone {
        /// The name of the zone.
        name: String,
        /// Its number on the wire.
        id: u8,
    },
    /// The weight of the hosts of a service in a zone.
    Weight {
        /// The name of the service.
        service: String,
        /// The name of the zone.
        zone: String,
        /// The share relative to other hosts, 100 where no rule is given.
        weight: u16,
    },
    /// Bounds of one host of a service.
    Limit {
        /// The name of the service.
        service: String,
        /// Requests that run at once.
        slots: u16,
        /// Open flows.
        connections: u32,
        /// Requests that wait for a slot.
        queue: u16,
    },
    /// The longest time of one request.
    Deadline {
        /// The name of the service.
        service: String,
        /// The time in milliseconds.
        millis: u32,
    },
    /// Requests that may be run more than once.
    Idempotent {
        /// The name of the service.
        service: String,
        /// The method of the request.
        method: String,
        /// The start of its path.
        prefix: String,
    },
    /// Paths whose answers last for hours.
    Stream {
        /// The name of the service.
        service: String,
        /// The start of the path.
        prefix: String,
    },
    /// A service that takes nothing new.
    Withdraw {
        /// The name of the service.
        service: String,
    },
    /// A host that takes nothing new.
    Drain {
        /// The inner address of the host.
        host: SocketAddrV4,
    },
    /// A route key that is honoured.
    Key {
        /// Its number.
        number: KeyNumber,
    },
}

/// The first words of all rules.
const RULE_WORDS: [&str; 10] = [
    "service",
    "zone",
    "weight",
    "limit",
    "deadline",
    "idempotent",
    "stream",
    "withdraw",
    "drain",
    "key",
];

impl Rule {
    /// Reads the rule of a line.
    ///
    /// # Errors
    ///
    /// Returns a [`RuleError`] that names the first mistake of the line.
    pub fn parse(line: &mut RuleLine<'_>) -> Result<Self, RuleError> {
        let word = line.expect("a rule")?;
        let rule = Self::parse_body(line, word)?;
        if let Some(extra) = line.take() {
            let message = format!("\"{}\" is not expected here", extra.text);
            return Err(line.error(extra, message, "remove it"));
        }
        Ok(rule)
    }

    fn parse_body(line: &mut RuleLine<'_>, word: LineWord<'_>) -> Result<Self, RuleError> {
        match word.text {
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
                host: line.expect_value("an address as IP:PORT")?,
            }),
            "key" => Ok(Self::Key {
                number: KeyNumber(line.expect_value("a key number from 0 to 255")?),
            }),
            other => Err(unknown_rule(line, word, other)),
        }
    }
}

fn unknown_rule(line: &RuleLine<'_>, word: LineWord<'_>, text: &str) -> RuleError {
    let hint = match nearest_word(text, RULE_WORDS.into_iter()) {
        Some(near) => format!("did you mean \"{near}\"?"),
        None => format!("the rules are {}", RULE_WORDS.join(", ")),
    };
    line.error(word, format!("unknown rule \"{text}\""), &hint)
}

fn expect_label(line: &mut RuleLine<'_>, label: &str) -> Result<(), RuleError> {
    let word = line.expect(&format!("\"{label}\""))?;
    if word.text == label {
        return Ok(());
    }
    let message = format!("\"{}\" stands where \"{label}\" is expected", word.text);
    Err(line.error(word, message, &format!("write {label} and its value")))
}

fn labelled<T: std::str::FromStr>(
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
        id: ServiceId(labelled(line, "id", "a number from 0 to 65535")?),
        address: labelled(line, "address", "an address as IP:PORT")?,
    })
}

fn parse_zone(line: &mut RuleLine<'_>) -> Result<Rule, RuleError> {
    Ok(Rule::Zone {
        name: line.expect_value("an availability zone")?,
        id: labelled(line, "id", "a number from 0 to 255")?,
    })
}

fn parse_weight(line: &mut RuleLine<'_>) -> Result<Rule, RuleError> {
    Ok(Rule::Weight {
        service: line.expect_value("a service name")?,
        zone: line.expect_value("an availability zone")?,
        weight: line.expect_value("a weight from 0 to 65535")?,
    })
}

fn parse_limit(line: &mut RuleLine<'_>) -> Result<Rule, RuleError> {
    Ok(Rule::Limit {
        service: line.expect_value("a service name")?,
        slots: labelled::<NonZeroU16>(line, "slots", "a number from 1 to 65535")?.get(),
        connections: labelled(line, "connections", "a number of flows")?,
        queue: labelled(line, "queue", "a number from 0 to 65535")?,
    })
}

fn parse_deadline(line: &mut RuleLine<'_>) -> Result<Rule, RuleError> {
    Ok(Rule::Deadline {
        service: line.expect_value("a service name")?,
        millis: line.expect_value("a time in milliseconds")?,
    })
}

fn parse_idempotent(line: &mut RuleLine<'_>) -> Result<Rule, RuleError> {
    Ok(Rule::Idempotent {
        service: line.expect_value("a service name")?,
        method: line.expect_value("a method")?,
        prefix: line.expect_value("the start of a path")?,
    })
}

fn parse_stream(line: &mut RuleLine<'_>) -> Result<Rule, RuleError> {
    Ok(Rule::Stream {
        service: line.expect_value("a service name")?,
        prefix: line.expect_value("the start of a path")?,
    })
}
