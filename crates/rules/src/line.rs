//! Splits a line of the rule file into its words and its comment.

use std::str::FromStr;

use crate::error::RuleError;

/// A word and its position in the line.
#[derive(Debug, Clone, Copy)]
pub struct LineWord<'a> {
    /// The text of the word.
    pub text: &'a str,
    /// The column of its first character, starting at 1.
    pub column: usize,
}

/// A line of the rule file that is read word by word.
#[derive(Debug)]
pub struct RuleLine<'a> {
    number: usize,
    end_column: usize,
    words: Vec<LineWord<'a>>,
    next_index: usize,
    /// The text after `#`, without leading and trailing whitespace.
    pub comment: Option<&'a str>,
}

impl<'a> RuleLine<'a> {
    /// Splits `text`, the line with this number of the file.
    pub fn split(number: usize, text: &'a str) -> Self {
        let (rule, comment) = match text.split_once('#') {
            Some((rule, comment)) => (rule, Some(comment.trim())),
            None => (text, None),
        };
        Self {
            number,
            end_column: rule.trim_end().chars().count() + 1,
            words: split_words(rule),
            next_index: 0,
            comment,
        }
    }

    /// Returns the line number, starting at 1.
    pub fn number(&self) -> usize {
        self.number
    }

    /// Returns the column of the word at `index`, starting at 0, or the column
    /// after the last word if there is no such word.
    pub fn word_column(&self, index: usize) -> usize {
        self.words
            .get(index)
            .map_or(self.end_column, |word| word.column)
    }

    /// Returns whether the line is empty or contains only a comment.
    pub fn is_blank(&self) -> bool {
        self.words.is_empty()
    }

    /// Reads the next word, or returns `None` at the end of the line.
    pub fn next_word(&mut self) -> Option<LineWord<'a>> {
        let word = self.words.get(self.next_index).copied()?;
        self.next_index += 1;
        Some(word)
    }

    /// Reads the next word.
    ///
    /// # Errors
    ///
    /// Returns an error that mentions `expected` at the end of the line.
    pub fn expect_word(&mut self, expected: &str) -> Result<LineWord<'a>, RuleError> {
        self.next_word().ok_or_else(|| {
            self.error_at_column(
                self.end_column,
                format!("expected {expected}, found the end of the rule"),
                "add it",
            )
        })
    }

    /// Reads the next word and parses it.
    ///
    /// # Errors
    ///
    /// Returns an error that mentions `expected` if the word is missing or cannot
    /// be parsed.
    pub fn expect_value<T: FromStr>(&mut self, expected: &str) -> Result<T, RuleError> {
        let word = self.expect_word(expected)?;
        self.parse_value(word, expected)
    }

    /// Parses a word.
    ///
    /// # Errors
    ///
    /// Returns an error that mentions `expected` if the word cannot be parsed.
    pub fn parse_value<T: FromStr>(
        &self,
        word: LineWord<'_>,
        expected: &str,
    ) -> Result<T, RuleError> {
        word.text.parse().map_err(|_| {
            let message = format!("invalid value \"{}\"", word.text);
            self.error_at_word(word, message, &format!("expected {expected}"))
        })
    }

    /// Creates an error at the position of a word.
    pub fn error_at_word(
        &self,
        word: LineWord<'_>,
        message: impl Into<String>,
        hint: &str,
    ) -> RuleError {
        self.error_at_column(word.column, message, hint)
    }

    /// Creates an error at a column.
    pub fn error_at_column(
        &self,
        column: usize,
        message: impl Into<String>,
        hint: &str,
    ) -> RuleError {
        RuleError {
            line: self.number,
            column,
            message: message.into(),
            hint: hint.to_owned(),
        }
    }

    /// Creates an error at the column after the last word.
    pub fn error_at_end(&self, message: impl Into<String>, hint: &str) -> RuleError {
        self.error_at_column(self.end_column, message, hint)
    }
}

fn split_words(rule: &str) -> Vec<LineWord<'_>> {
    let mut words = Vec::new();
    let mut column = 1;
    for part in rule.split_inclusive(char::is_whitespace) {
        let text = part.trim_end();
        if !text.is_empty() {
            words.push(LineWord { text, column });
        }
        column += part.chars().count();
    }
    words
}
