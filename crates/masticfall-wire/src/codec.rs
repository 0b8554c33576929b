//! CBOR encoding of messages and rows.

use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};

/// Error of encoding or decoding.
#[derive(Debug, Snafu)]
pub enum CodecError {
    /// The value cannot be expressed in CBOR.
    #[snafu(display("cannot encode a value as CBOR"))]
    Encode {
        /// The codec's error.
        source: ciborium::ser::Error<std::io::Error>,
    },
    /// The bytes are not valid CBOR of the expected type.
    #[snafu(display("cannot decode {} bytes of CBOR", length_bytes))]
    Decode {
        /// Length of the input.
        length_bytes: usize,
        /// The codec's error.
        source: ciborium::de::Error<std::io::Error>,
    },
}

/// Result of encoding or decoding.
pub type Result<T> = std::result::Result<T, CodecError>;

/// Encodes a value as CBOR.
///
/// # Errors
/// Returns [`CodecError::Encode`] if the value cannot be expressed in CBOR.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).context(EncodeSnafu)?;
    Ok(bytes)
}

/// Decodes a value from CBOR.
///
/// # Errors
/// Returns [`CodecError::Decode`] if the bytes are not valid CBOR of type `T`.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    ciborium::from_reader(bytes).context(DecodeSnafu { length_bytes: bytes.len() })
}
