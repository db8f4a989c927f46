//! Which services the other daemons reach, and which daemon sends a request whose own
//! daemon is cut off from the targets.
//!
//! Each daemon says in its heartbeats of which services it reaches no target, and where
//! it takes requests that it is to send for others. A request makes one detour at most:
//! a daemon sends what it has taken to a target itself, or says that it did not.

use std::net::SocketAddr;

use crate::derive::value;
use crate::fleet::membership::MemberState;
use crate::hash;
use crate::name;

value! {
    /// What a daemon says of itself.
    pub struct Announcement {
        /// Where it takes requests of others; `None` if it takes none.
        pub address: Option<SocketAddr>,
        /// The services of which it reaches no target, sorted.
        pub unreached: Vec<name::Service>,
    }
}

/// What the other daemons have said of themselves, sorted by name.
#[derive(Clone, Debug, Default)]
pub struct Detours {
    known: Vec<(name::Member, Announcement)>,
}

impl Detours {
    /// Records what a daemon says of itself; `None` if it is of a build that says nothing.
    pub fn record(&mut self, member: &name::Member, announcement: Option<Announcement>) {
        match (self.find(member), announcement) {
            (Ok(index), Some(announcement)) => self.known[index].1 = announcement,
            (Ok(index), None) => drop(self.known.remove(index)),
            (Err(index), Some(announcement)) => {
                self.known.insert(index, (member.clone(), announcement));
            }
            (Err(_), None) => {}
        }
    }

    /// Records that the daemon at an address has said, when it was asked, that it reaches no
    /// target of a service. Its next announcement replaces that.
    pub fn record_unreached(&mut self, address: SocketAddr, service: &name::Service) {
        let known = self.known.iter_mut();
        let mut at_address = known.filter(|(_, said)| said.address == Some(address));
        if let Some((_, said)) = at_address.next()
            && let Err(index) = said.unreached.binary_search(service)
        {
            said.unreached.insert(index, service.clone());
        }
    }

    /// Returns whether another daemon reaches targets of a service, as far as it has said.
    #[must_use]
    pub fn reaches(&self, member: &name::Member, service: &name::Service) -> bool {
        let announcement = self.get(member);
        announcement
            .is_none_or(|announcement| announcement.unreached.binary_search(service).is_err())
    }

    /// Chooses the daemon to which a request for a service is sent, among the live ones of
    /// which none of those in `tried` is; returns its address. `draw` spreads requests
    /// evenly.
    #[must_use]
    pub fn choose(
        &self,
        service: &name::Service,
        live: &[&MemberState],
        tried: &[SocketAddr],
        draw: u64,
    ) -> Option<SocketAddr> {
        let candidates = live.iter().filter_map(|member| {
            let address = self.get(&member.name)?.address?;
            let is_usable = !member.is_leaving && self.reaches(&member.name, service);
            let weight = hash::mix(draw, hash::text(member.name.as_str()));
            (is_usable && !tried.contains(&address)).then_some((weight, address))
        });
        candidates.max().map(|(_, address)| address)
    }

    /// Drops the daemons that are no longer known.
    pub fn retain(&mut self, is_known: impl Fn(&name::Member) -> bool) {
        self.known.retain(|(member, _)| is_known(member));
    }

    fn get(&self, member: &name::Member) -> Option<&Announcement> {
        self.find(member).ok().map(|index| &self.known[index].1)
    }

    fn find(&self, member: &name::Member) -> Result<usize, usize> {
        self.known.binary_search_by(|(known, _)| known.cmp(member))
    }
}
