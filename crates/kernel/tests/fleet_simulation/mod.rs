//! A simulated fleet: a few nodes on one virtual clock, with injected faults.
//!
//! A run is a pure function of its seed, its events and the rules in force, so a
//! failing run can be minimized by leaving out events. After every step the
//! invariants of the whole fleet are checked; see [`Simulation::check`].

#![allow(dead_code, unused_imports, clippy::needless_pass_by_value)]

mod event;
mod platform;

use std::fmt::Write as _;

use gooseberry_kernel::clock::Millis;
use gooseberry_kernel::concurrency_limit::ReportedState;
use gooseberry_kernel::concurrency_limit::TargetSignal;
use gooseberry_kernel::drain::Phase;
use gooseberry_kernel::handover::Chunk;
use gooseberry_kernel::hash;
use gooseberry_kernel::heartbeat::Heartbeat;
use gooseberry_kernel::id;
use gooseberry_kernel::idempotency::Completion;
use gooseberry_kernel::idempotency::Decision;
use gooseberry_kernel::idempotency::Key;
use gooseberry_kernel::idempotency::RecordedAnswer;
use gooseberry_kernel::lease::LeaseState;
use gooseberry_kernel::lease::RecentList;
use gooseberry_kernel::lease::Resource;
use gooseberry_kernel::lease::Rules;
use gooseberry_kernel::node::Action;
use gooseberry_kernel::node::Identity;
use gooseberry_kernel::node::Missing;
use gooseberry_kernel::node::Node;
use gooseberry_kernel::published_list::PublishedList;
use gooseberry_kernel::published_list::Revision;
use gooseberry_kernel::settings::Tree;
use gooseberry_kernel::slot::Call;
use gooseberry_kernel::slot::SlotDecision;
use gooseberry_kernel::slot::Wake;

pub use event::Event;
pub use event::TimedEvent;
pub use event::draw_events;
pub use platform::Platform;

/// The duration of one step.
pub const STEP: Millis = Millis(100);
/// How long a client may resend a key, not counting the delivery of its request.
pub const RESEND_WINDOW: Millis = Millis(4000);
/// The horizon in the settings; it covers the delivery time as well.
pub const HORIZON: Millis = Millis(6000);
/// The longest duration of a call at a target.
pub const LONGEST_CALL: Millis = Millis(3000);
/// The most concurrent calls at a cold target.
pub const COLD_LIMIT: usize = 2;
/// The number of targets.
pub const TARGETS: u8 = 2;
/// How many key hashes are checked for a second lease holder.
const WATCHED_KEYS: u64 = 6;

/// A seeded random number generator.
#[derive(Clone, Debug)]
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(hash::mix(seed, 0x5eed))
    }

    pub fn next_below(&mut self, limit: u64) -> u64 {
        self.0 = hash::mix(self.0, 1);
        self.0 % limit.max(1)
    }

    pub fn chance_percent(&mut self, percent: u64) -> bool {
        self.next_below(100) < percent
    }
}

/// A message between two daemons, or from the platform to a daemon.
///
/// The time in a heartbeat and its reply is when the heartbeat was sent.
#[derive(Clone, Debug)]
enum Message {
    Heartbeat(Heartbeat, Millis),
    HeartbeatReply(Heartbeat, Millis),
    Fetch(Missing),
    List(PublishedList),
    Settings(Tree),
    /// A delayed answer of the platform, with the time of the request.
    PlatformAnswer(PublishedList, Tree, Millis),
    RecentLists(Vec<RecentList>),
    Chunk(Chunk),
    Key {
        key: u32,
        is_first: bool,
    },
    Call {
        target: u8,
        attempt: u32,
    },
}

#[derive(Clone, Debug)]
struct Envelope {
    due: Millis,
    from: usize,
    to: usize,
    message: Message,
}

/// A send that was decided but has not been carried out.
#[derive(Clone, Copy, Debug)]
enum PendingSend {
    Key(u32),
    Call { target: u8, attempt: u32 },
}

/// Work at a target, which continues whatever happens to its sender.
#[derive(Clone, Copy, Debug)]
struct RunningWork {
    send: PendingSend,
    ends_at: Millis,
    /// How a request with a key ends: not run if 0, unknown if 1 or 2, and
    /// answered otherwise.
    outcome: u8,
}

#[derive(Debug)]
struct Daemon {
    node: Node,
    started_at: Millis,
    is_alive: bool,
    paused_until: Millis,
    side: u8,
    departed_at: Option<Millis>,
    pending_sends: Vec<(Millis, PendingSend)>,
    running: Vec<RunningWork>,
    last_list: Revision,
    last_settings: Revision,
}

impl Daemon {
    fn is_awake(&self, now: Millis) -> bool {
        self.is_alive && now >= self.paused_until
    }
}

/// Counters of a run, which show that it exercised the rules.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// How many key hashes had a lease holder, summed over the steps.
    pub held: u64,
    /// How many key hashes were checked, summed over the steps.
    pub watched: u64,
    /// How many requests with a key ran.
    pub runs: u64,
    /// How many calls were sent to targets.
    pub calls: u64,
    /// How many requests with a key were refused.
    pub refused: u64,
}

/// The fleet, its platform, its network and its targets.
#[derive(Debug)]
pub struct Simulation {
    pub now: Millis,
    pub platform: Platform,
    pub stats: Stats,
    random: Random,
    rules: Rules,
    daemons: Vec<Daemon>,
    in_transit: Vec<Envelope>,
    /// The end of each call in progress, by target.
    in_flight: Vec<Vec<Millis>>,
    /// How often each key ran, by key number.
    runs: Vec<u8>,
    /// Whether each key was sent before, by key number.
    is_sent: Vec<bool>,
    attempts: u32,
    partitioned_until: Millis,
    /// The sides of the partition that reach the platform, one bit each.
    platform_sides: u8,
    violation: Option<String>,
}

impl Simulation {
    pub fn new(seed: u64, members: usize, rules: Rules) -> Self {
        let mut simulation = Self {
            now: Millis(1000),
            platform: Platform::new(),
            stats: Stats::default(),
            random: Random::new(seed),
            rules,
            daemons: Vec::new(),
            in_transit: Vec::new(),
            in_flight: vec![Vec::new(); usize::from(TARGETS)],
            runs: Vec::new(),
            is_sent: Vec::new(),
            attempts: 0,
            partitioned_until: Millis::ZERO,
            platform_sides: 3,
            violation: None,
        };
        for _ in 0..members {
            simulation.start_daemon();
        }
        simulation.platform.publish();
        simulation
    }

    fn start_daemon(&mut self) {
        let index = self.daemons.len();
        let name = daemon_id(index);
        let domain = ["north", "south", "west"][index % 3];
        let me = Identity {
            instance: name.clone(),
            domain: id::Domain::new(domain).unwrap(),
        };
        let mut node = Node::new(me.clone(), index as u64, Millis::ZERO);
        node.set_rules(self.rules);
        self.platform.list_daemon(&name, &me.domain);
        self.daemons.push(Daemon {
            node,
            started_at: self.now,
            is_alive: true,
            paused_until: Millis::ZERO,
            side: u8::try_from(self.random.next_below(2)).unwrap(),
            departed_at: None,
            pending_sends: Vec::new(),
            running: Vec::new(),
            last_list: Revision::default(),
            last_settings: Revision::default(),
        });
    }

    // Access

    /// Returns a node and its local time.
    pub fn node(&mut self, index: usize) -> (&mut Node, Millis) {
        let daemon = &mut self.daemons[index];
        (&mut daemon.node, self.now - daemon.started_at)
    }

    pub fn local_time(&self, index: usize) -> Millis {
        self.now - self.daemons[index].started_at
    }

    pub fn pause(&mut self, index: usize, until: Millis) {
        self.daemons[index].paused_until = until;
    }

    pub fn count(&self) -> usize {
        self.daemons.len()
    }

    fn alive(&self) -> Vec<usize> {
        let all = 0..self.daemons.len();
        all.filter(|index| self.daemons[*index].is_alive).collect()
    }

    fn select_running(&self, daemon: u8) -> Option<usize> {
        let alive = self.alive();
        (!alive.is_empty()).then(|| alive[usize::from(daemon) % alive.len()])
    }

    fn index_of(&self, id: &id::Instance) -> Option<usize> {
        (0..self.daemons.len()).find(|index| daemon_id(*index) == *id)
    }

    // Events

    pub fn apply(&mut self, event: Event) {
        match event {
            Event::SendKey { key, entry } => self.send_key(key, entry),
            Event::SendCall { target, entry } => self.send_call(target, entry),
            Event::Pause { daemon, steps } => {
                let until = self.now + Millis(u64::from(steps) * STEP.0);
                if let Some(index) = self.select_running(daemon) {
                    self.daemons[index].paused_until = until;
                }
            }
            Event::Partition {
                sides,
                platform_sides,
                steps,
            } => {
                for (index, daemon) in self.daemons.iter_mut().enumerate() {
                    daemon.side = u8::try_from(sides >> (index % 16) & 1).unwrap();
                }
                self.platform_sides = platform_sides;
                self.partitioned_until = self.now + Millis(u64::from(steps) * STEP.0);
            }
            Event::DelistDaemon { daemon } => {
                if let Some(index) = self.select_running(daemon) {
                    self.platform.drop_daemon(&daemon_id(index));
                    self.platform.publish();
                }
            }
            Event::RelistDaemon { daemon } => self.relist(daemon),
            Event::AddDaemons { count } => {
                for _ in 0..count {
                    if self.alive().len() < 10 {
                        self.start_daemon();
                    }
                }
                self.platform.publish();
            }
            Event::ShutDown { daemon } => self.shut_down(daemon),
            Event::Kill { daemon } => {
                let index = self
                    .select_running(daemon)
                    .filter(|_| self.alive().len() > 2);
                if let Some(index) = index {
                    self.daemons[index].is_alive = false;
                }
            }
            Event::PlatformDown { steps } => {
                self.platform.down_until = self.now + Millis(u64::from(steps) * STEP.0);
            }
            Event::PlatformStale { steps } => {
                self.platform.stale_until = self.now + Millis(u64::from(steps) * STEP.0);
            }
            Event::PublishSettings { is_good } => self.platform.put_fleet(is_good, None),
            Event::SetFreshness { millis } => {
                self.platform.put_fleet(true, Some(u64::from(millis)));
            }
        }
    }

    fn relist(&mut self, daemon: u8) {
        let Some(index) = self.select_running(daemon) else {
            return;
        };
        if self.daemons[index].departed_at.is_some() {
            return;
        }
        let domain = self.daemons[index].node.identity().domain.clone();
        self.platform.list_daemon(&daemon_id(index), &domain);
        self.platform.publish();
    }

    fn shut_down(&mut self, daemon: u8) {
        let index = self
            .select_running(daemon)
            .filter(|_| self.alive().len() > 2);
        let Some(index) = index else { return };
        let (node, now) = self.node(index);
        node.begin_shutdown(Millis(3000), now);
        self.platform.mark_leaving(&daemon_id(index));
        self.platform.publish();
    }

    fn send_key(&mut self, key: u32, entry: u8) {
        let Some(entry) = self.select_running(entry) else {
            return;
        };
        let index = key as usize;
        if self.is_sent.len() <= index {
            self.is_sent.resize(index + 1, false);
            self.runs.resize(index + 1, 0);
        }
        if !self.daemons[entry].is_awake(self.now) {
            return;
        }
        let is_first = !std::mem::replace(&mut self.is_sent[index], true);
        let hash = key_of(key).hash();
        let owner = self.daemons[entry].node.key_owner(hash);
        if let Some(owner) = owner.ok().and_then(|owner| self.index_of(&owner.id)) {
            self.send_message(entry, owner, Message::Key { key, is_first });
        }
    }

    fn send_call(&mut self, target: u8, entry: u8) {
        let Some(entry) = self.select_running(entry) else {
            return;
        };
        self.attempts += 1;
        let attempt = self.attempts;
        let node = &self.daemons[entry].node;
        let list = node.leases().list();
        let found = list.and_then(|list| {
            let listed = list.target(&target_id(target))?;
            list.owner_of_target(listed).cloned()
        });
        if let Some(owner) = found.and_then(|owner| self.index_of(&owner.id)) {
            self.send_message(entry, owner, Message::Call { target, attempt });
        }
    }

    // Network

    fn send_message(&mut self, from: usize, to: usize, message: Message) {
        let copies = match self.random.next_below(100) {
            0..4 => 0,
            4..8 => 2,
            _ => 1,
        };
        // Calls and requests with a key are never duplicated; control messages
        // may be.
        let is_work = matches!(message, Message::Key { .. } | Message::Call { .. });
        let copies = if is_work { copies.min(1) } else { copies };
        for _ in 0..copies {
            let delay = if self.random.chance_percent(8) { 15 } else { 2 };
            let delay = Millis(self.random.next_below(delay) * STEP.0);
            let delay = if from == to { Millis::ZERO } else { delay };
            self.in_transit.push(Envelope {
                due: self.now + delay,
                from,
                to,
                message: message.clone(),
            });
        }
    }

    fn can_reach(&self, from: usize, to: usize) -> bool {
        let is_partitioned = self.now < self.partitioned_until;
        !is_partitioned || self.daemons[from].side == self.daemons[to].side
    }

    fn deliver(&mut self) {
        let in_transit = std::mem::take(&mut self.in_transit);
        let now = self.now;
        let (mut due, later): (Vec<Envelope>, Vec<Envelope>) =
            in_transit.into_iter().partition(|envelope| {
                envelope.due <= now && now >= self.daemons[envelope.to].paused_until
            });
        self.in_transit = later;
        while !due.is_empty() {
            let next = self.random.next_below(due.len() as u64);
            let envelope = due.swap_remove(usize::try_from(next).unwrap());
            if self.daemons[envelope.to].is_alive && self.can_reach(envelope.from, envelope.to) {
                self.receive(envelope);
            }
        }
    }

    fn receive(&mut self, envelope: Envelope) {
        let Envelope {
            from, to, message, ..
        } = envelope;
        let (node, now) = self.node(to);
        match message {
            Message::Heartbeat(heartbeat, sent_at) => {
                let missing = node.receive_heartbeat(&heartbeat, now);
                let reply = Message::HeartbeatReply(node.heartbeat(now), sent_at);
                self.send_message(to, from, reply);
                self.fetch(to, from, missing);
            }
            Message::HeartbeatReply(heartbeat, sent_at) => {
                let missing = node.receive_heartbeat_reply(&heartbeat, sent_at, now);
                self.fetch(to, from, missing);
            }
            Message::Fetch(missing) => self.serve_fetch(from, to, missing),
            Message::List(list) => node.adopt_list(&list, now),
            Message::Chunk(chunk) => node.receive_handover(&chunk, now),
            Message::RecentLists(lists) => node.adopt_recent_lists(&lists, now),
            Message::PlatformAnswer(list, tree, asked_at) => {
                node.apply_published_list(&list, asked_at, now);
                node.apply_published_settings(&tree, asked_at, now);
            }
            Message::Settings(tree) => node.adopt_settings(&tree, now),
            Message::Key { key, is_first } => self.begin_key(to, key, is_first),
            Message::Call { target, attempt } => self.start_call(to, target, attempt),
        }
    }

    fn fetch(&mut self, daemon: usize, from: usize, missing: Missing) {
        if missing != Missing::default() {
            self.send_message(daemon, from, Message::Fetch(missing));
        }
    }

    fn serve_fetch(&mut self, fetcher: usize, daemon: usize, missing: Missing) {
        let node = &self.daemons[daemon].node;
        let list = node.leases().list().cloned();
        let tree = node.settings().tree();
        let lists = node.leases().recent_lists(self.local_time(daemon));
        if let Some(list) = list.filter(|_| missing.list) {
            self.send_message(daemon, fetcher, Message::List(list));
        }
        if let Some(lists) = lists.filter(|_| missing.recent_lists) {
            self.send_message(daemon, fetcher, Message::RecentLists(lists));
        }
        if missing.settings {
            self.send_message(daemon, fetcher, Message::Settings(tree));
        }
    }

    // Work

    fn begin_key(&mut self, daemon: usize, key: u32, is_first: bool) {
        let (node, now) = self.node(daemon);
        let digest = id::Digest([0; 32]);
        match node.begin_key(&key_of(key), digest, is_first, now) {
            Ok(Decision::Run) => self.delay_send(daemon, PendingSend::Key(key)),
            Ok(Decision::Refuse(_)) => self.stats.refused += 1,
            Ok(Decision::AwaitRunning | Decision::Replay(_)) | Err(_) => {}
        }
    }

    fn start_call(&mut self, daemon: usize, target: u8, attempt: u32) {
        let (node, now) = self.node(daemon);
        let call = Call {
            crashes: 0,
            digest: id::Digest([0; 32]),
            target: target_id(target),
            attempt: attempt_id(attempt),
            workspace: id::Workspace::new("desk.porters").unwrap(),
            due: now + Millis(4000),
            deadline: now + Millis(4000),
        };
        if let Ok(SlotDecision::Granted) = node.start_call(&call, now) {
            self.delay_send(daemon, PendingSend::Call { target, attempt });
        }
    }

    fn wake(&mut self, daemon: usize, wakes: Vec<Wake>) {
        for wake in wakes.into_iter().filter(|wake| wake.refusal.is_none()) {
            let target = (0..TARGETS).find(|target| target_id(*target) == wake.target);
            let send = PendingSend::Call {
                target: target.unwrap(),
                attempt: u32::from(wake.attempt.number),
            };
            self.delay_send(daemon, send);
        }
    }

    /// Delays a send after its decision, as a pause of the process would.
    fn delay_send(&mut self, daemon: usize, send: PendingSend) {
        let delay = Millis(self.random.next_below(3) * STEP.0);
        let due = self.now + delay;
        self.daemons[daemon].pending_sends.push((due, send));
    }

    fn send_due(&mut self, daemon: usize) {
        let now = self.now;
        let sends = std::mem::take(&mut self.daemons[daemon].pending_sends);
        let (due, later): (Vec<_>, Vec<_>) = sends.into_iter().partition(|send| send.0 <= now);
        self.daemons[daemon].pending_sends = later;
        for (_, send) in due {
            match send {
                PendingSend::Key(key) => self.run_key(daemon, key),
                PendingSend::Call { target, attempt } => self.run_call(daemon, target, attempt),
            }
        }
    }

    fn run_key(&mut self, daemon: usize, key: u32) {
        let (node, now) = self.node(daemon);
        if !node.holds_key(&key_of(key), now) {
            node.finish_key(&key_of(key), Completion::NotRun, now);
            return;
        }
        let outcome = u8::try_from(self.random.next_below(10)).unwrap();
        if outcome > 0 {
            self.runs[key as usize] += 1;
            self.stats.runs += 1;
        }
        self.start_work(daemon, PendingSend::Key(key), outcome);
    }

    fn run_call(&mut self, daemon: usize, target: u8, attempt: u32) {
        let (node, now) = self.node(daemon);
        let permit = node.permit_send(&target_id(target), attempt_id(attempt), now);
        if permit.is_err() {
            return;
        }
        self.stats.calls += 1;
        let ends_at = self.start_work(daemon, PendingSend::Call { target, attempt }, 1);
        self.in_flight[usize::from(target)].push(ends_at);
    }

    fn start_work(&mut self, daemon: usize, send: PendingSend, outcome: u8) -> Millis {
        let span = Millis((1 + self.random.next_below(LONGEST_CALL.0 / STEP.0)) * STEP.0);
        let ends_at = self.now + span;
        let work = RunningWork {
            send,
            ends_at,
            outcome,
        };
        self.daemons[daemon].running.push(work);
        ends_at
    }

    fn finish_due(&mut self, daemon: usize) {
        let now = self.now;
        let running = std::mem::take(&mut self.daemons[daemon].running);
        let (due, later): (Vec<_>, Vec<_>) =
            running.into_iter().partition(|work| work.ends_at <= now);
        self.daemons[daemon].running = later;
        for work in due {
            self.finish(daemon, work);
        }
    }

    fn finish(&mut self, daemon: usize, work: RunningWork) {
        let (node, now) = self.node(daemon);
        match work.send {
            PendingSend::Key(key) => {
                let completion = match work.outcome {
                    0 => Completion::NotRun,
                    1 | 2 => Completion::Unknown,
                    _ => Completion::Answered(recorded_answer()),
                };
                node.finish_key(&key_of(key), completion, now);
            }
            PendingSend::Call { target, attempt } => {
                let signal = TargetSignal::Answered(Some(ReportedState::Cold));
                let digest = id::Digest([0; 32]);
                let target = target_id(target);
                let wakes = node.finish_call(&target, attempt_id(attempt), signal, digest, now);
                self.wake(daemon, wakes);
            }
        }
    }

    // Steps

    /// Advances the simulation by one step and checks the invariants.
    pub fn step(&mut self) {
        self.now = self.now + STEP;
        self.deliver();
        for daemon in self.alive() {
            if self.daemons[daemon].is_awake(self.now) {
                self.run_daemon(daemon);
            }
        }
        let now = self.now;
        for target in &mut self.in_flight {
            target.retain(|ends_at| *ends_at > now);
        }
        self.check();
    }

    fn run_daemon(&mut self, daemon: usize) {
        // After a pause a daemon may carry out its sends before anything else.
        self.send_due(daemon);
        self.finish_due(daemon);
        self.read_platform(daemon);
        let (node, now) = self.node(daemon);
        let actions = node.tick(now);
        let heartbeat = node.heartbeat(now);
        for action in actions {
            match action {
                Action::SendHeartbeat(member) => {
                    if let Some(to) = self.index_of(&member.id) {
                        self.send_message(daemon, to, Message::Heartbeat(heartbeat.clone(), now));
                    }
                }
                Action::Wake(wake) => self.wake(daemon, vec![wake]),
            }
        }
        self.finish_shutdown(daemon);
    }

    fn read_platform(&mut self, daemon: usize) {
        let is_partitioned = self.now < self.partitioned_until;
        let reaches_platform =
            !is_partitioned || self.platform_sides >> self.daemons[daemon].side & 1 == 1;
        let is_answered = self.random.chance_percent(60);
        if !reaches_platform || !is_answered || self.now < self.platform.down_until {
            return;
        }
        let is_lagging = self.random.chance_percent(20) && !self.platform.is_exact;
        let lag = usize::from(is_lagging);
        let stale_lag = usize::try_from(self.random.next_below(6)).unwrap();
        let lag = lag
            + if self.now < self.platform.stale_until {
                stale_lag
            } else {
                0
            };
        let list = self.platform.list(lag + self.platform.list_lag);
        let tree = self.platform.tree(lag + self.platform.settings_lag);
        let delay = self.platform.delay;
        if delay > Millis::ZERO {
            let (node, now) = self.node(daemon);
            let is_reader = node.is_list_reader(now) || node.is_settings_reader(now);
            if is_reader {
                let due = self.now + delay;
                let message = Message::PlatformAnswer(list, tree, now);
                let (from, to) = (daemon, daemon);
                self.in_transit.push(Envelope {
                    due,
                    from,
                    to,
                    message,
                });
            }
            return;
        }
        let (node, now) = self.node(daemon);
        if node.is_list_reader(now) {
            node.apply_published_list_now(&list, now);
        }
        if node.is_settings_reader(now) {
            node.apply_published_settings_now(&tree, now);
        }
    }

    fn finish_shutdown(&mut self, daemon: usize) {
        if let Some(departed_at) = self.daemons[daemon].departed_at {
            if self.now >= departed_at + Millis(400) {
                self.daemons[daemon].is_alive = false;
                self.platform.drop_daemon(&daemon_id(daemon));
                self.platform.publish();
            }
            return;
        }
        let (node, now) = self.node(daemon);
        if matches!(node.shutdown_phase(now), Phase::Done | Phase::LimitReached) {
            let chunks = node.start_handover(now);
            let peers = node.announce_departure();
            let heartbeat = node.heartbeat(now);
            for (peer, chunks) in chunks {
                if let Some(to) = self.index_of(&peer.id) {
                    for chunk in chunks {
                        self.send_message(daemon, to, Message::Chunk(chunk));
                    }
                }
            }
            for peer in peers {
                if let Some(to) = self.index_of(&peer.id) {
                    self.send_message(daemon, to, Message::Heartbeat(heartbeat.clone(), now));
                }
            }
            self.daemons[daemon].departed_at = Some(self.now);
        }
    }

    // Checks

    /// Checks the invariants of the whole fleet: at most one lease holder per
    /// resource, at most one run per key, no cold target above its limit, no
    /// revision reverted, and no violation reported by a node.
    fn check(&mut self) {
        let mut faults = String::new();
        for key in 0..WATCHED_KEYS {
            let holders = self.holders(&Resource::Key(hash::mix(key, 77)));
            self.stats.watched += 1;
            self.stats.held += u64::from(!holders.is_empty());
            if holders.len() > 1 {
                write!(faults, "key {key} has the lease holders {holders:?}; ").unwrap();
            }
        }
        for target in 0..TARGETS {
            let holders = self.holders(&Resource::Target(target_id(target)));
            if holders.len() > 1 {
                write!(
                    faults,
                    "target {target} has the lease holders {holders:?}; "
                )
                .unwrap();
            }
            let load = self.in_flight[usize::from(target)].len();
            if load > COLD_LIMIT {
                write!(faults, "cold target {target} has {load} calls; ").unwrap();
            }
        }
        for (key, runs) in self.runs.iter().enumerate().filter(|run| *run.1 > 1) {
            write!(faults, "key {key} ran {runs} times; ").unwrap();
        }
        for daemon in &mut self.daemons {
            let list = daemon.node.leases().revision();
            let settings = daemon.node.settings().revision();
            if list < daemon.last_list || settings < daemon.last_settings {
                faults.push_str("a revision was reverted; ");
            }
            daemon.last_list = list;
            daemon.last_settings = settings;
            for name in daemon.node.take_violations() {
                write!(faults, "the node reported {name}; ").unwrap();
            }
        }
        if !faults.is_empty() && self.violation.is_none() {
            self.violation = Some(faults);
        }
    }

    /// Returns the daemons that hold the lease on the resource now. Paused daemons
    /// count too, because after the pause they act on their state before it.
    pub fn holders(&self, resource: &Resource) -> Vec<usize> {
        let holds_lease = |daemon: &usize| {
            let lease = self.daemons[*daemon]
                .node
                .leases()
                .lease_state(resource, self.local_time(*daemon));
            matches!(lease, LeaseState::Held { .. })
        };
        self.alive().into_iter().filter(holds_lease).collect()
    }

    /// Returns the first violation, if there is one.
    pub fn violation(&self) -> Option<&str> {
        self.violation.as_deref()
    }

    pub fn record_violation(&mut self, violation: String) {
        self.violation.get_or_insert(violation);
    }
}

/// Runs the events of a seed; returns the counters and the first violation.
pub fn run(seed: u64, events: &[TimedEvent], steps: u32, rules: Rules) -> (Stats, Option<String>) {
    let mut simulation = Simulation::new(seed, 5, rules);
    let mut next = events.iter().peekable();
    for step in 0..steps {
        while let Some(timed) = next.next_if(|timed| timed.step <= step) {
            simulation.apply(timed.event);
        }
        simulation.step();
        if let Some(violation) = simulation.violation() {
            let violation = format!("at step {step}: {violation}");
            return (simulation.stats, Some(violation));
        }
    }
    (simulation.stats, None)
}

/// Removes events as long as the run still violates an invariant.
pub fn minimize(seed: u64, events: &[TimedEvent], steps: u32, rules: Rules) -> Vec<TimedEvent> {
    let mut kept = events.to_vec();
    let mut size = kept.len() / 2;
    while size > 0 {
        let mut start = 0;
        while start < kept.len() {
            let mut fewer = kept.clone();
            fewer.drain(start..(start + size).min(kept.len()));
            if run(seed, &fewer, steps, rules).1.is_some() {
                kept = fewer;
            } else {
                start += size;
            }
        }
        size /= 2;
    }
    kept
}

pub fn daemon_id(index: usize) -> id::Instance {
    id::Instance::new(&format!("daemon-{index}")).unwrap()
}

pub fn target_id(target: u8) -> id::Target {
    id::Target::new(&format!("ledger-{target}")).unwrap()
}

pub fn key_of(key: u32) -> Key {
    Key {
        workspace: id::Workspace::new("desk.porters").unwrap(),
        pipeline: id::Pipeline::new("booking").unwrap(),
        text: format!("deposit-{key}"),
    }
}

pub fn attempt_id(attempt: u32) -> id::Attempt {
    id::Attempt {
        request: id::Request(u128::from(attempt)),
        stage: 0,
        number: u16::try_from(attempt).unwrap(),
    }
}

pub fn recorded_answer() -> RecordedAnswer {
    RecordedAnswer {
        status: 200,
        headers: Vec::new(),
        body: b"done".as_slice().into(),
    }
}
