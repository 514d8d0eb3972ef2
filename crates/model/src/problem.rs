//! What is wrong with a document, and where, in terms of the document's own structure.

use std::fmt;

use smallvec::SmallVec;

/// Steps from the root of a document down to one value.
pub type Path = SmallVec<[Segment; 6]>;

/// One step down from a value to a value that it contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Segment {
    /// Into the field of an object.
    Field(&'static str),
    /// Into the element of an array, counted from zero.
    Index(usize),
}

/// One thing that is wrong with a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Where the value stands.
    pub path: Path,
    /// What is wrong with it.
    pub message: String,
    /// What the writer of the document can do.
    pub advice: String,
}

impl Problem {
    /// Creates a problem of the value at `path`.
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

/// Collects the problems of one part of a document.
pub(crate) struct Report<'a> {
    problems: &'a mut Vec<Problem>,
    at: Path,
}

impl<'a> Report<'a> {
    /// Creates a report about the root of a document.
    pub(crate) fn new(problems: &'a mut Vec<Problem>) -> Self {
        Self {
            problems,
            at: Path::new(),
        }
    }

    /// Returns a report about a field of this part.
    pub(crate) fn field(&mut self, name: &'static str) -> Report<'_> {
        self.down(Segment::Field(name))
    }

    /// Returns a report about an element of this part.
    pub(crate) fn index(&mut self, index: usize) -> Report<'_> {
        self.down(Segment::Index(index))
    }

    fn down(&mut self, segment: Segment) -> Report<'_> {
        let mut at = self.at.clone();
        at.push(segment);
        Report {
            problems: self.problems,
            at,
        }
    }

    /// Notes a problem of this part unless `holds`.
    pub(crate) fn require(&mut self, holds: bool, message: impl Into<String>, advice: &str) {
        if !holds {
            self.problems.push(Problem::new(&self.at, message, advice));
        }
    }

    /// Requires that this part is a name that is not empty and holds only `a-z`, `0-9` and `-`.
    pub(crate) fn require_name(&mut self, name: &str) {
        self.require(
            is_name(name),
            format!("\"{name}\" is no valid name"),
            "use one or more of a-z, 0-9 and -",
        );
    }
}

fn is_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    !text.is_empty() && text.bytes().all(allowed)
}
