use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::hash;
use gooseberry_kernel::name;
use gooseberry_kernel::request::routing_table::Rank;
use gooseberry_kernel::request::wait_queue::Claim;
use gooseberry_kernel::request::wait_queue::Ticket;
use gooseberry_kernel::request::wait_queue::WaitQueue;

const PLACES: usize = 4;
const SERVICE_MS: u64 = 100;
/// Ten times the 40 requests a second that the places serve.
const ARRIVALS_PER_SECOND: u64 = 400;
const PLAY_MS: u64 = 20_000;

fn claim(rank: u8, workspace: &str, on_time_by: u64, due: u64) -> Claim {
    Claim {
        rank: Rank(rank),
        workspace: Some(name::Workspace::new(workspace)),
        on_time_by: Millis(on_time_by),
        due: Millis(due),
        work: 1,
    }
}

/// What callers of one rank and workspace got.
#[derive(Clone, Copy, Debug, Default)]
struct Served {
    arrived: u64,
    on_time: u64,
    late: u64,
}

/// Plays the load with the queue, or with requests that each try again every 25 ms. Returns
/// what callers got, by rank and workspace (`many`, `few`).
fn play(is_queued: bool) -> [[Served; 2]; 3] {
    let mut queue = WaitQueue::default();
    let mut waiting: Vec<(Ticket, u64, Claim)> = Vec::new();
    let mut running: Vec<(u64, Claim)> = Vec::new();
    let mut served = [[Served::default(); 2]; 3];
    let cell = |claim: &Claim| {
        let is_few = claim.workspace == Some(name::Workspace::new("few"));
        (usize::from(claim.rank.0), usize::from(is_few))
    };
    for ms in 0..PLAY_MS {
        let now = Millis(ms);
        running.retain(|(end, claim)| {
            let is_over = *end <= ms;
            if is_over {
                queue.free_place(claim.workspace.as_ref(), now);
            }
            !is_over
        });
        if (ms * ARRIVALS_PER_SECOND) % 1_000 < ARRIVALS_PER_SECOND {
            let draw = hash::mix(7, ms);
            let workspace = if draw.is_multiple_of(10) {
                "few"
            } else {
                "many"
            };
            let rank = u8::try_from(draw / 10 % 12).expect("it is small");
            let rank = [0, 1, 1, 1, 2, 2, 2, 2, 2, 2, 2, 2][usize::from(rank)];
            let objective = 150 + draw / 1_000 % 450;
            let one = claim(rank, workspace, ms + objective, ms + 3 * objective);
            let (rank, workspace) = cell(&one);
            served[rank][workspace].arrived += 1;
            waiting.push((queue.enter(one.clone(), now), ms, one));
        }
        let hopeless = if is_queued && ms.is_multiple_of(100) {
            queue.hopeless(|_| true, now)
        } else {
            Vec::new()
        };
        waiting.retain(|(ticket, _, claim)| {
            let is_refused = hopeless.iter().any(|(refused, _)| refused == ticket);
            let stays = !is_refused && claim.due > now;
            if !stays {
                queue.leave(*ticket);
            }
            stays
        });
        while running.len() < PLACES {
            let next = if is_queued {
                queue.next(|_| true, now)
            } else {
                let mut polls = waiting.iter();
                let found = polls.find(|(_, arrived, _)| (ms - arrived).is_multiple_of(25));
                found.map(|(ticket, ..)| *ticket)
            };
            let Some(next) = next else { break };
            queue.hand_out(next);
            let index = waiting.iter().position(|(ticket, ..)| *ticket == next);
            let (_, _, one) = waiting.remove(index.expect("it waits"));
            queue.use_place(one.workspace.as_ref());
            let (rank, workspace) = cell(&one);
            let served = &mut served[rank][workspace];
            if one.on_time_by > now {
                served.on_time += 1;
            } else {
                served.late += 1;
            }
            running.push((ms + SERVICE_MS, one));
        }
    }
    served
}

/// Guards against an order that serves callers worse than none under overload: requests of
/// high rank that wait behind others, a workspace or rank that gets nothing, and places
/// that go to requests whose time has passed.
#[test]
fn overload_serves_urgent_requests_in_time_and_starves_nobody() {
    let (queued, polled) = (play(true), play(false));
    let sum = |of: &[[Served; 2]; 3], what: fn(&Served) -> u64| -> u64 {
        of.iter().flatten().map(what).sum()
    };
    let on_time = |served: &Served| served.on_time;
    let late = |served: &Served| served.late;
    assert!(sum(&queued, on_time) > sum(&polled, on_time));
    assert!(sum(&queued, late) * 2 < sum(&polled, late));
    for workspace in 0..2 {
        let [urgent, urgent_polled] = [queued, polled].map(|of| of[0][workspace]);
        let part = |served: Served| served.on_time * 100 / served.arrived;
        assert!(part(urgent) >= 90, "{urgent:?}");
        assert!(part(urgent) > 2 * part(urgent_polled), "{urgent_polled:?}");
        for served in queued.map(|of| of[workspace]) {
            assert!(served.on_time + served.late > 0, "{served:?}");
        }
    }
    // Of the places for which ranks do not decide, the small workspace gets its part.
    let [many, few] = queued[1];
    assert!(few.on_time * many.arrived > 2 * many.on_time * few.arrived);
}

#[test]
fn order_is_rank_then_prospect_then_share_then_limit_then_work() {
    let now = Millis(1_000);
    let mut queue = WaitQueue::default();
    queue.use_place(Some(&name::Workspace::new("busy")));
    let small = Claim {
        work: 0,
        ..claim(1, "calm", 1_500, 3_000)
    };
    let claims = [
        claim(2, "calm", 1_100, 3_000),
        claim(1, "calm", 900, 3_000),
        claim(1, "busy", 1_200, 3_000),
        claim(1, "calm", 1_500, 3_000),
        small,
        claim(1, "calm", 1_300, 3_000),
        claim(0, "busy", 100, 200),
    ];
    let mut tickets = claims.map(|claim| queue.enter(claim, now)).to_vec();
    let mut order = Vec::new();
    while let Some(next) = queue.next(|ticket| ticket != tickets[0], now) {
        order.push(tickets.iter().position(|ticket| *ticket == next));
        queue.hand_out(next);
    }
    assert_eq!(order, [6, 5, 4, 3, 2, 1].map(Some));
    // The eighth place goes to the one that has waited longest, whatever its rank.
    tickets.push(queue.enter(claim(0, "calm", 1_500, 3_000), now));
    assert_eq!(queue.next(|_| true, now), tickets.last().copied());
    queue.hand_out(tickets[7]);
    queue.enter(claim(0, "calm", 1_500, 3_000), now);
    assert_eq!(queue.next(|_| true, now), Some(tickets[0]));
}

/// Guards against refusals that rest on a rate that is not known, or not clearly too low.
#[test]
fn only_requests_clearly_beyond_the_rate_are_refused() {
    let mut queue = WaitQueue::default();
    // Places that fall free while nobody waits say how many requests arrive, no more.
    for ms in 0..5 {
        queue.use_place(None);
        queue.free_place(None, Millis(ms * 300));
    }
    let tickets: Vec<Ticket> = (0..30)
        .map(|_| queue.enter(claim(1, "w", 2_000, 3_400), Millis(1_400)))
        .collect();
    assert_eq!(queue.hopeless(|_| true, Millis(1_400)), []);
    for ms in [1_500, 1_600, 1_700, 1_800, 1_900] {
        queue.use_place(None);
        queue.free_place(None, Millis(ms));
    }
    // At 10 places a second, 15 fall free in the 1.5 s that are left; twice as many wait.
    assert_eq!(queue.hopeless(|_| true, Millis(1_900)), []);
    let last = queue.enter(claim(1, "w", 2_000, 3_400), Millis(1_900));
    assert_eq!(queue.position(last, Millis(1_900)), 30);
    let hopeless = queue.hopeless(|_| true, Millis(1_900));
    assert_eq!(hopeless, [(last, Millis(1_600))]);
    // Those that wait for a cold target are neither refused nor in the way.
    let is_counted = |ticket: Ticket| ticket != tickets[0];
    assert_eq!(queue.hopeless(is_counted, Millis(1_900)), []);
    // Once due, a request has no use for a place.
    assert_eq!(queue.hopeless(|_| true, Millis(3_400)).len(), 31);
}
