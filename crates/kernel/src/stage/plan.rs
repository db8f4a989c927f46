//! The stages of one request as a small graph.
//!
//! A stage begins when the results that it needs are there. A stage without
//! needs whose results only the run reads begins late: its results are often
//! large and would otherwise fill their makers while a longer chain is made.

use crate::derive::value;
use crate::name;
use crate::request::routing_table::Stage;

value! {
    /// Why a plan does not fit its request.
    pub enum Invalid {
        /// The counts of pieces are not one for each stage.
        Counts,
        /// A stage needs itself, or one that does not exist.
        Graph,
    }

    /// One stage of the request.
    pub struct Step {
        /// The service that makes it.
        pub service: name::Service,
        /// The stages whose results it reads; left-out stages are skipped.
        pub after: Vec<usize>,
        /// How many pieces it has.
        pub pieces: u32,
        /// The size of one result, in bytes.
        pub bytes: u64,
        /// How many stages the longest chain up to and with this one has.
        pub depth: usize,
        state: State,
    }

    enum State {
        Waiting,
        Begun,
        Made(Vec<name::Handle>),
    }
}

/// The stages of one request, with what has been made of them.
#[derive(Clone, Debug)]
pub struct Plan {
    steps: Vec<Step>,
}

impl Plan {
    /// Plans the stages with so many pieces each; 0 leaves a stage out.
    ///
    /// # Errors
    /// Returns [`Invalid`] if the counts or the graph do not fit.
    pub fn new(stages: &[Stage], pieces: &[u32]) -> Result<Self, Invalid> {
        if stages.len() != pieces.len() {
            return Err(Invalid::Counts);
        }
        let mut steps: Vec<Step> = Vec::with_capacity(stages.len());
        for (index, (stage, count)) in stages.iter().zip(pieces).enumerate() {
            // Stages are numbered so that each needs only earlier ones.
            if stage.after.iter().any(|needed| *needed >= index) {
                return Err(Invalid::Graph);
            }
            let after = needed(&steps, &stage.after);
            let before = after.iter().map(|needed| steps[*needed].depth).max();
            steps.push(Step {
                service: stage.service.clone(),
                after,
                pieces: *count,
                bytes: stage.bytes,
                depth: before.unwrap_or(0) + 1,
                state: State::Waiting,
            });
        }
        Ok(Self { steps })
    }

    /// Returns a stage.
    #[must_use]
    pub fn step(&self, index: usize) -> Option<&Step> {
        self.steps.get(index)
    }

    /// Returns the stages that can begin now, and notes that they do.
    pub fn begin(&mut self) -> Vec<usize> {
        let left = self.levels_left();
        let mut ready = Vec::new();
        for index in 0..self.steps.len() {
            let step = &self.steps[index];
            let is_open = step.pieces > 0 && step.state == State::Waiting;
            let has_all = step.after.iter().all(|needed| self.is_made(*needed));
            let is_early = step.after.is_empty() && self.is_last(index) && left > 1;
            if is_open && has_all && !is_early {
                ready.push(index);
            }
        }
        for index in &ready {
            self.steps[*index].state = State::Begun;
        }
        ready
    }

    /// Returns the results that a stage reads.
    #[must_use]
    pub fn inputs(&self, index: usize) -> Vec<name::Handle> {
        let needed = self.steps[index].after.iter();
        let made = needed.flat_map(|needed| self.made(*needed));
        made.cloned().collect()
    }

    /// Notes that a stage is made, and returns the results that nobody reads
    /// any more, with the services that keep them.
    pub fn finish(&mut self, index: usize, handles: Vec<name::Handle>) -> Vec<Freed> {
        self.steps[index].state = State::Made(handles);
        let needed = self.steps[index].after.clone();
        let is_read = |other: usize| {
            let mut readers = self.readers(other).into_iter();
            readers.all(|reader| self.is_made(reader))
        };
        let done = needed.into_iter().filter(|other| is_read(*other));
        done.map(|other| self.freed(other)).collect()
    }

    /// Tells whether every stage is made.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        let mut open = self.steps.iter().filter(|step| step.pieces > 0);
        open.all(|step| matches!(step.state, State::Made(_)))
    }

    /// Returns the results that the run itself reads.
    #[must_use]
    pub fn outputs(&self) -> Vec<name::Handle> {
        let last = (0..self.steps.len()).filter(|index| self.is_last(*index));
        last.flat_map(|index| self.made(index)).cloned().collect()
    }

    /// Returns the stages of the longest chain, in order.
    #[must_use]
    pub fn longest(&self) -> Vec<usize> {
        let open = (0..self.steps.len()).filter(|index| self.steps[*index].pieces > 0);
        let Some(end) = open.max_by_key(|index| self.steps[*index].depth) else {
            return Vec::new();
        };
        let mut chain = vec![end];
        let mut current = end;
        while let Some(before) = self.before(current) {
            chain.push(before);
            current = before;
        }
        chain.reverse();
        chain
    }

    /// Returns the stages that read a stage; none if only the run reads it.
    #[must_use]
    pub fn readers(&self, index: usize) -> Vec<usize> {
        let readers = (index + 1..self.steps.len()).filter(|reader| {
            let step = &self.steps[*reader];
            step.pieces > 0 && step.after.contains(&index)
        });
        readers.collect()
    }

    /// Tells whether any stage has been made.
    #[must_use]
    pub fn is_begun(&self) -> bool {
        (0..self.steps.len()).any(|index| self.is_made(index))
    }

    fn before(&self, index: usize) -> Option<usize> {
        let needed = self.steps[index].after.iter().copied();
        needed.max_by_key(|needed| self.steps[*needed].depth)
    }

    fn freed(&self, index: usize) -> Freed {
        Freed {
            service: self.steps[index].service.clone(),
            handles: self.made(index).to_vec(),
        }
    }

    fn made(&self, index: usize) -> &[name::Handle] {
        match &self.steps[index].state {
            State::Made(handles) => handles,
            State::Waiting | State::Begun => &[],
        }
    }

    fn is_made(&self, index: usize) -> bool {
        matches!(self.steps[index].state, State::Made(_))
    }

    /// Tells whether no other stage reads this one.
    fn is_last(&self, index: usize) -> bool {
        self.readers(index).is_empty()
    }

    /// Returns how many levels of the longest chain are not made yet.
    fn levels_left(&self) -> usize {
        let open = self.steps.iter().filter(|step| step.pieces > 0);
        let deepest = open.clone().map(|step| step.depth).max().unwrap_or(0);
        let made = open
            .filter(|step| matches!(step.state, State::Made(_)) && step.depth < deepest)
            .map(|step| step.depth);
        deepest - made.max().unwrap_or(0)
    }
}

value! {
    /// Results that nobody reads any more.
    pub struct Freed {
        /// The service whose targets keep them.
        pub service: name::Service,
        /// The results.
        pub handles: Vec<name::Handle>,
    }
}

/// Returns the stages that are really read: a left-out stage passes on what it
/// would have read itself.
fn needed(steps: &[Step], after: &[usize]) -> Vec<usize> {
    let mut all = Vec::new();
    for index in after {
        let step = &steps[*index];
        if step.pieces > 0 {
            all.push(*index);
        } else {
            all.extend_from_slice(&step.after);
        }
    }
    all.sort_unstable();
    all.dedup();
    all
}
