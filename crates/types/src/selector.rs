//! Selectors: boolean conditions on labels, written as text.
//!
//! A selector is a comma-separated list of requirements that must all be met:
//! `team=desk`, `team!=desk`, `tier in (gold, silver)`, `tier notin (bronze)`, `archive` (is set),
//! `!archive` (is not set). The empty selector matches everything.

use crate::{Labels, Name};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::{fmt, str::FromStr};

/// A condition on labels.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Selector {
    text: String,
    terms: Vec<Term>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Term {
    In(Name, Vec<Name>),
    NotIn(Name, Vec<Name>),
    Set(Name),
    Unset(Name),
}

/// Why a text is not a valid selector.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A key or value is empty or contains a character outside `A-Za-z0-9-_./@`.
    #[error("`{0}` is no label key or value: use letters, digits and -_./@")]
    InvalidName(String),
    /// A requirement with spaces is not `KEY in (...)` or `KEY notin (...)`.
    #[error("`{0}`: expected a list of values in parentheses")]
    InvalidList(String),
}

impl Selector {
    /// Whether `labels` meet all requirements.
    pub fn matches(&self, labels: &Labels) -> bool {
        self.terms.iter().all(|term| term.matches(labels))
    }

    /// Returns the selector as it was written.
    pub fn as_str(&self) -> &str {
        &self.text
    }
}

impl Term {
    fn matches(&self, labels: &Labels) -> bool {
        match self {
            Term::In(key, values) => labels.get(key).is_some_and(|v| values.contains(v)),
            Term::NotIn(key, values) => !labels.get(key).is_some_and(|v| values.contains(v)),
            Term::Set(key) => labels.get(key).is_some(),
            Term::Unset(key) => labels.get(key).is_none(),
        }
    }

    fn parse(text: &str) -> Result<Self, Error> {
        let text = text.trim();
        if let Some((key, value)) = text.split_once("!=") {
            return Ok(Term::NotIn(parse_name(key)?, vec![parse_name(value)?]));
        }
        if let Some((key, value)) = text.split_once('=') {
            let value = value.strip_prefix('=').unwrap_or(value);
            return Ok(Term::In(parse_name(key)?, vec![parse_name(value)?]));
        }
        if let Some((key, rest)) = text.split_once(char::is_whitespace) {
            return Self::parse_list(text, key, rest.trim());
        }
        match text.strip_prefix('!') {
            Some(key) => Ok(Term::Unset(parse_name(key)?)),
            None => Ok(Term::Set(parse_name(text)?)),
        }
    }

    fn parse_list(text: &str, key: &str, rest: &str) -> Result<Self, Error> {
        let error = || Error::InvalidList(text.to_owned());
        let (op, list) = rest.split_once('(').ok_or_else(error)?;
        let list = list.strip_suffix(')').ok_or_else(error)?;
        let values = list.split(',').map(parse_name).collect::<Result<_, _>>()?;
        match op.trim() {
            "in" => Ok(Term::In(parse_name(key)?, values)),
            "notin" => Ok(Term::NotIn(parse_name(key)?, values)),
            _ => Err(error()),
        }
    }
}

/// Parses a label key or value.
fn parse_name(text: &str) -> Result<Name, Error> {
    let text = text.trim();
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_./@".contains(c);
    if text.is_empty() || !text.chars().all(is_allowed) {
        return Err(Error::InvalidName(text.to_owned()));
    }
    Ok(text.into())
}

/// Splits `text` at commas outside parentheses.
fn split_terms(text: &str) -> Vec<&str> {
    let mut terms = Vec::new();
    let mut depth = 0_i32;
    let mut start = 0;
    for (index, c) in text.char_indices() {
        match c {
            '(' => depth += 1,
            ')' => depth -= 1,
            ',' if depth == 0 => {
                terms.push(&text[start..index]);
                start = index + 1;
            }
            _ => {}
        }
    }
    terms.push(&text[start..]);
    terms
}

impl FromStr for Selector {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        if text.trim().is_empty() {
            return Ok(Self::default());
        }
        let terms = split_terms(text).into_iter().map(Term::parse).collect::<Result<_, _>>()?;
        Ok(Self { text: text.to_owned(), terms })
    }
}

impl fmt::Display for Selector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

impl Serialize for Selector {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&self.text)
    }
}

impl<'de> Deserialize<'de> for Selector {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}
