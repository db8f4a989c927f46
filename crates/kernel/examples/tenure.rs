//! Shows how a right moves between two daemons when the list drops the owner.
//!
//! Run it with `cargo run -p gooseberry_kernel --example tenure`.

use std::net::SocketAddr;

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::id;
use gooseberry_kernel::roster::List;
use gooseberry_kernel::roster::Member;
use gooseberry_kernel::roster::Revision;
use gooseberry_kernel::roster::State;
use gooseberry_kernel::tenure::Tenure;
use gooseberry_kernel::tenure::Thing;
use gooseberry_kernel::tenure::Timing;

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
    let mut rights: Vec<Tenure> = Vec::new();
    for id in &ids {
        rights.push(Tenure::new(id.clone(), TIMING, Millis::ZERO));
    }
    let key = Thing::Key(7);
    for second in 0..16 {
        let now = Millis::from_secs(second);
        let revision = if second < 6 { 1 } else { 2 };
        // From the sixth second on the list has dropped the first owner.
        let owner = list(1, &ids)?.owner_of_key(7).map(|one| one.id.clone());
        let is_listed = |id: &&id::Instance| revision == 1 || Some(*id) != owner.as_ref();
        let listed: Vec<id::Instance> = ids.iter().filter(is_listed).cloned().collect();
        for one in &mut rights {
            one.adopt(&list(revision, &listed)?, now);
            one.confirm(now);
        }
        greet_all(&mut rights, &ids, now);
        for (one, id) in rights.iter().zip(&ids) {
            println!("{second:3} s {id}: {:?}", one.right(&key, now));
        }
    }
    Ok(())
}

fn list(revision: u64, ids: &[id::Instance]) -> Result<List, id::Invalid> {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let domain = id::Domain::new("huaraz")?;
    let member = |id: &id::Instance| Member {
        id: id.clone(),
        domain: domain.clone(),
        control: address,
        data: address,
        state: State::Live,
    };
    let members = ids.iter().map(member).collect();
    Ok(List::new(Revision(revision), members, Vec::new()))
}

fn greet_all(rights: &mut [Tenure], ids: &[id::Instance], now: Millis) {
    for asking in 0..rights.len() {
        for answering in 0..rights.len() {
            let is_witness = rights[answering].is_witness(now);
            if asking == answering || !is_witness {
                continue;
            }
            let answer = rights[answering].answer(now);
            let past = rights[answering].past(now);
            rights[asking].acknowledge(&ids[answering], &answer, now, now);
            if let Some(past) = past.filter(|_| !rights[asking].knows_past()) {
                rights[asking].learn_past(&past, now);
            }
        }
    }
}
