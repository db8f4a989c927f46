//! Simulates text engines with continuous batching in virtual time; times are in
//! microseconds. Each step makes one token for every stream whose prompt is read, and reads
//! at most one chunk of the prompts.

use std::mem;

use gooseberry_kernel::target::placement::Request;

const SLOTS: usize = 16;
const CHUNK_TOKENS: u64 = 4_096;
/// Number of tokens in one event.
pub const STRIDE: u32 = 9;

/// A stream and what its client got.
pub struct Stream {
    pub request: Request,
    pub sent: u64,
    /// Time from the send to the first event.
    pub first: u64,
    pub longest_gap: u64,
    pub events: u32,
    pub slowness_percent: u32,
    position: u64,
    /// Tokens left to read; `None` before the reading begins.
    unread: Option<u64>,
    /// Tokens left to write.
    unwritten: u64,
    event_tokens: u32,
    last_event: u64,
}

/// An engine.
#[derive(Default)]
pub struct SimulatedEngine {
    speed_percent: u64,
    /// Offset of the slow periods, if there are any.
    slow_offset: Option<u64>,
    streams: Vec<Stream>,
    cached: Vec<u64>,
    step_end: u64,
    /// What the present step reads: indexes of streams and numbers of tokens.
    reads: Vec<(usize, u64)>,
}

impl SimulatedEngine {
    pub fn new(speed_percent: u64, slow_offset: Option<u64>) -> Self {
        Self {
            speed_percent,
            slow_offset,
            ..Self::default()
        }
    }

    pub fn load(&self) -> usize {
        self.streams.len()
    }

    pub fn send(&mut self, request: Request, output_tokens: u64, now: u64) {
        self.streams.push(Stream {
            request,
            sent: now,
            first: 0,
            longest_gap: 0,
            events: 0,
            slowness_percent: 100,
            position: 0,
            unread: None,
            unwritten: output_tokens,
            event_tokens: 0,
            last_event: 0,
        });
    }

    /// Makes the steps that are due and returns the streams that ended.
    pub fn advance(&mut self, now: u64) -> Vec<Stream> {
        let mut ended = Vec::new();
        while self.step_end <= now && !self.streams.is_empty() {
            self.end_step();
            ended.extend(self.streams.extract_if(.., |stream| stream.unwritten == 0));
            self.begin_step(now);
        }
        ended
    }

    /// The machine works 2.5 times as long for 90 ms in every 600 ms.
    fn slowness_percent(&self, now: u64) -> u32 {
        let phase = self.slow_offset.map(|offset| (now + offset) % 600_000);
        if phase.is_some_and(|phase| phase < 90_000) {
            250
        } else {
            100
        }
    }

    fn end_step(&mut self) {
        let at = self.step_end;
        let slowness_percent = self.slowness_percent(at);
        let is_running = |stream: &&mut Stream| stream.unread == Some(0);
        for stream in self.streams.iter_mut().filter(is_running) {
            stream.unwritten -= 1;
            stream.event_tokens += 1;
            if stream.event_tokens < STRIDE && stream.unwritten > 0 {
                continue;
            }
            if stream.events == 0 {
                stream.first = at - stream.sent;
                stream.slowness_percent = slowness_percent;
            } else {
                stream.longest_gap = stream.longest_gap.max(at - stream.last_event);
            }
            stream.events += 1;
            stream.event_tokens = 0;
            stream.last_event = at;
        }
        for (index, tokens) in mem::take(&mut self.reads) {
            let stream = &mut self.streams[index];
            stream.position += tokens;
            stream.unread = stream.unread.map(|unread| unread - tokens);
            if stream.unread == Some(0) {
                let shared = stream.request.demand.shared_parts();
                self.cached.extend(shared.iter().map(|part| part.chain));
            }
        }
    }

    fn begin_step(&mut self, now: u64) {
        let mut micros = 3_000;
        let mut chunk = CHUNK_TOKENS;
        for (index, stream) in self.streams.iter_mut().enumerate().take(SLOTS) {
            let demand = &stream.request.demand;
            let cached = || demand.cached_tokens(|chain| self.cached.contains(&chain));
            if stream.unread.is_none() && chunk > 0 {
                stream.position = u64::from(cached());
                stream.unread = Some(u64::from(demand.prompt_tokens) - stream.position);
            }
            let tokens = stream.unread.unwrap_or_default().min(chunk);
            chunk -= tokens;
            // 68 tokens/ms, 0.24 ms for each million pairs, 0.15 ms for each stream.
            let pairs = tokens * (stream.position + tokens / 2);
            micros += 150 + tokens * 1_000 / 68 + pairs * 240 / 1_000_000;
            self.reads.push((index, tokens));
        }
        let slowness_percent = u64::from(self.slowness_percent(now));
        self.step_end = now.max(self.step_end) + micros * slowness_percent / self.speed_percent;
    }
}
