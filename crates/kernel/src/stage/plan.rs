//! The stages of one request as a dependency graph.
//!
//! A stage starts when all its inputs are available. When all stages are
//! computed, the request itself runs at its target (the final run) and reads
//! the results that no stage reads. A stage without inputs whose results only
//! the final run reads is deferred: its results are often large and would
//! otherwise take memory on their targets while a longer chain is computed.

use crate::derive::value;
use crate::name;
use crate::request::routing_table::Stage;

/// The largest number of pieces of a request. Usual ones have some tens; each takes memory
/// here before the stages begin, so that a number near 2^32 would end the process.
pub const PIECES_MAX: u64 = 10_000;

value! {
    /// Why stages and piece counts can't be planned.
    pub enum Invalid {
        /// There isn't one piece count for each stage.
        Counts,
        /// There are more than [`PIECES_MAX`] pieces.
        Pieces,
        /// A stage depends on itself, a later stage or a missing one.
        Graph,
    }

    /// One stage of the request.
    pub struct PlannedStage {
        /// The stage service that computes it.
        pub service: name::Service,
        /// The stages whose results it reads, without omitted ones.
        pub after: Vec<usize>,
        /// Number of pieces; 0 if the stage is omitted.
        pub pieces: u32,
        /// Size of one result, in bytes.
        pub result_bytes: u64,
        /// Number of stages in the longest chain that ends with this one.
        pub depth: usize,
        state: State,
    }

    enum State {
        Waiting,
        Started,
        Computed(Vec<name::Handle>),
    }
}

/// The stages of one request and their state.
#[derive(Clone, Debug)]
pub struct Plan {
    stages: Vec<PlannedStage>,
}

impl Plan {
    /// Plans the stages with these numbers of pieces; 0 omits a stage.
    ///
    /// # Errors
    /// Returns [`Invalid`] if the counts or the graph can't be planned.
    pub fn new(stages: &[Stage], pieces: &[u32]) -> Result<Self, Invalid> {
        if stages.len() != pieces.len() {
            return Err(Invalid::Counts);
        }
        if pieces.iter().map(|count| u64::from(*count)).sum::<u64>() > PIECES_MAX {
            return Err(Invalid::Pieces);
        }
        let mut planned: Vec<PlannedStage> = Vec::with_capacity(stages.len());
        for (index, (stage, count)) in stages.iter().zip(pieces).enumerate() {
            // Stages are in topological order: each reads only earlier ones.
            if stage.after.iter().any(|input| *input >= index) {
                return Err(Invalid::Graph);
            }
            let after = effective_inputs(&planned, &stage.after);
            let depth_before = after.iter().map(|input| planned[*input].depth).max();
            planned.push(PlannedStage {
                service: stage.service.clone(),
                after,
                pieces: *count,
                result_bytes: stage.bytes,
                depth: depth_before.unwrap_or(0) + 1,
                state: State::Waiting,
            });
        }
        Ok(Self { stages: planned })
    }

    /// Returns the stage with this index.
    #[must_use]
    pub fn stage(&self, index: usize) -> Option<&PlannedStage> {
        self.stages.get(index)
    }

    /// Returns the stages that are computed for the request.
    pub fn included(&self) -> impl Iterator<Item = &PlannedStage> {
        self.stages.iter().filter(|stage| stage.pieces > 0)
    }

    /// Marks the stages that can start now as started, and returns their
    /// indexes.
    pub fn start_ready(&mut self) -> Vec<usize> {
        let levels_left = self.levels_left();
        let mut ready = Vec::new();
        for index in 0..self.stages.len() {
            let stage = &self.stages[index];
            let is_pending = stage.pieces > 0 && stage.state == State::Waiting;
            let has_inputs = stage.after.iter().all(|input| self.is_computed(*input));
            let is_deferred =
                stage.after.is_empty() && self.is_read_only_by_run(index) && levels_left > 1;
            if is_pending && has_inputs && !is_deferred {
                ready.push(index);
            }
        }
        for index in &ready {
            self.stages[*index].state = State::Started;
        }
        ready
    }

    /// Returns the results that a stage reads.
    #[must_use]
    pub fn inputs(&self, index: usize) -> Vec<name::Handle> {
        let inputs = self.stages[index].after.iter();
        let results = inputs.flat_map(|input| self.results(*input));
        results.cloned().collect()
    }

    /// Stores the results of a stage. Returns the results of its input stages
    /// that no stage reads any more.
    pub fn finish(&mut self, index: usize, handles: Vec<name::Handle>) -> Vec<Freed> {
        self.stages[index].state = State::Computed(handles);
        let inputs = self.stages[index].after.clone();
        let has_been_read = |input: usize| {
            let mut readers = self.readers(input).into_iter();
            readers.all(|reader| self.is_computed(reader))
        };
        let unused = inputs.into_iter().filter(|input| has_been_read(*input));
        unused.map(|input| self.freed(input)).collect()
    }

    /// Returns whether all stages have been computed.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        let mut included = self.stages.iter().filter(|stage| stage.pieces > 0);
        included.all(|stage| matches!(stage.state, State::Computed(_)))
    }

    /// Returns the results that the final run reads.
    #[must_use]
    pub fn outputs(&self) -> Vec<name::Handle> {
        let outputs = (0..self.stages.len()).filter(|index| self.is_read_only_by_run(*index));
        outputs
            .flat_map(|index| self.results(index))
            .cloned()
            .collect()
    }

    /// Returns the stages of the longest chain, in order.
    #[must_use]
    pub fn longest_chain(&self) -> Vec<usize> {
        let included = (0..self.stages.len()).filter(|index| self.stages[*index].pieces > 0);
        let Some(end) = included.max_by_key(|index| self.stages[*index].depth) else {
            return Vec::new();
        };
        let mut chain = vec![end];
        let mut current = end;
        while let Some(input) = self.deepest_input(current) {
            chain.push(input);
            current = input;
        }
        chain.reverse();
        chain
    }

    /// Returns the stages that read a stage; empty if only the final run reads
    /// it.
    #[must_use]
    pub fn readers(&self, index: usize) -> Vec<usize> {
        let readers = (index + 1..self.stages.len()).filter(|reader| {
            let stage = &self.stages[*reader];
            stage.pieces > 0 && stage.after.contains(&index)
        });
        readers.collect()
    }

    /// Returns whether any stage has been computed.
    #[must_use]
    pub fn has_results(&self) -> bool {
        (0..self.stages.len()).any(|index| self.is_computed(index))
    }

    fn deepest_input(&self, index: usize) -> Option<usize> {
        let inputs = self.stages[index].after.iter().copied();
        inputs.max_by_key(|input| self.stages[*input].depth)
    }

    fn freed(&self, index: usize) -> Freed {
        Freed {
            service: self.stages[index].service.clone(),
            handles: self.results(index).to_vec(),
        }
    }

    fn results(&self, index: usize) -> &[name::Handle] {
        match &self.stages[index].state {
            State::Computed(handles) => handles,
            State::Waiting | State::Started => &[],
        }
    }

    fn is_computed(&self, index: usize) -> bool {
        matches!(self.stages[index].state, State::Computed(_))
    }

    /// Returns whether no other stage reads this one.
    fn is_read_only_by_run(&self, index: usize) -> bool {
        self.readers(index).is_empty()
    }

    /// Returns the number of levels of the longest chain that are not computed
    /// yet.
    fn levels_left(&self) -> usize {
        let included = self.stages.iter().filter(|stage| stage.pieces > 0);
        let deepest = included.clone().map(|stage| stage.depth).max().unwrap_or(0);
        let computed_depths = included
            .filter(|stage| matches!(stage.state, State::Computed(_)) && stage.depth < deepest)
            .map(|stage| stage.depth);
        deepest - computed_depths.max().unwrap_or(0)
    }
}

value! {
    /// Results that no stage reads any more.
    pub struct Freed {
        /// The service whose targets keep them.
        pub service: name::Service,
        /// The handles of the results.
        pub handles: Vec<name::Handle>,
    }
}

/// Returns the stages that are actually read: an omitted stage is replaced by
/// its own inputs.
fn effective_inputs(planned: &[PlannedStage], after: &[usize]) -> Vec<usize> {
    let mut all = Vec::new();
    for index in after {
        let stage = &planned[*index];
        if stage.pieces > 0 {
            all.push(*index);
        } else {
            all.extend_from_slice(&stage.after);
        }
    }
    all.sort_unstable();
    all.dedup();
    all
}
