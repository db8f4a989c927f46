//! A few nodes on one virtual clock, with the faults that a fleet meets.
//!
//! A run is a pure function of its seed, its events and the rules in force, so
//! a failing run can be shortened by leaving events out. After every step the
//! whole set is checked: see [`World::check`].

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
use gooseberry_kernel::id;
use gooseberry_kernel::node::Action;
use gooseberry_kernel::node::Identity;
use gooseberry_kernel::node::Need;
use gooseberry_kernel::node::Node;
use gooseberry_kernel::once::End;
use gooseberry_kernel::once::Key;
use gooseberry_kernel::once::Record;
use gooseberry_kernel::once::Verdict;
use gooseberry_kernel::peer::Hello;
use gooseberry_kernel::roster::List;
use gooseberry_kernel::roster::Revision;
use gooseberry_kernel::settings::Tree;
use gooseberry_kernel::slot::Call;
use gooseberry_kernel::slot::SlotDecision;
use gooseberry_kernel::slot::Wake;
use gooseberry_kernel::tenure::Past;
use gooseberry_kernel::tenure::Right;
use gooseberry_kernel::tenure::Rules;
use gooseberry_kernel::tenure::Thing;

pub use event::Event;
pub use event::Timed;
pub use event::draw;
pub use platform::Platform;

/// The length of one step.
pub const STEP: Millis = Millis(100);
/// How long a caller may send a key again, less the travel of its request.
pub const RESEND: Millis = Millis(4000);
/// The settings' horizon covers the travel as well.
pub const HORIZON: Millis = Millis(6000);
/// The longest call of a target.
pub const LONGEST: Millis = Millis(3000);
/// What a cold target bears.
pub const COLD_LIMIT: usize = 2;
/// How many targets there are.
pub const TARGETS: u8 = 2;
/// How many key hashes are watched for a second holder.
const WATCHED_KEYS: u64 = 6;

/// A source of random numbers that is given its seed.
#[derive(Clone, Debug)]
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(hash::mix(seed, 0x5eed))
    }

    pub fn below(&mut self, limit: u64) -> u64 {
        self.0 = hash::mix(self.0, 1);
        self.0 % limit.max(1)
    }

    pub fn percent(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}

/// What travels between two daemons.
#[derive(Clone, Debug)]
enum Letter {
    Question(Hello, Millis),
    Answer(Hello, Millis),
    Fetch(Need),
    List(List),
    Settings(Tree),
    /// A slow answer of the platform, with the time of its question.
    Read(List, Tree, Millis),
    Past(Vec<Past>),
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
struct Mail {
    due: Millis,
    from: usize,
    to: usize,
    letter: Letter,
}

/// A send that was decided and has not left yet.
#[derive(Clone, Copy, Debug)]
enum Send {
    Key(u32),
    Call { target: u8, attempt: u32 },
}

/// Work at a target, which goes on whatever becomes of its sender.
#[derive(Clone, Copy, Debug)]
struct Work {
    send: Send,
    ends_at: Millis,
    fate: u8,
}

#[derive(Debug)]
struct Daemon {
    node: Node,
    born: Millis,
    is_alive: bool,
    paused_until: Millis,
    side: u8,
    left_at: Option<Millis>,
    sends: Vec<(Millis, Send)>,
    works: Vec<Work>,
    list: Revision,
    settings: Revision,
}

impl Daemon {
    fn is_awake(&self, now: Millis) -> bool {
        self.is_alive && now >= self.paused_until
    }
}

/// What a run has shown, beside that it broke nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// How many key hashes had a holder, summed over the steps.
    pub held: u64,
    /// How many key hashes were watched, summed over the steps.
    pub watched: u64,
    /// How many keys ran.
    pub runs: u64,
    /// How many calls targets got.
    pub calls: u64,
    /// How many keys got the answer that their fate is not known.
    pub unknown: u64,
}

/// The fleet, its platform, its network and its targets.
#[derive(Debug)]
pub struct World {
    pub now: Millis,
    pub platform: Platform,
    pub stats: Stats,
    random: Random,
    rules: Rules,
    daemons: Vec<Daemon>,
    mail: Vec<Mail>,
    /// The calls in progress at each target: when each ends.
    in_flight: Vec<Vec<Millis>>,
    /// How often each key ran, by its number.
    runs: Vec<u8>,
    /// Whether each key was sent before.
    is_sent: Vec<bool>,
    attempts: u32,
    cut_until: Millis,
    /// The sides that reach the platform, one bit each.
    reaches: u8,
    broken: Option<String>,
}

impl World {
    pub fn new(seed: u64, members: usize, rules: Rules) -> Self {
        let mut world = Self {
            now: Millis(1000),
            platform: Platform::new(),
            stats: Stats::default(),
            random: Random::new(seed),
            rules,
            daemons: Vec::new(),
            mail: Vec::new(),
            in_flight: vec![Vec::new(); usize::from(TARGETS)],
            runs: Vec::new(),
            is_sent: Vec::new(),
            attempts: 0,
            cut_until: Millis::ZERO,
            reaches: 3,
            broken: None,
        };
        for _ in 0..members {
            world.start_daemon();
        }
        world.platform.publish();
        world
    }

    fn start_daemon(&mut self) {
        let index = self.daemons.len();
        let name = name(index);
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
            born: self.now,
            is_alive: true,
            paused_until: Millis::ZERO,
            side: u8::try_from(self.random.below(2)).unwrap(),
            left_at: None,
            sends: Vec::new(),
            works: Vec::new(),
            list: Revision::default(),
            settings: Revision::default(),
        });
    }

    // Access

    /// Returns a node and its own time.
    pub fn node(&mut self, index: usize) -> (&mut Node, Millis) {
        let daemon = &mut self.daemons[index];
        (&mut daemon.node, self.now - daemon.born)
    }

    pub fn local(&self, index: usize) -> Millis {
        self.now - self.daemons[index].born
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

    fn pick(&self, who: u8) -> Option<usize> {
        let alive = self.alive();
        (!alive.is_empty()).then(|| alive[usize::from(who) % alive.len()])
    }

    fn index_of(&self, id: &id::Instance) -> Option<usize> {
        (0..self.daemons.len()).find(|index| name(*index) == *id)
    }

    // Events

    pub fn apply(&mut self, event: Event) {
        match event {
            Event::Key { key, via } => self.send_key(key, via),
            Event::Call { target, via } => self.send_call(target, via),
            Event::Pause { who, steps } => {
                let until = self.now + Millis(u64::from(steps) * STEP.0);
                if let Some(index) = self.pick(who) {
                    self.daemons[index].paused_until = until;
                }
            }
            Event::Cut {
                sides,
                reaches,
                steps,
            } => {
                for (index, daemon) in self.daemons.iter_mut().enumerate() {
                    daemon.side = u8::try_from(sides >> (index % 16) & 1).unwrap();
                }
                self.reaches = reaches;
                self.cut_until = self.now + Millis(u64::from(steps) * STEP.0);
            }
            Event::Drop { who } => {
                if let Some(index) = self.pick(who) {
                    self.platform.drop_daemon(&name(index));
                    self.platform.publish();
                }
            }
            Event::Relist { who } => self.relist(who),
            Event::Add { count } => {
                for _ in 0..count {
                    if self.alive().len() < 10 {
                        self.start_daemon();
                    }
                }
                self.platform.publish();
            }
            Event::Leave { who } => self.leave(who),
            Event::Kill { who } => {
                let index = self.pick(who).filter(|_| self.alive().len() > 2);
                if let Some(index) = index {
                    self.daemons[index].is_alive = false;
                }
            }
            Event::Down { steps } => {
                self.platform.down_until = self.now + Millis(u64::from(steps) * STEP.0);
            }
            Event::Stale { steps } => {
                self.platform.stale_until = self.now + Millis(u64::from(steps) * STEP.0);
            }
            Event::Publish { is_good } => self.platform.put_fleet(is_good, None),
            Event::Freshness { millis } => {
                self.platform.put_fleet(true, Some(u64::from(millis)));
            }
        }
    }

    fn relist(&mut self, who: u8) {
        let Some(index) = self.pick(who) else { return };
        if self.daemons[index].left_at.is_some() {
            return;
        }
        let domain = self.daemons[index].node.identity().domain.clone();
        self.platform.list_daemon(&name(index), &domain);
        self.platform.publish();
    }

    fn leave(&mut self, who: u8) {
        let index = self.pick(who).filter(|_| self.alive().len() > 2);
        let Some(index) = index else { return };
        let (node, now) = self.node(index);
        node.shut_down(Millis(3000), now);
        self.platform.mark_leaving(&name(index));
        self.platform.publish();
    }

    fn send_key(&mut self, key: u32, via: u8) {
        let Some(entry) = self.pick(via) else { return };
        let at = key as usize;
        if self.is_sent.len() <= at {
            self.is_sent.resize(at + 1, false);
            self.runs.resize(at + 1, 0);
        }
        if !self.daemons[entry].is_awake(self.now) {
            return;
        }
        let is_first = !std::mem::replace(&mut self.is_sent[at], true);
        let hash = key_of(key).hash();
        let owner = self.daemons[entry].node.key_owner(hash);
        if let Some(owner) = owner.ok().and_then(|owner| self.index_of(&owner.id)) {
            self.post(entry, owner, Letter::Key { key, is_first });
        }
    }

    fn send_call(&mut self, target: u8, via: u8) {
        let Some(entry) = self.pick(via) else { return };
        self.attempts += 1;
        let attempt = self.attempts;
        let node = &self.daemons[entry].node;
        let list = node.tenure().list();
        let found = list.and_then(|list| {
            let listed = list.target(&target_of(target))?;
            list.owner_of_target(listed).cloned()
        });
        if let Some(owner) = found.and_then(|owner| self.index_of(&owner.id)) {
            self.post(entry, owner, Letter::Call { target, attempt });
        }
    }

    // Network

    fn post(&mut self, from: usize, to: usize, letter: Letter) {
        let copies = match self.random.below(100) {
            0..4 => 0,
            4..8 => 2,
            _ => 1,
        };
        // A call and a keyed request travel once; control may be doubled.
        let is_work = matches!(letter, Letter::Key { .. } | Letter::Call { .. });
        let copies = if is_work { copies.min(1) } else { copies };
        for _ in 0..copies {
            let delay = if self.random.percent(8) { 15 } else { 2 };
            let delay = Millis(self.random.below(delay) * STEP.0);
            let delay = if from == to { Millis::ZERO } else { delay };
            self.mail.push(Mail {
                due: self.now + delay,
                from,
                to,
                letter: letter.clone(),
            });
        }
    }

    fn is_linked(&self, one: usize, other: usize) -> bool {
        let is_cut = self.now < self.cut_until;
        !is_cut || self.daemons[one].side == self.daemons[other].side
    }

    fn deliver(&mut self) {
        let mail = std::mem::take(&mut self.mail);
        let now = self.now;
        let (mut due, later): (Vec<Mail>, Vec<Mail>) = mail
            .into_iter()
            .partition(|mail| mail.due <= now && now >= self.daemons[mail.to].paused_until);
        self.mail = later;
        while !due.is_empty() {
            let next = self.random.below(due.len() as u64);
            let mail = due.swap_remove(usize::try_from(next).unwrap());
            if self.daemons[mail.to].is_alive && self.is_linked(mail.from, mail.to) {
                self.take(mail);
            }
        }
    }

    fn take(&mut self, mail: Mail) {
        let Mail {
            from, to, letter, ..
        } = mail;
        let (node, now) = self.node(to);
        match letter {
            Letter::Question(hello, sent_at) => {
                let need = node.greeted(&hello, now);
                let answer = Letter::Answer(node.hello(now), sent_at);
                self.post(to, from, answer);
                self.fetch(to, from, need);
            }
            Letter::Answer(hello, sent_at) => {
                let need = node.answered(&hello, sent_at, now);
                self.fetch(to, from, need);
            }
            Letter::Fetch(need) => self.serve_fetch(from, to, need),
            Letter::List(list) => node.adopt_list(&list, now),
            Letter::Chunk(chunk) => node.inherit(&chunk, now),
            Letter::Past(past) => node.adopt_past(&past, now),
            Letter::Read(list, tree, asked_at) => {
                node.take_list(&list, asked_at, now);
                node.take_settings(&tree, asked_at, now);
            }
            Letter::Settings(tree) => node.adopt_settings(&tree, now),
            Letter::Key { key, is_first } => self.begin(to, key, is_first),
            Letter::Call { target, attempt } => self.start(to, target, attempt),
        }
    }

    fn fetch(&mut self, at: usize, from: usize, need: Need) {
        if need != Need::default() {
            self.post(at, from, Letter::Fetch(need));
        }
    }

    fn serve_fetch(&mut self, asker: usize, at: usize, need: Need) {
        let node = &self.daemons[at].node;
        let list = node.tenure().list().cloned();
        let tree = node.book().tree();
        let past = node.tenure().past(self.local(at));
        if let Some(list) = list.filter(|_| need.list) {
            self.post(at, asker, Letter::List(list));
        }
        if let Some(past) = past.filter(|_| need.past) {
            self.post(at, asker, Letter::Past(past));
        }
        if need.settings {
            self.post(at, asker, Letter::Settings(tree));
        }
    }

    // Work

    fn begin(&mut self, at: usize, key: u32, is_first: bool) {
        let (node, now) = self.node(at);
        let digest = id::Digest([0; 32]);
        match node.begin(&key_of(key), digest, is_first, now) {
            Ok(Verdict::Run) => self.delay_send(at, Send::Key(key)),
            Ok(Verdict::Refuse(_)) => self.stats.unknown += 1,
            Ok(Verdict::Join | Verdict::Replay(_)) | Err(_) => {}
        }
    }

    fn start(&mut self, at: usize, target: u8, attempt: u32) {
        let (node, now) = self.node(at);
        let call = Call {
            crashes: 0,
            digest: id::Digest([0; 32]),
            target: target_of(target),
            attempt: attempt_of(attempt),
            workspace: id::Workspace::new("desk.porters").unwrap(),
            due: now + Millis(4000),
            deadline: now + Millis(4000),
        };
        if let Ok(SlotDecision::Granted) = node.start(&call, now) {
            self.delay_send(at, Send::Call { target, attempt });
        }
    }

    fn wake(&mut self, at: usize, wakes: Vec<Wake>) {
        for wake in wakes.into_iter().filter(|wake| wake.refusal.is_none()) {
            let target = (0..TARGETS).find(|one| target_of(*one) == wake.target);
            let send = Send::Call {
                target: target.unwrap(),
                attempt: u32::from(wake.attempt.number),
            };
            self.delay_send(at, send);
        }
    }

    /// Puts time between a decision and its send, as a pause would.
    fn delay_send(&mut self, at: usize, send: Send) {
        let delay = Millis(self.random.below(3) * STEP.0);
        let due = self.now + delay;
        self.daemons[at].sends.push((due, send));
    }

    fn send_due(&mut self, at: usize) {
        let now = self.now;
        let sends = std::mem::take(&mut self.daemons[at].sends);
        let (due, later): (Vec<_>, Vec<_>) = sends.into_iter().partition(|one| one.0 <= now);
        self.daemons[at].sends = later;
        for (_, send) in due {
            match send {
                Send::Key(key) => self.run_key(at, key),
                Send::Call { target, attempt } => self.run_call(at, target, attempt),
            }
        }
    }

    fn run_key(&mut self, at: usize, key: u32) {
        let (node, now) = self.node(at);
        if !node.holds_key(&key_of(key), now) {
            node.end(&key_of(key), End::NotRun, now);
            return;
        }
        let fate = u8::try_from(self.random.below(10)).unwrap();
        if fate > 0 {
            self.runs[key as usize] += 1;
            self.stats.runs += 1;
        }
        self.work(at, Send::Key(key), fate);
    }

    fn run_call(&mut self, at: usize, target: u8, attempt: u32) {
        let (node, now) = self.node(at);
        let grant = node.grant(&target_of(target), attempt_of(attempt), now);
        if grant.is_err() {
            return;
        }
        self.stats.calls += 1;
        let ends_at = self.work(at, Send::Call { target, attempt }, 1);
        self.in_flight[usize::from(target)].push(ends_at);
    }

    fn work(&mut self, at: usize, send: Send, fate: u8) -> Millis {
        let span = Millis((1 + self.random.below(LONGEST.0 / STEP.0)) * STEP.0);
        let ends_at = self.now + span;
        let work = Work {
            send,
            ends_at,
            fate,
        };
        self.daemons[at].works.push(work);
        ends_at
    }

    fn finish_due(&mut self, at: usize) {
        let now = self.now;
        let works = std::mem::take(&mut self.daemons[at].works);
        let (due, later): (Vec<_>, Vec<_>) = works.into_iter().partition(|one| one.ends_at <= now);
        self.daemons[at].works = later;
        for work in due {
            self.finish(at, work);
        }
    }

    fn finish(&mut self, at: usize, work: Work) {
        let (node, now) = self.node(at);
        match work.send {
            Send::Key(key) => {
                let end = match work.fate {
                    0 => End::NotRun,
                    1 | 2 => End::Unknown,
                    _ => End::Answered(record()),
                };
                node.end(&key_of(key), end, now);
            }
            Send::Call { target, attempt } => {
                let signal = TargetSignal::Answered(Some(ReportedState::Cold));
                let digest = id::Digest([0; 32]);
                let target = target_of(target);
                let wakes = node.finish(&target, attempt_of(attempt), signal, digest, now);
                self.wake(at, wakes);
            }
        }
    }

    // Steps

    /// Lets one step pass, and checks the whole set after it.
    pub fn step(&mut self) {
        self.now = self.now + STEP;
        self.deliver();
        for at in self.alive() {
            if self.daemons[at].is_awake(self.now) {
                self.act(at);
            }
        }
        let now = self.now;
        for target in &mut self.in_flight {
            target.retain(|ends_at| *ends_at > now);
        }
        self.check();
    }

    fn act(&mut self, at: usize) {
        // Who wakes may get to its sends before it gets to anything else.
        self.send_due(at);
        self.finish_due(at);
        self.read(at);
        let (node, now) = self.node(at);
        let actions = node.tick(now);
        let hello = node.hello(now);
        for action in actions {
            match action {
                Action::Greet(member) => {
                    if let Some(to) = self.index_of(&member.id) {
                        self.post(at, to, Letter::Question(hello.clone(), now));
                    }
                }
                Action::Wake(wake) => self.wake(at, vec![wake]),
            }
        }
        self.pass_away(at);
    }

    fn read(&mut self, at: usize) {
        let is_cut = self.now < self.cut_until;
        let is_reached = !is_cut || self.reaches >> self.daemons[at].side & 1 == 1;
        let is_lucky = self.random.percent(60);
        if !is_reached || !is_lucky || self.now < self.platform.down_until {
            return;
        }
        let is_lagging = self.random.percent(20) && !self.platform.is_exact;
        let lag = usize::from(is_lagging);
        let old = usize::try_from(self.random.below(6)).unwrap();
        let lag = lag
            + if self.now < self.platform.stale_until {
                old
            } else {
                0
            };
        let list = self.platform.list(lag + self.platform.list_lag);
        let tree = self.platform.tree(lag + self.platform.settings_lag);
        let delay = self.platform.delay;
        if delay > Millis::ZERO {
            let (node, now) = self.node(at);
            let is_reader = node.is_list_reader(now) || node.is_settings_reader(now);
            if is_reader {
                let due = self.now + delay;
                let letter = Letter::Read(list, tree, now);
                let (from, to) = (at, at);
                self.mail.push(Mail {
                    due,
                    from,
                    to,
                    letter,
                });
            }
            return;
        }
        let (node, now) = self.node(at);
        if node.is_list_reader(now) {
            node.read_list(&list, now);
        }
        if node.is_settings_reader(now) {
            node.read_settings(&tree, now);
        }
    }

    fn pass_away(&mut self, at: usize) {
        if let Some(left_at) = self.daemons[at].left_at {
            if self.now >= left_at + Millis(400) {
                self.daemons[at].is_alive = false;
                self.platform.drop_daemon(&name(at));
                self.platform.publish();
            }
            return;
        }
        let (node, now) = self.node(at);
        if matches!(node.shutdown_phase(now), Phase::Done | Phase::Cut) {
            let chunks = node.hand_over(now);
            let peers = node.say_goodbye();
            let hello = node.hello(now);
            for (peer, chunks) in chunks {
                if let Some(to) = self.index_of(&peer.id) {
                    for chunk in chunks {
                        self.post(at, to, Letter::Chunk(chunk));
                    }
                }
            }
            for peer in peers {
                if let Some(to) = self.index_of(&peer.id) {
                    self.post(at, to, Letter::Question(hello.clone(), now));
                }
            }
            self.daemons[at].left_at = Some(self.now);
        }
    }

    // Checks

    /// Checks what must hold over the whole set.
    fn check(&mut self) {
        let mut faults = String::new();
        for key in 0..WATCHED_KEYS {
            let holders = self.holders(&Thing::Key(hash::mix(key, 77)));
            self.stats.watched += 1;
            self.stats.held += u64::from(!holders.is_empty());
            if holders.len() > 1 {
                write!(faults, "key {key} has the holders {holders:?}; ").unwrap();
            }
        }
        for target in 0..TARGETS {
            let holders = self.holders(&Thing::Target(target_of(target)));
            if holders.len() > 1 {
                write!(faults, "target {target} has the holders {holders:?}; ").unwrap();
            }
            let load = self.in_flight[usize::from(target)].len();
            if load > COLD_LIMIT {
                write!(faults, "cold target {target} has {load} calls; ").unwrap();
            }
        }
        for (key, runs) in self.runs.iter().enumerate().filter(|one| *one.1 > 1) {
            write!(faults, "key {key} ran {runs} times; ").unwrap();
        }
        for daemon in &mut self.daemons {
            let list = daemon.node.tenure().revision();
            let settings = daemon.node.book().revision();
            if list < daemon.list || settings < daemon.settings {
                faults.push_str("a revision went back; ");
            }
            daemon.list = list;
            daemon.settings = settings;
            for name in daemon.node.take_violations() {
                write!(faults, "the node noted {name}; ").unwrap();
            }
        }
        if !faults.is_empty() && self.broken.is_none() {
            self.broken = Some(faults);
        }
    }

    /// Returns who could use the right now, paused daemons included, since
    /// one that wakes acts on what it knew before.
    pub fn holders(&self, thing: &Thing) -> Vec<usize> {
        let may = |at: &usize| {
            let right = self.daemons[*at]
                .node
                .tenure()
                .right(thing, self.local(*at));
            matches!(right, Right::Held { .. })
        };
        self.alive().into_iter().filter(may).collect()
    }

    /// Returns what was broken first, if anything.
    pub fn broken(&self) -> Option<&str> {
        self.broken.as_deref()
    }

    pub fn fail(&mut self, what: String) {
        self.broken.get_or_insert(what);
    }
}

/// Runs a seed's events, and returns what was broken.
pub fn run(seed: u64, events: &[Timed], steps: u32, rules: Rules) -> (Stats, Option<String>) {
    let mut world = World::new(seed, 5, rules);
    let mut next = events.iter().peekable();
    for step in 0..steps {
        while let Some(timed) = next.next_if(|timed| timed.step <= step) {
            world.apply(timed.event);
        }
        world.step();
        if let Some(broken) = world.broken() {
            let broken = format!("at step {step}: {broken}");
            return (world.stats, Some(broken));
        }
    }
    (world.stats, None)
}

/// Leaves out every event that the failure does not need.
pub fn shorten(seed: u64, events: &[Timed], steps: u32, rules: Rules) -> Vec<Timed> {
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

pub fn name(index: usize) -> id::Instance {
    id::Instance::new(&format!("daemon-{index}")).unwrap()
}

pub fn target_of(target: u8) -> id::Target {
    id::Target::new(&format!("ledger-{target}")).unwrap()
}

pub fn key_of(key: u32) -> Key {
    Key {
        workspace: id::Workspace::new("desk.porters").unwrap(),
        pipeline: id::Pipeline::new("booking").unwrap(),
        text: format!("deposit-{key}"),
    }
}

pub fn attempt_of(attempt: u32) -> id::Attempt {
    id::Attempt {
        request: id::Request(u128::from(attempt)),
        stage: 0,
        number: u16::try_from(attempt).unwrap(),
    }
}

pub fn record() -> Record {
    Record {
        status: 200,
        headers: Vec::new(),
        body: b"done".as_slice().into(),
    }
}
