//! Reads the tables of a TOML text field by field and collects every error with its
//! position. A derived deserializer would stop at the first error.

use crate::units::BadUnit;
use std::collections::BTreeSet;
use std::fmt;
use std::ops::Range;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// An error in a document, with its position and remedy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ValidationError {
    /// Line, counted from 1.
    pub line: usize,
    /// Column in characters, counted from 1.
    pub column: usize,
    /// Path of the field, such as `request[2].deadline`; empty for the whole document.
    pub field: Box<str>,
    /// Description of the error and its remedy.
    pub message: Box<str>,
}

impl fmt::Display for ValidationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}, column {}: ", self.line, self.column)?;
        if !self.field.is_empty() {
            write!(f, "{}: ", self.field)?;
        }
        f.write_str(&self.message)
    }
}

/// All errors found in one document.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ValidationErrors(pub Vec<ValidationError>);

impl fmt::Display for ValidationErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, error) in self.0.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            error.fmt(f)?;
        }
        Ok(())
    }
}

impl std::error::Error for ValidationErrors {}

/// Collects errors while a document is read.
#[derive(Debug)]
pub(crate) struct ErrorCollector<'a> {
    text: &'a str,
    errors: Vec<ValidationError>,
}

impl<'a> ErrorCollector<'a> {
    pub(crate) fn new(text: &'a str) -> Self {
        Self { text, errors: Vec::new() }
    }

    pub(crate) fn add(&mut self, offset: usize, field: &str, message: impl Into<Box<str>>) {
        let before = self.text.get(..offset).unwrap_or(self.text);
        let line = before.matches('\n').count() + 1;
        let column = before.rsplit('\n').next().unwrap_or_default().chars().count() + 1;
        self.errors.push(ValidationError {
            line,
            column,
            field: field.into(),
            message: message.into(),
        });
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.errors.is_empty()
    }

    pub(crate) fn finish(mut self) -> ValidationErrors {
        self.errors.sort_by_key(|error| (error.line, error.column));
        ValidationErrors(self.errors)
    }
}

/// A TOML table whose fields are read by name; fields that were never read are errors.
pub(crate) struct Section<'t, 'i> {
    table: &'t DeTable<'i>,
    path: String,
    start: usize,
    known_fields: BTreeSet<&'static str>,
}

impl<'t, 'i> Section<'t, 'i> {
    pub(crate) fn new(table: &'t DeTable<'i>, path: String, start: usize) -> Self {
        Self { table, path, start, known_fields: BTreeSet::new() }
    }

    pub(crate) fn start(&self) -> usize {
        self.start
    }

    pub(crate) fn path(&self, name: &str) -> String {
        if self.path.is_empty() { name.into() } else { format!("{}.{name}", self.path) }
    }

    fn lookup(&mut self, name: &'static str) -> Option<&'t Spanned<DeValue<'i>>> {
        self.known_fields.insert(name);
        self.table.get(name)
    }

    /// Offset of a field, or of its table if the field is absent.
    pub(crate) fn offset(&self, name: &str) -> usize {
        self.table.get(name).map_or(self.start, |value| value.span().start)
    }

    pub(crate) fn add_error(
        &self,
        errors: &mut ErrorCollector<'_>,
        name: &str,
        message: impl Into<Box<str>>,
    ) {
        errors.add(self.offset(name), &self.path(name), message);
    }

    /// Reads an optional field with `read`; `None` if it is absent or invalid.
    pub(crate) fn optional<T>(
        &mut self,
        errors: &mut ErrorCollector<'_>,
        name: &'static str,
        read: impl FnOnce(&DeValue<'i>) -> Result<T, Box<str>>,
    ) -> Option<T> {
        let value = self.lookup(name)?;
        match read(value.get_ref()) {
            Ok(value) => Some(value),
            Err(what) => {
                self.add_error(errors, name, what);
                None
            }
        }
    }

    /// Like [`Section::optional`], but reports an error if the field is absent.
    pub(crate) fn required<T>(
        &mut self,
        errors: &mut ErrorCollector<'_>,
        name: &'static str,
        example: &str,
        read: impl FnOnce(&DeValue<'i>) -> Result<T, Box<str>>,
    ) -> Option<T> {
        if self.table.get(name).is_none() {
            self.known_fields.insert(name);
            self.add_error(errors, name, format!("is missing; add `{name} = {example}`"));
            return None;
        }
        self.optional(errors, name, read)
    }

    /// Reads a nested table.
    pub(crate) fn section(
        &mut self,
        errors: &mut ErrorCollector<'_>,
        name: &'static str,
    ) -> Option<Section<'t, 'i>> {
        let value = self.lookup(name)?;
        match value.get_ref() {
            DeValue::Table(table) => Some(Section::new(table, self.path(name), value.span().start)),
            other => {
                let what = format!("is a {}; write it as a table [{name}]", other.type_str());
                self.add_error(errors, name, what);
                None
            }
        }
    }

    /// Reads a nested array of tables, of which at most the first `max` are returned.
    pub(crate) fn sections(
        &mut self,
        errors: &mut ErrorCollector<'_>,
        name: &'static str,
        max: usize,
    ) -> Vec<Section<'t, 'i>> {
        let Some(value) = self.lookup(name) else { return Vec::new() };
        let DeValue::Array(array) = value.get_ref() else {
            self.add_error(
                errors,
                name,
                format!("is not an array; write each item as a table [[{name}]]"),
            );
            return Vec::new();
        };
        if array.len() > max {
            let what = format!("has {} items, the limit is {max}; split the service", array.len());
            self.add_error(errors, name, what);
        }
        let mut sections = Vec::new();
        for (index, item) in array.iter().take(max).enumerate() {
            let path = format!("{}[{index}]", self.path(name));
            match item.get_ref() {
                DeValue::Table(table) => {
                    sections.push(Section::new(table, path, item.span().start))
                }
                other => {
                    let what = format!("is a {}; write it as a table [[{name}]]", other.type_str());
                    errors.add(item.span().start, &path, what);
                }
            }
        }
        sections
    }

    /// Reports an error for each field that was not read.
    pub(crate) fn report_unknown_fields(self, errors: &mut ErrorCollector<'_>) {
        for key in self.table.keys() {
            let name: &str = key.get_ref();
            if !self.known_fields.contains(name) {
                let known: Vec<&str> = self.known_fields.iter().copied().collect();
                let what = format!("is not a known field; use one of {}", known.join(", "));
                let Range { start, .. } = key.span();
                errors.add(start, &self.path(name), what);
            }
        }
    }
}

pub(crate) fn string<'a>(value: &'a DeValue<'_>) -> Result<&'a str, Box<str>> {
    value.as_str().ok_or_else(|| format!("is a {}; write it in quotes", value.type_str()).into())
}

pub(crate) fn boolean(value: &DeValue<'_>) -> Result<bool, Box<str>> {
    value.as_bool().ok_or_else(|| format!("is a {}; write true or false", value.type_str()).into())
}

pub(crate) fn integer(value: &DeValue<'_>, min: u64, max: u64) -> Result<u64, Box<str>> {
    let invalid = || format!("must be a whole number from {min} to {max}").into();
    let digits = value.as_integer().ok_or_else(invalid)?;
    let number = i128::from_str_radix(&digits.as_str().replace('_', ""), digits.radix());
    let number = number.ok().and_then(|n| u64::try_from(n).ok()).ok_or_else(invalid)?;
    (min..=max).contains(&number).then_some(number).ok_or_else(invalid)
}

pub(crate) fn thousandths(value: &DeValue<'_>, max: u64) -> Result<u64, Box<str>> {
    let invalid =
        || format!("must be a number of at most three decimals, from 0.001 to {max}").into();
    let literal = match value {
        DeValue::Integer(digits) if digits.radix() == 10 => digits.as_str(),
        DeValue::Float(digits) => digits.as_str(),
        _ => return Err(invalid()),
    };
    let (units, fraction) = literal.split_once('.').unwrap_or((literal, "0"));
    let is_digits = |part: &str| !part.is_empty() && part.bytes().all(|b| b.is_ascii_digit());
    if !is_digits(units) || !is_digits(fraction) || fraction.len() > 3 {
        return Err(invalid());
    }
    let units: u64 = units.parse().map_err(|_| invalid())?;
    let fraction: u64 = format!("{fraction:0<3}").parse().map_err(|_| invalid())?;
    let total =
        units.checked_mul(1000).and_then(|n| n.checked_add(fraction)).ok_or_else(invalid)?;
    (1..=max * 1000).contains(&total).then_some(total).ok_or_else(invalid)
}

pub(crate) fn map_unit_error<T>(read: Result<T, BadUnit>) -> Result<T, Box<str>> {
    read.map_err(|error| error.to_string().into())
}
