//! The results of the pieces of one group, each under the number of its piece.
//!
//! A piece may be computed more than once: by a call that was taken for lost, and by the one
//! that replaced it. The first result is kept, and a group is complete only once each of its
//! pieces has one, so no count of results can stand for the pieces.

use crate::derive::value;
use crate::name;

value! {
    struct Piece {
        number: u32,
        result: Option<name::Handle>,
    }

    /// The results of a group, sorted by piece.
    pub struct GroupResults {
        pieces: Vec<Piece>,
    }

    /// Why a result is not used; it has to be freed.
    pub enum Unusable {
        /// The piece has a result already.
        Duplicate,
        /// The group has no such piece.
        UnknownPiece,
    }
}

impl GroupResults {
    /// Creates the empty results of a group with these pieces.
    #[must_use]
    pub fn new(pieces: &[u32]) -> Self {
        let mut numbers = pieces.to_vec();
        numbers.sort_unstable();
        numbers.dedup();
        let pieces = numbers.into_iter().map(|number| Piece {
            number,
            result: None,
        });
        Self {
            pieces: pieces.collect(),
        }
    }

    /// Records the result of a piece.
    ///
    /// # Errors
    /// Returns why the result is not used.
    pub fn record(&mut self, number: u32, handle: name::Handle) -> Result<(), Unusable> {
        let found = self.find(number).map_err(|_| Unusable::UnknownPiece)?;
        if self.pieces[found].result.is_some() {
            return Err(Unusable::Duplicate);
        }
        self.pieces[found].result = Some(handle);
        Ok(())
    }

    /// Returns how many pieces the group has.
    #[must_use]
    pub fn piece_count(&self) -> usize {
        self.pieces.len()
    }

    /// Returns whether a piece of the group has no result yet.
    #[must_use]
    pub fn is_missing(&self, number: u32) -> bool {
        let found = self.find(number);
        found.is_ok_and(|index| self.pieces[index].result.is_none())
    }

    /// Returns whether no piece has a result yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.handles().next().is_none()
    }

    /// Returns the results in the order of the pieces; `None` if one is missing.
    #[must_use]
    pub fn complete(&self) -> Option<Vec<name::Handle>> {
        let results = self.pieces.iter().map(|piece| piece.result.clone());
        results.collect()
    }

    /// Returns the results that there are, in the order of the pieces.
    pub fn handles(&self) -> impl Iterator<Item = &name::Handle> {
        self.pieces.iter().filter_map(|piece| piece.result.as_ref())
    }

    fn find(&self, number: u32) -> Result<usize, usize> {
        self.pieces
            .binary_search_by_key(&number, |piece| piece.number)
    }
}

impl Unusable {
    /// Returns the text for logs.
    #[must_use]
    pub fn label(&self) -> &'static str {
        match self {
            Self::Duplicate => "the piece has a result already",
            Self::UnknownPiece => "the group has no such piece",
        }
    }
}

/// Returns whether these can be the results of this number of pieces: one each, and no result
/// twice.
#[must_use]
pub fn is_one_each(handles: &[name::Handle], pieces: usize) -> bool {
    let mut distinct: Vec<&name::Handle> = handles.iter().collect();
    distinct.sort_unstable();
    distinct.dedup();
    distinct.len() == handles.len() && handles.len() == pieces
}
