//! Identifiers of non-idempotent requests: version 7 UUIDs, which embed a timestamp.

/// Number of bits below the timestamp of a version 7 UUID.
const TIME_SHIFT: u32 = 80;
/// Number of bits below the version of a UUID.
const VERSION_SHIFT: u32 = 76;
/// Number of bits below the variant of a UUID.
const VARIANT_SHIFT: u32 = 62;

/// Returns the timestamp of a version 7 UUID in milliseconds since the Unix epoch,
/// or `None` for any other identifier.
///
/// ```
/// use tarragon_ledger::identifier::unix_ms;
///
/// assert_eq!(unix_ms(0x0190_0000_0000_7000_8000_0000_0000_0000), Some(0x0190_0000_0000));
/// assert_eq!(unix_ms(0x0190_0000_0000_4000_8000_0000_0000_0000), None);
/// ```
#[must_use]
pub fn unix_ms(id: u128) -> Option<u64> {
    let version = (id >> VERSION_SHIFT) & 0xf;
    let variant = (id >> VARIANT_SHIFT) & 0b11;
    if version != 7 || variant != 0b10 {
        return None;
    }
    u64::try_from(id >> TIME_SHIFT).ok()
}

/// Returns the lower bound of all identifiers with a timestamp of `unix_ms` or later.
pub(crate) fn lower_bound(unix_ms: u64) -> u128 {
    u128::from(unix_ms) << TIME_SHIFT
}
