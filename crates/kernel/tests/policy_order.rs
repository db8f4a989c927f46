//! Compares the orders of a target's queue under rising load, by missed
//! deadlines and wasted target time.

#![allow(missing_docs, clippy::unwrap_used)]

mod policy_site;

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::concurrency_limit::ReportedState;
use gooseberry_kernel::concurrency_limit::TargetSignal;
use gooseberry_kernel::fair_queue::Order;
use gooseberry_kernel::hash;
use gooseberry_kernel::id;
use gooseberry_kernel::settings::Policy;
use gooseberry_kernel::settings::Pool;
use gooseberry_kernel::slot::Call;
use gooseberry_kernel::slot::SlotDecision;
use gooseberry_kernel::slot::SlotRules;
use gooseberry_kernel::slot::SlotTable;
use policy_site::READY;

/// Calls that arrive earlier are not counted, because the target is warming up.
const WARM_UP_MS: u64 = 1000;
/// How long calls arrive; a run lasts until the last deadline after that.
const ARRIVAL_MS: u64 = 6000;
/// The time from arrival to deadline is one of these, chosen at random.
const DEADLINES_MS: [u64; 3] = [300, 1000, 4000];
/// The range of the time that the target works on a call.
const WORK_MS: (u64, u64) = (50, 150);
/// The number of runs of each kind, with the seeds from 0 on.
const SEED_COUNT: u64 = 2;

#[derive(Debug, Default)]
struct Score {
    sent: u64,
    in_time: u64,
    work_ms: u64,
    wasted_ms: u64,
}

impl Score {
    fn missed_thousandths(&self) -> u64 {
        1000 - self.in_time * 1000 / self.sent.max(1)
    }

    fn wasted_thousandths(&self) -> u64 {
        self.wasted_ms * 1000 / self.work_ms.max(1)
    }
}

struct Running {
    call: Call,
    work_ms: u64,
    ends_at: Millis,
}

struct Run<'a> {
    table: SlotTable,
    rules: SlotRules<'a>,
    waiting: Vec<Call>,
    running: Vec<Running>,
    score: Score,
    random: u64,
}

impl Run<'_> {
    fn draw(&mut self) -> u64 {
        self.random = hash::mix(self.random, 1);
        self.random
    }

    fn send(&mut self, call: Call, now: Millis) {
        let work_ms = WORK_MS.0 + self.draw() % (WORK_MS.1 - WORK_MS.0);
        let ends_at = now + Millis(work_ms);
        self.running.push(Running {
            call,
            work_ms,
            ends_at,
        });
    }

    /// Lets a call arrive whose number is the millisecond of its arrival.
    fn arrive(&mut self, number: u64, now: Millis) {
        let time_left = DEADLINES_MS[usize::try_from(self.draw() % 3).unwrap()];
        let mut call = policy_site::call(0, 0, now + Millis(time_left));
        call.attempt.request = id::Request(number.into());
        self.score.sent += u64::from(number >= WARM_UP_MS);
        match self.table.acquire(&call, 1, self.rules, Millis::ZERO, now) {
            SlotDecision::Granted => self.send(call, now),
            SlotDecision::Queued => self.waiting.push(call),
            SlotDecision::Refused(_) => {}
        }
    }

    fn end(&mut self, now: Millis) {
        let all = std::mem::take(&mut self.running);
        let (ended, running): (Vec<_>, Vec<_>) =
            all.into_iter().partition(|running| running.ends_at <= now);
        self.running = running;
        for running in ended {
            self.count(&running, now);
            let signal = TargetSignal::Answered(Some(ReportedState::Warm));
            let call = &running.call;
            let wakes = self
                .table
                .finish(&call.target, call.attempt, signal, self.rules, now);
            self.wake(wakes, now);
        }
    }

    fn count(&mut self, running: &Running, now: Millis) {
        if running.call.attempt.request.0 < u128::from(WARM_UP_MS) {
            return;
        }
        let is_in_time = now <= running.call.deadline;
        self.score.in_time += u64::from(is_in_time);
        self.score.work_ms += running.work_ms;
        self.score.wasted_ms += if is_in_time { 0 } else { running.work_ms };
    }

    fn wake(&mut self, wakes: Vec<gooseberry_kernel::slot::Wake>, now: Millis) {
        for wake in wakes {
            let same = |call: &Call| call.attempt == wake.attempt;
            let index = self.waiting.iter().position(same).unwrap();
            let call = self.waiting.remove(index);
            if wake.refusal.is_none() {
                self.send(call, now);
            }
        }
    }
}

/// Runs a load of `percent` of the capacity of the warm target.
fn run(pool: &Pool, policy: Policy, order: Order, percent: u64, seed: u64) -> Score {
    let rules = SlotRules {
        pool,
        policy,
        order,
    };
    let mut run = Run {
        table: SlotTable::default(),
        rules,
        waiting: Vec::new(),
        running: Vec::new(),
        score: Score::default(),
        random: seed,
    };
    // A call takes 100 ms on average, so a slot serves 1000 / 100 per second.
    let per_sec = u64::from(pool.warm_limit) * 1000 / 100 * percent / 100;
    for step in 0..ARRIVAL_MS + DEADLINES_MS[2] {
        let now = READY + Millis(step);
        run.end(now);
        if run.draw() % 1000 < per_sec && step < ARRIVAL_MS {
            run.arrive(step, now);
        }
        let wakes = run.table.tick(now, |_| Ok((rules, Millis::ZERO)));
        run.wake(wakes, now);
    }
    assert_eq!(run.table.overruns(), 0);
    run.score
}

fn total(pool: &Pool, policy: Policy, order: Order, percent: u64) -> Score {
    let mut total = Score::default();
    for seed in 0..SEED_COUNT {
        let score = run(pool, policy, order, percent, seed);
        total.sent += score.sent;
        total.in_time += score.in_time;
        total.work_ms += score.work_ms;
        total.wasted_ms += score.wasted_ms;
    }
    total
}

#[test]
fn earliest_due_misses_no_more_than_other_orders_and_wastes_little() {
    let node = policy_site::node("adaptive", 1);
    let mut pool = node
        .settings()
        .pool(&policy_site::query(0).pool)
        .unwrap()
        .clone();
    pool.queue_limit = 64;
    println!("load  policy and order      missed  wasted (thousandths)");
    for percent in [80, 120, 300] {
        let show = |name: &str, policy, order| {
            let score = total(&pool, policy, order, percent);
            let (missed, wasted) = (score.missed_thousandths(), score.wasted_thousandths());
            println!("{percent:4}  {name:20} {missed:7} {wasted:7}");
            (missed, wasted)
        };
        let baseline = show("baseline", Policy::Baseline, Order::Fifo);
        let fifo = show("first come", Policy::Adaptive, Order::Fifo);
        let lifo = show("newest first", Policy::Adaptive, Order::Lifo);
        let earliest = show("earliest deadline", Policy::Adaptive, Order::EarliestDue);
        assert!(earliest.0 <= fifo.0.max(lifo.0));
        assert!(earliest.0 <= baseline.0);
        assert!(earliest.1 < 100);
    }
}
