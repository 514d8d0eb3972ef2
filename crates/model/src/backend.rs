//! Backend servers, which own keys and run the callers' requests.

use crate::name::name_type;

name_type! {
    /// Name of a backend server, unique within its service.
    Id
}
