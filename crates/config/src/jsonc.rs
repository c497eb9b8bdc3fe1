//! Deserialization of JSON with comments.

use serde::de::DeserializeOwned;
use std::path::Path;

/// An error from reading a file or text.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file could not be opened or is not UTF-8.
    #[error("{file}: {source}")]
    File {
        /// The file's path as given.
        file: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The text is not JSON, or a value has the wrong type.
    #[error("{file}:{line}:{column}: at `{key}`: {message}")]
    Value {
        /// The file's path, or a name for the text.
        file: String,
        /// Line, counted from 1.
        line: usize,
        /// Column, counted from 1.
        column: usize,
        /// Path of keys to the value; `.` is the whole document.
        key: String,
        /// Description of the error.
        message: String,
    },
}

/// Deserializes `text`; errors name `file` as its origin.
pub fn from_str<T: DeserializeOwned>(file: &str, text: &str) -> Result<T, Error> {
    let stripped = json_comments::StripComments::new(text.as_bytes());
    let mut reader = serde_json::Deserializer::from_reader(stripped);
    let value = serde_path_to_error::deserialize(&mut reader).map_err(|e| {
        let key = e.path().to_string();
        value_error(file, key, e.inner())
    })?;
    reader.end().map_err(|e| value_error(file, ".".into(), &e))?;
    Ok(value)
}

/// Deserializes the file at `path`.
pub fn from_path<T: DeserializeOwned>(path: &Path) -> Result<T, Error> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|source| Error::File { file: file.clone(), source })?;
    from_str(&file, &text)
}

fn value_error(file: &str, key: String, e: &serde_json::Error) -> Error {
    let text = e.to_string();
    // Drops the position, which the fields hold.
    let message = text.split(" at line ").next().unwrap_or(&text).to_owned();
    Error::Value { file: file.to_owned(), line: e.line(), column: e.column(), key, message }
}
