//! Services, the units that operators create and callers address.

use crate::name::name_type;

name_type! {
    /// Name of a service, the first segment of a request's path.
    Id
}
