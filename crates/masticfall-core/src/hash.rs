//! A hash that is the same in every process, for choices that processes must agree on.

/// Returns the 64-bit FNV-1a hash, which spreads sequential identifiers, too.
pub fn fnv_1a(bytes: impl Iterator<Item = u8>) -> u64 {
    bytes.fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
