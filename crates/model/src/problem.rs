//! Problems found in a document, located by their path within it.

use std::fmt;

use smallvec::SmallVec;

/// Path from the root of a document to one value.
pub type Path = SmallVec<[Segment; 6]>;

/// One segment of a [`Path`], from a value to a value that it contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Segment {
    /// Name of an object's field.
    Field(&'static str),
    /// Index of an array's element, from zero.
    Index(usize),
}

/// One problem found in a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Path of the value that has the problem.
    pub path: Path,
    /// Description of the problem.
    pub message: String,
    /// Advice on how to fix it.
    pub advice: String,
}

impl Problem {
    /// Creates a problem with the value at `path`.
    ///
    /// ```
    /// use tarragon_model::problem::{Problem, Segment};
    ///
    /// let path = [Segment::Field("places"), Segment::Index(1)];
    /// let problem = Problem::new(&path, "empty name", "give the place a name");
    /// assert_eq!(problem.to_string(), "places[1]: empty name; give the place a name");
    /// ```
    #[must_use]
    pub fn new(path: &[Segment], message: impl Into<String>, advice: impl Into<String>) -> Self {
        Self {
            path: Path::from_slice(path),
            message: message.into(),
            advice: advice.into(),
        }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (depth, segment) in self.path.iter().enumerate() {
            match segment {
                Segment::Field(name) if depth == 0 => f.write_str(name)?,
                Segment::Field(name) => write!(f, ".{name}")?,
                Segment::Index(index) => write!(f, "[{index}]")?,
            }
        }
        if !self.path.is_empty() {
            f.write_str(": ")?;
        }
        write!(f, "{}; {}", self.message, self.advice)
    }
}

/// Collects the problems found in one part of a document.
pub(crate) struct Report<'a> {
    problems: &'a mut Vec<Problem>,
    path: Path,
}

impl<'a> Report<'a> {
    /// Creates a report on the root of a document.
    pub(crate) fn new(problems: &'a mut Vec<Problem>) -> Self {
        Self {
            problems,
            path: Path::new(),
        }
    }

    /// Returns a report on a field of this part.
    pub(crate) fn field(&mut self, name: &'static str) -> Report<'_> {
        self.descend(Segment::Field(name))
    }

    /// Returns a report on an array element of this part.
    pub(crate) fn index(&mut self, index: usize) -> Report<'_> {
        self.descend(Segment::Index(index))
    }

    fn descend(&mut self, segment: Segment) -> Report<'_> {
        let mut path = self.path.clone();
        path.push(segment);
        Report {
            problems: self.problems,
            path,
        }
    }

    /// Records a problem with this part unless `holds`.
    pub(crate) fn require(&mut self, holds: bool, message: impl Into<String>, advice: &str) {
        if !holds {
            self.problems
                .push(Problem::new(&self.path, message, advice));
        }
    }

    /// Requires that this part is a non-empty name of `a-z`, `0-9` and `-`.
    pub(crate) fn require_name(&mut self, name: &str) {
        self.require(
            is_name(name),
            format!("\"{name}\" is not a valid name"),
            "use one or more of a-z, 0-9 and -",
        );
    }
}

fn is_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    !text.is_empty() && text.bytes().all(allowed)
}
