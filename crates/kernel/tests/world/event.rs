//! What happens to a fleet, drawn from a seed.

use super::RESEND;
use super::Random;
use super::STEP;
use super::TARGETS;

/// One thing that happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    Key { key: u32, via: u8 },
    Call { target: u8, via: u8 },
    Pause { who: u8, steps: u16 },
    Cut { sides: u16, reaches: u8, steps: u16 },
    Drop { who: u8 },
    Relist { who: u8 },
    Add { count: u8 },
    Leave { who: u8 },
    Kill { who: u8 },
    Down { steps: u16 },
    Stale { steps: u16 },
    Publish { is_good: bool },
    Freshness { millis: u16 },
}

/// A thing and when it happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timed {
    pub step: u32,
    pub event: Event,
}

/// Draws the events of a run, in their order.
pub fn draw(seed: u64, steps: u32) -> Vec<Timed> {
    let mut random = Random::new(seed ^ 0xe7e7);
    let mut events = Vec::new();
    let mut keys = 0;
    for step in 10..steps {
        if random.percent(30) {
            draw_key(&mut random, &mut events, keys, step);
            keys += 1;
        }
        if random.percent(50) {
            let target = byte(&mut random, u64::from(TARGETS));
            let via = byte(&mut random, 200);
            let event = Event::Call { target, via };
            events.push(Timed { step, event });
        }
        if random.percent(9) {
            let event = draw_fault(&mut random);
            events.push(Timed { step, event });
        }
    }
    events.sort_by_key(|timed| timed.step);
    events
}

fn draw_key(random: &mut Random, events: &mut Vec<Timed>, key: u32, step: u32) {
    let sends = 1 + random.below(4);
    for send in 0..sends {
        let span = RESEND.0 / STEP.0;
        let later = if send == 0 { 0 } else { random.below(span) };
        let via = byte(random, 200);
        events.push(Timed {
            step: step + u32::try_from(later).unwrap(),
            event: Event::Key { key, via },
        });
    }
}

fn draw_fault(random: &mut Random) -> Event {
    let who = byte(random, 200);
    let steps = u16::try_from(1 + random.below(80)).unwrap();
    match random.below(100) {
        0..18 => Event::Pause { who, steps },
        18..32 => Event::Cut {
            sides: u16::try_from(random.below(1 << 16)).unwrap(),
            reaches: byte(random, 4),
            steps,
        },
        32..46 => Event::Drop { who },
        46..58 => Event::Relist { who },
        58..70 => Event::Add {
            count: 1 + byte(random, 3),
        },
        70..76 => Event::Leave { who },
        76..82 => Event::Kill { who },
        82..87 => Event::Down { steps },
        87..92 => Event::Stale { steps },
        92..97 => Event::Publish {
            is_good: random.percent(70),
        },
        _ => Event::Freshness {
            millis: u16::try_from(400 + random.below(12) * 100).unwrap(),
        },
    }
}

fn byte(random: &mut Random, limit: u64) -> u8 {
    u8::try_from(random.below(limit)).unwrap()
}
