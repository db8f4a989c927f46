//! Withdrawals that a store which came back from an older copy has forgotten.
//!
//! The copy may call a target ready that has said since that it leaves, or lack the order
//! to take a failure domain out. Operators and targets write again what was lost, but not
//! at once, so a withdrawal that was known before the return stays in force for a while.

use crate::clock::Millis;

/// How long after the return of the store a withdrawal stays in force if it is not
/// written again.
///
/// The platform does not say how soon that is done. An entry that is not written again
/// may also be right, if it was written between the return and the first read of the
/// store: then a target or a domain stays unused for this time.
pub const HOLD_TIME: Millis = Millis(10_000);

/// The withdrawals that are in force until a time, sorted.
#[derive(Clone, Debug)]
pub struct Withdrawals<Subject> {
    held: Vec<(Subject, Millis)>,
}

impl<Subject> Default for Withdrawals<Subject> {
    fn default() -> Self {
        Self { held: Vec::new() }
    }
}

impl<Subject: Ord> Withdrawals<Subject> {
    /// Keeps a withdrawal in force for [`HOLD_TIME`].
    pub fn hold(&mut self, subject: Subject, now: Millis) {
        let until = now + HOLD_TIME;
        match self.find(&subject) {
            Ok(index) => self.held[index].1 = until,
            Err(index) => self.held.insert(index, (subject, until)),
        }
    }

    /// Ends a withdrawal that has been written again or taken back.
    pub fn release(&mut self, subject: &Subject) {
        if let Ok(index) = self.find(subject) {
            self.held.remove(index);
        }
    }

    /// Returns whether a withdrawal is in force.
    #[must_use]
    pub fn is_held(&self, subject: &Subject, now: Millis) -> bool {
        let found = self.find(subject);
        found.is_ok_and(|index| self.held[index].1 > now)
    }

    /// Returns the withdrawals that are in force.
    pub fn held(&self, now: Millis) -> impl Iterator<Item = &Subject> {
        let held = self.held.iter().filter(move |(_, until)| *until > now);
        held.map(|(subject, _)| subject)
    }

    /// Forgets the withdrawals that are over, and returns whether there were any.
    pub fn expire(&mut self, now: Millis) -> bool {
        let count = self.held.len();
        self.held.retain(|(_, until)| *until > now);
        self.held.len() < count
    }

    fn find(&self, subject: &Subject) -> Result<usize, usize> {
        self.held.binary_search_by(|(held, _)| held.cmp(subject))
    }
}
