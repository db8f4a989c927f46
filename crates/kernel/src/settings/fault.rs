//! The faults of a settings document, as operators read them.

use std::fmt;

use crate::derive::value;

value! {
    /// One fault: where it is and what was expected there.
    pub struct Fault {
        /// The path of the faulty value, such as `$.pools.llm.cold_limit`.
        pub path: String,
        /// The line of the faulty value, counted from one.
        pub line: usize,
        /// What was expected, and in some faults what was found instead.
        pub message: String,
    }

    /// All faults of one document; never empty when returned as an error.
    pub struct Faults(pub Vec<Fault>);
}

impl fmt::Display for Fault {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "line {}: {}: {}", self.line, self.path, self.message)
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.0.iter().enumerate() {
            if index > 0 {
                out.write_str("\n")?;
            }
            write!(out, "{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}
