//! Regions to which the requests of a route are restricted.

use smallvec::SmallVec;

/// Regions whose backend servers may process a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Homes(Option<SmallVec<[String; 2]>>);

impl Homes {
    /// Returns homes that allow every region.
    #[must_use]
    pub const fn anywhere() -> Self {
        Self(None)
    }

    /// Returns homes that allow only the given regions, or none if there are none.
    ///
    /// ```
    /// use tarragon_dispatch::homes::Homes;
    ///
    /// let homes = Homes::only(["north".to_owned()]);
    /// assert!(homes.allow(Some("north")));
    /// assert!(!homes.allow(Some("south")));
    /// assert!(!homes.allow(None));
    /// assert!(Homes::anywhere().allow(None));
    /// ```
    #[must_use]
    pub fn only(regions: impl IntoIterator<Item = String>) -> Self {
        Self(Some(regions.into_iter().collect()))
    }

    /// Returns whether a backend server in `region` may process the request.
    ///
    /// A server whose region is not known is in none of the homes.
    #[must_use]
    pub fn allow(&self, region: Option<&str>) -> bool {
        self.0.as_ref().is_none_or(|regions| {
            region.is_some_and(|region| regions.iter().any(|home| home == region))
        })
    }

    /// Returns the regions, or `None` if every region is allowed.
    #[must_use]
    pub fn regions(&self) -> Option<&[String]> {
        self.0.as_deref()
    }

    /// Returns the homes that allow what both these and `other` allow.
    #[must_use]
    pub fn intersection(&self, other: &Self) -> Self {
        match (&self.0, &other.0) {
            (None, _) => other.clone(),
            (_, None) => self.clone(),
            (Some(regions), Some(_)) => {
                let both = regions.iter().filter(|region| other.allow(Some(region)));
                Self::only(both.cloned())
            }
        }
    }
}
