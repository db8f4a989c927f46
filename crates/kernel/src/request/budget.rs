//! The budget for sending a request to a second target.
//!
//! All daemons share one budget for each service. None of them knows what the
//! others send, so each keeps to a part: the ratio of its own traffic, and its
//! share of the fixed slack. The parts add up to no more than the whole, as
//! long as each daemon counts at least as many members as there are.

use crate::clock::Millis;
use crate::derive::scalar;
use crate::name;

scalar! {
    /// The terms of the budget.
    pub struct Terms {
        /// Repeats for each thousand requests.
        pub per_thousand: u64,
        /// Repeats in a window that need no requests, over the whole fleet.
        pub slack: u64,
        /// The length of the window.
        pub window: Millis,
    }
}

/// Into how many steps the window is divided.
const STEPS: usize = 10;

#[derive(Clone, Copy, Debug, Default)]
struct Step {
    number: u64,
    firsts: u64,
    repeats: u64,
}

#[derive(Clone, Debug)]
struct Account {
    service: name::Service,
    steps: [Step; STEPS + 1],
}

/// What one daemon has sent of late, by service.
#[derive(Clone, Debug)]
pub struct Budget {
    terms: Terms,
    accounts: Vec<Account>,
}

impl Budget {
    /// Starts with nothing sent.
    #[must_use]
    pub fn new(terms: Terms) -> Self {
        Self {
            terms,
            accounts: Vec::new(),
        }
    }

    /// Notes a request for the service.
    pub fn note_first(&mut self, service: &name::Service, now: Millis) {
        self.step(service, now).firsts += 1;
    }

    /// Takes one repeat from the daemon's part, if there is one left.
    pub fn take(&mut self, service: &name::Service, members: usize, now: Millis) -> bool {
        let members = u64::try_from(members.max(1)).unwrap_or(u64::MAX);
        let oldest = self.number(now).saturating_sub(STEPS as u64);
        let terms = self.terms;
        let account = self.account(service);
        let fresh = account.steps.iter().filter(|step| step.number >= oldest);
        let (mut firsts, mut repeats) = (0, 0);
        for step in fresh {
            firsts += step.firsts;
            repeats += step.repeats;
        }
        let allowed = firsts * terms.per_thousand / 1000 + terms.slack / members;
        if repeats >= allowed {
            return false;
        }
        self.step(service, now).repeats += 1;
        true
    }

    fn number(&self, now: Millis) -> u64 {
        // Steps are counted from 1, so that an unused step is an old one.
        let length = (self.terms.window.0 / STEPS as u64).max(1);
        now.0 / length + STEPS as u64 + 2
    }

    fn account(&mut self, service: &name::Service) -> &mut Account {
        let found = self
            .accounts
            .binary_search_by(|one| one.service.cmp(service));
        let index = found.unwrap_or_else(|index| {
            let account = Account {
                service: service.clone(),
                steps: Default::default(),
            };
            self.accounts.insert(index, account);
            index
        });
        &mut self.accounts[index]
    }

    fn step(&mut self, service: &name::Service, now: Millis) -> &mut Step {
        let number = self.number(now);
        let slot = usize::try_from(number % (STEPS as u64 + 1)).unwrap_or_default();
        let step = &mut self.account(service).steps[slot];
        if step.number != number {
            *step = Step {
                number,
                ..Step::default()
            };
        }
        step
    }
}
