//! Splits a line of the rule file into words and its comment.

use std::str::FromStr;

use crate::error::RuleError;

/// A word and the column where it starts, from 1.
#[derive(Debug, Clone, Copy)]
pub struct LineWord<'a> {
    /// The text of the word.
    pub text: &'a str,
    /// The column of its first character.
    pub column: usize,
}

/// The words of one line and the comment at its end.
#[derive(Debug)]
pub struct RuleLine<'a> {
    number: usize,
    end: usize,
    words: Vec<LineWord<'a>>,
    next: usize,
    /// The text behind `#`, without surrounding space.
    pub comment: Option<&'a str>,
}

impl<'a> RuleLine<'a> {
    /// Splits `text`, which stands on line `number` of the file.
    pub fn split(number: usize, text: &'a str) -> Self {
        let (rule, comment) = match text.split_once('#') {
            Some((rule, comment)) => (rule, Some(comment.trim())),
            None => (text, None),
        };
        Self {
            number,
            end: rule.trim_end().chars().count() + 1,
            words: split_words(rule),
            next: 0,
            comment,
        }
    }

    /// Returns the number of the line, from 1.
    pub fn number(&self) -> usize {
        self.number
    }

    /// Returns the column of the word at `position`, from 0, or of the end.
    pub fn column(&self, position: usize) -> usize {
        self.words
            .get(position)
            .map_or(self.end, |word| word.column)
    }

    /// Returns whether the line holds no rule.
    pub fn is_blank(&self) -> bool {
        self.words.is_empty()
    }

    /// Returns the next word, or nothing at the end of the line.
    pub fn take(&mut self) -> Option<LineWord<'a>> {
        let word = self.words.get(self.next).copied()?;
        self.next += 1;
        Some(word)
    }

    /// Returns the next word.
    ///
    /// # Errors
    ///
    /// Returns an error that names `expected` at the end of the line.
    pub fn expect(&mut self, expected: &str) -> Result<LineWord<'a>, RuleError> {
        self.take()
            .ok_or_else(|| self.error_at(self.end, format!("{expected} is missing"), "add it"))
    }

    /// Returns the next word as a value.
    ///
    /// # Errors
    ///
    /// Returns an error that names `expected` when the word is missing or is no
    /// such value.
    pub fn expect_value<T: FromStr>(&mut self, expected: &str) -> Result<T, RuleError> {
        let word = self.expect(expected)?;
        self.value(word, expected)
    }

    /// Reads a word as a value.
    ///
    /// # Errors
    ///
    /// Returns an error that names `expected` when the word is no such value.
    pub fn value<T: FromStr>(&self, word: LineWord<'_>, expected: &str) -> Result<T, RuleError> {
        word.text.parse().map_err(|_| {
            let message = format!("\"{}\" is not {expected}", word.text);
            self.error(word, message, &format!("write {expected}"))
        })
    }

    /// Returns an error at a word.
    pub fn error(&self, word: LineWord<'_>, message: impl Into<String>, hint: &str) -> RuleError {
        self.error_at(word.column, message, hint)
    }

    /// Returns an error at a column.
    pub fn error_at(&self, column: usize, message: impl Into<String>, hint: &str) -> RuleError {
        RuleError {
            line: self.number,
            column,
            message: message.into(),
            hint: hint.to_owned(),
        }
    }

    /// Returns an error behind the last word.
    pub fn error_at_end(&self, message: impl Into<String>, hint: &str) -> RuleError {
        self.error_at(self.end, message, hint)
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
