//! Reads typed values from a JSON document with comments and collects faults.
//!
//! A reader never stops at the first fault. A value that cannot be read is
//! reported and replaced by the default of its field, so that the rest of the
//! document is checked as well. [`parse`] returns the result only if there were
//! no faults.

use std::str::FromStr;

use jsonc_parser::CollectOptions;
use jsonc_parser::ParseOptions;
use jsonc_parser::ast::Object;
use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;

use super::fault::Fault;
use super::fault::Faults;

/// The longest document, in bytes, which is also the platform's limit.
const TEXT_MAX_BYTES: usize = 1 << 20;
/// The most fields that one object may have.
const FIELDS_MAX: usize = 4096;
/// The most faults that are kept of one document, so that their list stays short.
const FAULTS_MAX: usize = 256;
/// The longest part of a name or text that a fault quotes, in characters.
const QUOTE_MAX_CHARS: usize = 64;

/// Reads values of one document and collects its faults.
pub struct Reader<'a> {
    text: &'a str,
    faults: Vec<Fault>,
}

/// The fields of one object, read by name.
pub struct Fields<'a> {
    path: String,
    start: usize,
    entries: Vec<Field<'a>>,
}

struct Field<'a> {
    name: String,
    start: usize,
    value: &'a Value<'a>,
    is_read: bool,
}

/// The values that a field with a whole number may take.
#[derive(Clone, Copy, Debug)]
pub struct Range {
    /// The least value.
    pub min: u64,
    /// The greatest value.
    pub max: u64,
}

/// Parses the text and calls `read` with the fields of its root object.
pub fn parse<T>(
    text: &str,
    read: impl for<'a> FnOnce(&mut Reader<'a>, &mut Fields<'a>) -> T,
) -> Result<T, Faults> {
    if text.len() > TEXT_MAX_BYTES {
        let message = format!(
            "expected at most {TEXT_MAX_BYTES} bytes, found {}",
            text.len()
        );
        return Err(Faults(vec![whole_document_fault(1, message)]));
    }
    // Some editors start a file with a byte order mark.
    let text = text.strip_prefix('\u{feff}').unwrap_or(text);
    // Comments and trailing commas are the only extensions to JSON.
    let options = ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    };
    let parsed = match jsonc_parser::parse_to_ast(text, &CollectOptions::default(), &options) {
        Ok(parsed) => parsed,
        Err(error) => {
            let line = line_of(text, error.range().start);
            let message = format!("expected JSON with comments: {}", error.kind());
            return Err(Faults(vec![whole_document_fault(line, message)]));
        }
    };
    let mut reader = Reader {
        text,
        faults: Vec::new(),
    };
    let Some(Value::Object(object)) = &parsed.value else {
        reader.add_fault("$", 0, "expected an object".to_owned());
        return Err(Faults(reader.faults));
    };
    let mut fields = reader.fields("$".to_owned(), object);
    let result = read(&mut reader, &mut fields);
    reader.reject_unknown(&fields);
    reader.finish(result)
}

/// Decodes the bytes of a settings file as UTF-8.
///
/// # Errors
/// Returns a fault at the first line that is not UTF-8.
pub fn decode(bytes: &[u8]) -> Result<&str, Faults> {
    std::str::from_utf8(bytes).map_err(|error| {
        let valid = &bytes[..error.valid_up_to()];
        let line = valid.split(|byte| *byte == b'\n').count();
        Faults(vec![whole_document_fault(
            line,
            "expected UTF-8".to_owned(),
        )])
    })
}

fn whole_document_fault(line: usize, message: String) -> Fault {
    Fault {
        path: "$".to_owned(),
        line,
        message,
    }
}

impl<'a> Reader<'a> {
    /// Adds a fault at a byte offset of the document.
    pub fn add_fault(&mut self, path: &str, start: usize, message: String) {
        if self.faults.len() == FAULTS_MAX {
            let message = format!("there are more than {FAULTS_MAX} faults");
            self.faults.push(whole_document_fault(usize::MAX, message));
        }
        if self.faults.len() > FAULTS_MAX {
            return;
        }
        self.faults.push(Fault {
            path: path.to_owned(),
            line: line_of(self.text, start),
            message,
        });
    }

    /// Adds a fault for every field that was not read.
    pub fn reject_unknown(&mut self, fields: &Fields<'_>) {
        for field in fields.entries.iter().filter(|field| !field.is_read) {
            let path = format!("{}.{}", fields.path, quote(&field.name));
            self.add_fault(&path, field.start, "unknown field".to_owned());
        }
    }

    /// Reads a whole number in the range, or the default if the field is absent.
    pub fn number(
        &mut self,
        fields: &mut Fields<'a>,
        name: &str,
        range: Range,
        default: u64,
    ) -> u64 {
        match fields.take_field(name) {
            None => default,
            Some((path, value)) => self.integer(&path, value, range).unwrap_or(default),
        }
    }

    /// Reads a boolean, or the default if the field is absent.
    pub fn boolean(&mut self, fields: &mut Fields<'a>, name: &str, default: bool) -> bool {
        match fields.take_field(name) {
            None => default,
            Some((_, Value::BooleanLit(lit))) => lit.value,
            Some((path, value)) => {
                self.add_fault(&path, value.start(), "expected true or false".to_owned());
                default
            }
        }
    }

    /// Reads and parses a text; an absent field is a fault.
    ///
    /// `expected` describes the value in fault messages.
    pub fn text<T: FromStr>(
        &mut self,
        fields: &mut Fields<'a>,
        name: &str,
        expected: &str,
    ) -> Option<T> {
        if fields.contains_field(name) {
            return self.optional_text(fields, name, expected);
        }
        let path = format!("{}.{name}", fields.path);
        self.add_fault(&path, fields.start, format!("missing: expected {expected}"));
        None
    }

    /// Reads and parses a text, if the field is present.
    pub fn optional_text<T: FromStr>(
        &mut self,
        fields: &mut Fields<'a>,
        name: &str,
        expected: &str,
    ) -> Option<T> {
        let (path, value) = fields.take_field(name)?;
        self.parse_text(&path, value, expected)
    }

    /// Reads a list of distinct texts, parses and sorts them; an absent field is
    /// an empty list.
    pub fn texts<T>(&mut self, fields: &mut Fields<'a>, name: &str, expected: &str) -> Vec<T>
    where
        T: FromStr + Ord,
    {
        let mut values: Vec<T> = Vec::new();
        for (path, value) in self.items(fields, name) {
            let Some(text) = self.parse_text(&path, value, expected) else {
                continue;
            };
            match values.binary_search(&text) {
                Ok(_) => self.add_fault(&path, value.start(), "given twice".to_owned()),
                Err(index) => values.insert(index, text),
            }
        }
        values
    }

    /// Reads a list of objects; an absent field is an empty list.
    pub fn list(&mut self, fields: &mut Fields<'a>, name: &str) -> Vec<Fields<'a>> {
        let items = self.items(fields, name);
        let read = |(path, value): (String, &'a Value<'a>)| self.object(path, value);
        items.into_iter().filter_map(read).collect()
    }

    /// Reads an object of objects whose names are chosen by the operator; an
    /// absent field is an empty object.
    pub fn map(&mut self, fields: &mut Fields<'a>, name: &str) -> Vec<(String, Fields<'a>)> {
        let Some(mut entries) = self.object_field(fields, name) else {
            return Vec::new();
        };
        let mut objects = Vec::new();
        for field in &mut entries.entries {
            field.is_read = true;
            let path = format!("{}.{}", entries.path, quote(&field.name));
            let inner = self.object(path, field.value);
            objects.extend(inner.map(|inner| (field.name.clone(), inner)));
        }
        objects
    }

    /// Reads an inner object, if the field is present.
    pub fn object_field(&mut self, fields: &mut Fields<'a>, name: &str) -> Option<Fields<'a>> {
        let (path, value) = fields.take_field(name)?;
        self.object(path, value)
    }

    fn finish<T>(mut self, result: T) -> Result<T, Faults> {
        if self.faults.is_empty() {
            return Ok(result);
        }
        self.faults.sort_by_key(|fault| fault.line);
        if let Some(last) = self.faults.last_mut() {
            last.line = last.line.min(line_of(self.text, self.text.len()));
        }
        Err(Faults(self.faults))
    }

    fn items(&mut self, fields: &mut Fields<'a>, name: &str) -> Vec<(String, &'a Value<'a>)> {
        match fields.take_field(name) {
            None => Vec::new(),
            Some((path, Value::Array(array))) => {
                let indexed = array.elements.iter().enumerate();
                let with_path = |(index, value)| (format!("{path}[{index}]"), value);
                indexed.map(with_path).collect()
            }
            Some((path, value)) => {
                self.add_fault(&path, value.start(), "expected a list".to_owned());
                Vec::new()
            }
        }
    }

    fn object(&mut self, path: String, value: &'a Value<'a>) -> Option<Fields<'a>> {
        if let Value::Object(object) = value {
            return Some(self.fields(path, object));
        }
        self.add_fault(&path, value.start(), "expected an object".to_owned());
        None
    }

    fn fields(&mut self, path: String, object: &'a Object<'a>) -> Fields<'a> {
        let mut fields: Vec<Field<'a>> = Vec::new();
        if object.properties.len() > FIELDS_MAX {
            let message = format!("expected at most {FIELDS_MAX} fields");
            self.add_fault(&path, object.start(), message);
        }
        for property in object.properties.iter().take(FIELDS_MAX) {
            let name = property.name.as_str().to_owned();
            let start = property.start();
            if fields.iter().any(|field| field.name == name) {
                let path = format!("{path}.{}", quote(&name));
                self.add_fault(&path, start, "given twice".to_owned());
                continue;
            }
            fields.push(Field {
                name,
                start,
                value: &property.value,
                is_read: false,
            });
        }
        Fields {
            path,
            start: object.start(),
            entries: fields,
        }
    }

    fn integer(&mut self, path: &str, value: &Value<'_>, range: Range) -> Option<u64> {
        let parsed = match value {
            Value::NumberLit(lit) => lit.value.parse().ok(),
            _ => None,
        };
        let Range { min, max } = range;
        let number = parsed.filter(|number| (min..=max).contains(number));
        if number.is_none() {
            let message = format!("expected a whole number from {min} to {max}");
            self.add_fault(path, value.start(), message);
        }
        number
    }

    fn parse_text<T: FromStr>(
        &mut self,
        path: &str,
        value: &Value<'_>,
        expected: &str,
    ) -> Option<T> {
        let parsed = match value {
            Value::StringLit(lit) => lit.value.parse().ok(),
            _ => None,
        };
        if parsed.is_none() {
            self.add_fault(path, value.start(), format!("expected {expected}"));
        }
        parsed
    }
}

impl<'a> Fields<'a> {
    /// Returns the path of the object, for faults about the object as a whole.
    #[must_use]
    pub fn path(&self) -> &str {
        &self.path
    }

    /// Returns the byte offset of the object, for faults about it as a whole.
    #[must_use]
    pub fn start(&self) -> usize {
        self.start
    }

    /// Returns the path of a field and the byte offset of its value, or of the
    /// object if the field is absent.
    #[must_use]
    pub fn position(&self, name: &str) -> (String, usize) {
        let field = self.entries.iter().find(|field| field.name == name);
        let start = field.map_or(self.start, |field| field.value.start());
        (format!("{}.{name}", self.path), start)
    }

    /// Returns the length of a list: zero if the field is absent, and `None` if
    /// it is not a list.
    #[must_use]
    pub fn list_len(&self, name: &str) -> Option<usize> {
        let field = self.entries.iter().find(|field| field.name == name);
        match field.map(|field| field.value) {
            None => Some(0),
            Some(Value::Array(array)) => Some(array.elements.len()),
            Some(_) => None,
        }
    }

    /// Returns the sorted names of the fields of an inner object, including
    /// fields that are faulty.
    #[must_use]
    pub fn child_names(&self, name: &str) -> Vec<String> {
        let field = self.entries.iter().find(|field| field.name == name);
        let Some(Value::Object(object)) = field.map(|field| field.value) else {
            return Vec::new();
        };
        let properties = object.properties.iter();
        let mut names: Vec<String> = properties
            .map(|property| property.name.as_str().to_owned())
            .collect();
        names.sort();
        names
    }

    fn contains_field(&self, name: &str) -> bool {
        self.entries.iter().any(|field| field.name == name)
    }

    fn take_field(&mut self, name: &str) -> Option<(String, &'a Value<'a>)> {
        let field = self.entries.iter_mut().find(|field| field.name == name)?;
        field.is_read = true;
        Some((format!("{}.{name}", self.path), field.value))
    }
}

/// Truncates an operator's text and escapes characters that are not printable,
/// so that a fault is one line of bounded length.
pub fn quote(text: &str) -> String {
    let mut quoted: String = text
        .chars()
        .take(QUOTE_MAX_CHARS)
        .flat_map(char::escape_debug)
        .collect();
    if text.chars().nth(QUOTE_MAX_CHARS).is_some() {
        quoted.push_str("...");
    }
    quoted
}

fn line_of(text: &str, start: usize) -> usize {
    let head = text.get(..start).unwrap_or(text);
    1 + head.matches('\n').count()
}
