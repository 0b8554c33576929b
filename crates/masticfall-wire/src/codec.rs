//! CBOR encoding of messages and rows.

use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};

/// A failure to encode or decode.
#[derive(Debug, Snafu)]
pub enum CodecError {
    /// The value cannot be expressed in CBOR.
    #[snafu(display("cannot encode a value as CBOR"))]
    Encode {
        /// The codec's error.
        source: ciborium::ser::Error<std::io::Error>,
    },
    /// The bytes are not the CBOR of the expected type.
    #[snafu(display("cannot decode {} bytes of CBOR", length_bytes))]
    Decode {
        /// Length of the input.
        length_bytes: usize,
        /// The codec's error.
        source: ciborium::de::Error<std::io::Error>,
    },
}

/// Result of encoding and decoding.
pub type Result<T> = std::result::Result<T, CodecError>;

/// Encodes a value.
///
/// # Errors
/// [`CodecError::Encode`] when the value cannot be expressed.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).context(EncodeSnafu)?;
    Ok(bytes)
}

/// Decodes a value.
///
/// # Errors
/// [`CodecError::Decode`] when the bytes are not of the type.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    ciborium::from_reader(bytes).context(DecodeSnafu { length_bytes: bytes.len() })
}
