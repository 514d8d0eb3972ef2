//! Identifiers of non-idempotent requests: UUIDs of version 7, which carry their time.

/// Bits below the time of a UUID of version 7.
const TIME_SHIFT: u32 = 80;
/// Bits below the version of a UUID.
const VERSION_SHIFT: u32 = 76;
/// Bits below the variant of a UUID.
const VARIANT_SHIFT: u32 = 62;

/// Returns the time of a UUID of version 7 in milliseconds since the Unix epoch.
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

/// Returns the least identifier of a time in milliseconds since the Unix epoch.
pub(crate) fn least(unix_ms: u64) -> u128 {
    u128::from(unix_ms) << TIME_SHIFT
}
