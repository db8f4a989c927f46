//! Shows how a lease moves between two daemons when the list drops the owner.
//!
//! Run it with `cargo run -p gooseberry_kernel --example lease`.

use std::net::SocketAddr;

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::id;
use gooseberry_kernel::lease::Leases;
use gooseberry_kernel::lease::Resource;
use gooseberry_kernel::lease::Timing;
use gooseberry_kernel::published_list::Lifecycle;
use gooseberry_kernel::published_list::Member;
use gooseberry_kernel::published_list::PublishedList;
use gooseberry_kernel::published_list::Revision;

const TIMING: Timing = Timing {
    horizon: Millis(60_000),
    freshness: Millis(2000),
    dropped_memory: Millis(20_000),
};

fn main() -> Result<(), id::Invalid> {
    let names = ["entry-1", "entry-2", "entry-3"];
    let ids: Vec<id::Instance> = names
        .into_iter()
        .map(str::parse)
        .collect::<Result<_, _>>()?;
    let mut leases: Vec<Leases> = Vec::new();
    for id in &ids {
        leases.push(Leases::new(id.clone(), TIMING, Millis::ZERO));
    }
    let key = Resource::Key(7);
    for second in 0..16 {
        let now = Millis::from_secs(second);
        let revision = if second < 6 { 1 } else { 2 };
        // From second 6 on the list no longer contains the first owner.
        let owner = list(1, &ids)?.owner_of_key(7).map(|owner| owner.id.clone());
        let is_listed = |id: &&id::Instance| revision == 1 || Some(*id) != owner.as_ref();
        let listed: Vec<id::Instance> = ids.iter().filter(is_listed).cloned().collect();
        for daemon in &mut leases {
            daemon.adopt(&list(revision, &listed)?, now);
            daemon.confirm_list(now);
        }
        exchange_heartbeats(&mut leases, &ids, now);
        for (daemon, id) in leases.iter().zip(&ids) {
            println!("{second:3} s {id}: {:?}", daemon.lease_state(&key, now));
        }
    }
    Ok(())
}

fn list(revision: u64, ids: &[id::Instance]) -> Result<PublishedList, id::Invalid> {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let domain = id::Domain::new("huaraz")?;
    let member = |id: &id::Instance| Member {
        id: id.clone(),
        domain: domain.clone(),
        control: address,
        data: address,
        state: Lifecycle::Live,
    };
    let members = ids.iter().map(member).collect();
    Ok(PublishedList::new(Revision(revision), members, Vec::new()))
}

fn exchange_heartbeats(leases: &mut [Leases], ids: &[id::Instance], now: Millis) {
    for sender in 0..leases.len() {
        for replier in 0..leases.len() {
            let may_acknowledge = leases[replier].may_acknowledge(now);
            if sender == replier || !may_acknowledge {
                continue;
            }
            let acknowledgement = leases[replier].acknowledgement(now);
            let lists = leases[replier].recent_lists(now);
            leases[sender].record_acknowledgement(&ids[replier], &acknowledgement, now, now);
            if let Some(lists) = lists.filter(|_| !leases[sender].knows_recent_lists()) {
                leases[sender].merge_recent_lists(&lists, now);
            }
        }
    }
}
