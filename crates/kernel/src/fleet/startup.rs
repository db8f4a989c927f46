//! Whether a daemon that has just been started may serve with its copy of the store.
//!
//! Its first contents may come from a peer that is cut off from the store and does not know
//! that a key was withdrawn or that a target left, though the process before the restart
//! knew it. The daemon therefore waits until the store has confirmed its copy, to itself or
//! to a peer that tells of it. If the store does not answer in time, the contents of
//! peers are the best there are.

use crate::clock::Millis;
use crate::derive::scalar;
use crate::fleet::assignment::CONFIRMATION_AGE_MAX;

/// How long after its start a daemon waits for the store to confirm its copy. A slow store
/// takes some hundred milliseconds to answer, and peers tell of confirmations three times a
/// second.
pub const CONFIRMATION_WAIT: Millis = Millis(1_500);

scalar! {
    /// The start of a daemon.
    #[derive(Default)]
    pub struct Startup {
        /// Whether the daemon may serve. Once it may, a later outage of the store does not
        /// change that.
        pub is_over: bool,
    }
}

impl Startup {
    /// Updates the decision. `confirmed_age` is how long ago the store confirmed the copy.
    pub fn update(&mut self, confirmed_age: Option<Millis>, now: Millis) {
        let is_confirmed = confirmed_age.is_some_and(|age| age <= CONFIRMATION_AGE_MAX);
        self.is_over |= is_confirmed || now >= CONFIRMATION_WAIT;
    }
}
