//! Services, which operators create and callers send requests to.

use crate::name::name_type;

name_type! {
    /// Name of a service, the first segment of a request's path.
    Id
}
