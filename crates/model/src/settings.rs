//! Settings of one process, read from a JSON file with comments.
