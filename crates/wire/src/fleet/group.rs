//! Groups of pieces, with conversions to and from the kernel's type.

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::fleet::membership;
use gooseberry_kernel::name;
use gooseberry_kernel::request::routing_table::Rank;
use gooseberry_kernel::stage::group;

use crate::fleet::Group;
use crate::fleet::Near;
use crate::fleet::Source;

impl Group {
    /// Encodes a group for the daemon that dispatches the calls of its service.
    /// `keepers` is left empty.
    #[must_use]
    pub fn new(
        service: &name::Service,
        group: &group::Group,
        asker: membership::Process,
        now: Millis,
    ) -> Self {
        Self {
            service: service.as_str().into(),
            asker: asker.into(),
            attempt: group.attempt.as_str().into(),
            stage: u32::try_from(group.stage).unwrap_or(u32::MAX),
            pieces: group.pieces.clone(),
            source: match &group.source {
                group::Source::Key(key) => Source::Key(key.clone()),
                group::Source::Inputs(handles) => {
                    let handles = handles.iter().map(|handle| handle.as_str().into());
                    Source::Inputs(handles.collect())
                }
            },
            bytes: group.result_bytes,
            rank: group.rank.0,
            on_time_ms: (group.on_time_deadline - now).0,
            until_ms: (group.deadline - now).0,
            inputs_until_ms: (group.inputs_expire_at - now).0,
            near: group.preferred_domain.as_ref().map(|preferred| Near {
                domain: preferred.domain.as_str().into(),
                bytes: preferred.transfer_bytes,
            }),
            is_first: group.is_first,
            late_tail_ms: group.late_extra.0,
            keepers: Vec::new(),
        }
    }

    /// Decodes the group; its durations become times on this process's clock.
    #[must_use]
    pub fn decode(self, now: Millis) -> (name::Service, group::Group) {
        let group = group::Group {
            attempt: name::Attempt::new(&self.attempt),
            stage: usize::try_from(self.stage).unwrap_or(usize::MAX),
            pieces: self.pieces,
            source: match self.source {
                Source::Key(key) => group::Source::Key(key),
                Source::Inputs(handles) => {
                    let handles = handles.iter().map(|handle| name::Handle::new(handle));
                    group::Source::Inputs(handles.collect())
                }
            },
            result_bytes: self.bytes,
            rank: Rank(self.rank),
            on_time_deadline: now + Millis(self.on_time_ms),
            deadline: now + Millis(self.until_ms),
            inputs_expire_at: now + Millis(self.inputs_until_ms),
            preferred_domain: self.near.map(|near| group::PreferredDomain {
                domain: name::Domain::new(&near.domain),
                transfer_bytes: near.bytes,
            }),
            is_first: self.is_first,
            late_extra: Millis(self.late_tail_ms),
        };
        (name::Service::new(&self.service), group)
    }
}
