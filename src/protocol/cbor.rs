//! CBOR bodies: encoding, decoding, and helpers that accept numbers in integer and in floating-point form.

use ciborium::Value;
use serde::de::{DeserializeOwned, Error as _, Visitor};
use serde::{Deserializer, Serialize};

/// A body that is not valid CBOR, or does not contain a message of the expected type.
#[derive(Debug, thiserror::Error)]
#[error("not the expected CBOR: {0}")]
pub struct CborError(String);

/// A message that can't be encoded as CBOR.
#[derive(Debug, thiserror::Error)]
#[error("cannot be written as CBOR: {0}")]
pub struct EncodeError(String);

/// Maximum nesting depth of a received message; no message of the protocol is nested more deeply.
const MAX_DEPTH: usize = 32;
/// Initial buffer size, which is enough for most messages.
const INITIAL_BODY_BYTES: usize = 256;

/// Encodes a message.
///
/// # Errors
/// If the serialization of the message fails.
pub fn try_encode<T: Serialize>(message: &T) -> Result<Vec<u8>, EncodeError> {
    let mut body = Vec::with_capacity(INITIAL_BODY_BYTES);
    ciborium::into_writer(message, &mut body).map_err(|error| EncodeError(error.to_string()))?;
    Ok(body)
}

/// Encodes a message of this program. Such a message can always be encoded; if that fails nevertheless, logs the error
/// and returns an empty body, which no receiver accepts.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    try_encode(message).unwrap_or_else(|error| {
        tracing::error!(%error, message = std::any::type_name::<T>(), "message could not be encoded");
        Vec::new()
    })
}

/// Decodes a message. Rejects a message that is nested more deeply than any message of the protocol, and bytes after
/// the message.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, CborError> {
    let mut rest = body;
    let message = ciborium::de::from_reader_with_recursion_limit(&mut rest, MAX_DEPTH)
        .map_err(|error| CborError(error.to_string()))?;
    if rest.is_empty() {
        Ok(message)
    } else {
        Err(CborError(format!("{} bytes too many", rest.len())))
    }
}

/// Converts a record of this program to a value for the state service; null if the serialization fails.
pub fn to_value<T: Serialize>(message: &T) -> Value {
    Value::serialized(message).unwrap_or(Value::Null)
}

/// Converts a value from the state service to a record of this program.
pub fn from_value<T: DeserializeOwned>(value: &Value) -> Result<T, CborError> {
    value
        .deserialized()
        .map_err(|error| CborError(error.to_string()))
}

/// Upper bound of the number of bytes of a value as JSON, the form in which the protocol counts its limits. Valid for
/// all values that this program writes. Each floating-point number counts with the length of the longest one.
pub fn json_size(value: &Value) -> usize {
    match value {
        Value::Null | Value::Bool(_) => 5,
        Value::Integer(number) => i128::from(*number).to_string().len(),
        Value::Float(_) => 24,
        Value::Text(text) => text.len() + 2 + text.chars().filter(|c| "\"\\".contains(*c)).count(),
        Value::Array(items) => 2 + items.iter().map(|item| json_size(item) + 1).sum::<usize>(),
        Value::Map(items) => {
            2 + items
                .iter()
                .map(|(key, item)| json_size(key) + json_size(item) + 2)
                .sum::<usize>()
        }
        _ => 24,
    }
}

/// Accepts a number in floating-point or integer form.
struct Number;

impl Visitor<'_> for Number {
    type Value = f64;

    fn expecting(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str("a number")
    }
    fn visit_f64<E>(self, number: f64) -> Result<f64, E> {
        Ok(number)
    }
    fn visit_u64<E>(self, number: u64) -> Result<f64, E> {
        Ok(number as f64)
    }
    fn visit_i64<E>(self, number: i64) -> Result<f64, E> {
        Ok(number as f64)
    }
}

/// For `serde(deserialize_with)`: reads a finite number in floating-point or integer form.
pub fn amount<'de, D: Deserializer<'de>>(source: D) -> Result<f64, D::Error> {
    let number = source.deserialize_any(Number)?;
    if number.is_finite() {
        Ok(number)
    } else {
        Err(D::Error::custom("a number that is not finite"))
    }
}

/// For `serde(deserialize_with)`: reads a number like [`amount`] does, or null as `None`.
pub fn optional_amount<'de, D: Deserializer<'de>>(source: D) -> Result<Option<f64>, D::Error> {
    struct Optional;
    impl<'de> Visitor<'de> for Optional {
        type Value = Option<f64>;
        fn expecting(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
            f.write_str("a number or null")
        }
        fn visit_none<E>(self) -> Result<Option<f64>, E> {
            Ok(None)
        }
        fn visit_unit<E>(self) -> Result<Option<f64>, E> {
            Ok(None)
        }
        fn visit_some<D: Deserializer<'de>>(self, source: D) -> Result<Option<f64>, D::Error> {
            amount(source).map(Some)
        }
    }
    source.deserialize_option(Optional)
}
