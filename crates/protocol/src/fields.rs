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
    pub what: Box<str>,
}

impl fmt::Display for ValidationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}, column {}: ", self.line, self.column)?;
        if !self.field.is_empty() {
            write!(f, "{}: ", self.field)?;
        }
        f.write_str(&self.what)
    }
}

/// All errors found in one document.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ValidationErrors(pub Vec<ValidationError>);

impl fmt::Display for ValidationErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, fault) in self.0.iter().enumerate() {
            if at > 0 {
                f.write_str("\n")?;
            }
            fault.fmt(f)?;
        }
        Ok(())
    }
}

impl std::error::Error for ValidationErrors {}

/// Collects errors while a document is read.
#[derive(Debug)]
pub(crate) struct Collector<'a> {
    text: &'a str,
    faults: Vec<ValidationError>,
}

impl<'a> Collector<'a> {
    pub(crate) fn new(text: &'a str) -> Self {
        Self { text, faults: Vec::new() }
    }

    pub(crate) fn add(&mut self, at: usize, field: &str, what: impl Into<Box<str>>) {
        let before = self.text.get(..at).unwrap_or(self.text);
        let line = before.matches('\n').count() + 1;
        let column = before.rsplit('\n').next().unwrap_or_default().chars().count() + 1;
        self.faults.push(ValidationError { line, column, field: field.into(), what: what.into() });
    }

    pub(crate) fn is_clean(&self) -> bool {
        self.faults.is_empty()
    }

    pub(crate) fn finish(mut self) -> ValidationErrors {
        self.faults.sort_by_key(|fault| (fault.line, fault.column));
        ValidationErrors(self.faults)
    }
}

/// A TOML table whose fields are read by name; fields that were never read are errors.
pub(crate) struct Section<'t, 'i> {
    table: &'t DeTable<'i>,
    path: String,
    start: usize,
    taken: BTreeSet<&'static str>,
}

impl<'t, 'i> Section<'t, 'i> {
    pub(crate) fn new(table: &'t DeTable<'i>, path: String, start: usize) -> Self {
        Self { table, path, start, taken: BTreeSet::new() }
    }

    pub(crate) fn start(&self) -> usize {
        self.start
    }

    pub(crate) fn path(&self, name: &str) -> String {
        if self.path.is_empty() { name.into() } else { format!("{}.{name}", self.path) }
    }

    fn take(&mut self, name: &'static str) -> Option<&'t Spanned<DeValue<'i>>> {
        self.taken.insert(name);
        self.table.get(name)
    }

    /// Offset of a field, or of its table if the field is absent.
    pub(crate) fn place(&self, name: &str) -> usize {
        self.table.get(name).map_or(self.start, |value| value.span().start)
    }

    pub(crate) fn fault(&self, out: &mut Collector<'_>, name: &str, what: impl Into<Box<str>>) {
        out.add(self.place(name), &self.path(name), what);
    }

    /// Reads an optional field with `read`; `None` if it is absent or invalid.
    pub(crate) fn optional<T>(
        &mut self,
        out: &mut Collector<'_>,
        name: &'static str,
        read: impl FnOnce(&DeValue<'i>) -> Result<T, Box<str>>,
    ) -> Option<T> {
        let value = self.take(name)?;
        match read(value.get_ref()) {
            Ok(value) => Some(value),
            Err(what) => {
                self.fault(out, name, what);
                None
            }
        }
    }

    /// Like [`Section::optional`], but reports an error if the field is absent.
    pub(crate) fn required<T>(
        &mut self,
        out: &mut Collector<'_>,
        name: &'static str,
        example: &str,
        read: impl FnOnce(&DeValue<'i>) -> Result<T, Box<str>>,
    ) -> Option<T> {
        if self.table.get(name).is_none() {
            self.taken.insert(name);
            self.fault(out, name, format!("is missing; add `{name} = {example}`"));
            return None;
        }
        self.optional(out, name, read)
    }

    /// Reads a nested table.
    pub(crate) fn section(
        &mut self,
        out: &mut Collector<'_>,
        name: &'static str,
    ) -> Option<Section<'t, 'i>> {
        let value = self.take(name)?;
        match value.get_ref() {
            DeValue::Table(table) => Some(Section::new(table, self.path(name), value.span().start)),
            other => {
                let what = format!("is a {}; write it as a table [{name}]", other.type_str());
                self.fault(out, name, what);
                None
            }
        }
    }

    /// Reads a nested array of tables, of which at most the first `most` are returned.
    pub(crate) fn sections(
        &mut self,
        out: &mut Collector<'_>,
        name: &'static str,
        most: usize,
    ) -> Vec<Section<'t, 'i>> {
        let Some(value) = self.take(name) else { return Vec::new() };
        let DeValue::Array(array) = value.get_ref() else {
            self.fault(
                out,
                name,
                format!("is not an array; write each item as a table [[{name}]]"),
            );
            return Vec::new();
        };
        if array.len() > most {
            let what = format!("has {} items, the limit is {most}; split the service", array.len());
            self.fault(out, name, what);
        }
        let mut found = Vec::new();
        for (at, item) in array.iter().take(most).enumerate() {
            let path = format!("{}[{at}]", self.path(name));
            match item.get_ref() {
                DeValue::Table(table) => found.push(Section::new(table, path, item.span().start)),
                other => {
                    let what = format!("is a {}; write it as a table [[{name}]]", other.type_str());
                    out.add(item.span().start, &path, what);
                }
            }
        }
        found
    }

    /// Reports an error for each field that was not read.
    pub(crate) fn close(self, out: &mut Collector<'_>) {
        for key in self.table.keys() {
            let name: &str = key.get_ref();
            if !self.taken.contains(name) {
                let known: Vec<&str> = self.taken.iter().copied().collect();
                let what = format!("is not a known field; use one of {}", known.join(", "));
                let Range { start, .. } = key.span();
                out.add(start, &self.path(name), what);
            }
        }
    }
}

pub(crate) fn text<'a>(value: &'a DeValue<'_>) -> Result<&'a str, Box<str>> {
    value.as_str().ok_or_else(|| format!("is a {}; write it in quotes", value.type_str()).into())
}

pub(crate) fn flag(value: &DeValue<'_>) -> Result<bool, Box<str>> {
    value.as_bool().ok_or_else(|| format!("is a {}; write true or false", value.type_str()).into())
}

pub(crate) fn whole(value: &DeValue<'_>, least: u64, most: u64) -> Result<u64, Box<str>> {
    let wrong = || format!("must be a whole number from {least} to {most}").into();
    let digits = value.as_integer().ok_or_else(wrong)?;
    let number = i128::from_str_radix(&digits.as_str().replace('_', ""), digits.radix());
    let number = number.ok().and_then(|n| u64::try_from(n).ok()).ok_or_else(wrong)?;
    (least..=most).contains(&number).then_some(number).ok_or_else(wrong)
}

pub(crate) fn thousandths(value: &DeValue<'_>, most: u64) -> Result<u64, Box<str>> {
    let wrong =
        || format!("must be a number of at most three decimals, from 0.001 to {most}").into();
    let written = match value {
        DeValue::Integer(digits) if digits.radix() == 10 => digits.as_str(),
        DeValue::Float(digits) => digits.as_str(),
        _ => return Err(wrong()),
    };
    let (units, decimals) = written.split_once('.').unwrap_or((written, "0"));
    let plain = |part: &str| !part.is_empty() && part.bytes().all(|b| b.is_ascii_digit());
    if !plain(units) || !plain(decimals) || decimals.len() > 3 {
        return Err(wrong());
    }
    let units: u64 = units.parse().map_err(|_| wrong())?;
    let decimals: u64 = format!("{decimals:0<3}").parse().map_err(|_| wrong())?;
    let all = units.checked_mul(1000).and_then(|n| n.checked_add(decimals)).ok_or_else(wrong)?;
    (1..=most * 1000).contains(&all).then_some(all).ok_or_else(wrong)
}

pub(crate) fn unit<T>(read: Result<T, BadUnit>) -> Result<T, Box<str>> {
    read.map_err(|bad| bad.to_string().into())
}
