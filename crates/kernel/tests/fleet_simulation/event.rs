//! The events of a simulated run, drawn from a seed.

use super::RESEND_WINDOW;
use super::Random;
use super::STEP;
use super::TARGETS;

/// An event in the simulated fleet.
///
/// `daemon` and `entry` select a running daemon, modulo their number; `entry` is
/// the one to which the client sends. `steps` is a duration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    SendKey {
        key: u32,
        entry: u8,
    },
    SendCall {
        target: u8,
        entry: u8,
    },
    Pause {
        daemon: u8,
        steps: u16,
    },
    Partition {
        sides: u16,
        platform_sides: u8,
        steps: u16,
    },
    DelistDaemon {
        daemon: u8,
    },
    RelistDaemon {
        daemon: u8,
    },
    AddDaemons {
        count: u8,
    },
    ShutDown {
        daemon: u8,
    },
    Kill {
        daemon: u8,
    },
    PlatformDown {
        steps: u16,
    },
    PlatformStale {
        steps: u16,
    },
    PublishSettings {
        is_good: bool,
    },
    SetFreshness {
        millis: u16,
    },
}

/// An event and the step at which it happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimedEvent {
    pub step: u32,
    pub event: Event,
}

/// Draws the events of a run, sorted by step.
pub fn draw_events(seed: u64, steps: u32) -> Vec<TimedEvent> {
    let mut random = Random::new(seed ^ 0xe7e7);
    let mut events = Vec::new();
    let mut keys = 0;
    for step in 10..steps {
        if random.chance_percent(30) {
            draw_key(&mut random, &mut events, keys, step);
            keys += 1;
        }
        if random.chance_percent(50) {
            let target = byte(&mut random, u64::from(TARGETS));
            let entry = byte(&mut random, 200);
            let event = Event::SendCall { target, entry };
            events.push(TimedEvent { step, event });
        }
        if random.chance_percent(9) {
            let event = draw_fault(&mut random);
            events.push(TimedEvent { step, event });
        }
    }
    events.sort_by_key(|timed| timed.step);
    events
}

fn draw_key(random: &mut Random, events: &mut Vec<TimedEvent>, key: u32, step: u32) {
    let sends = 1 + random.next_below(4);
    for send in 0..sends {
        let span = RESEND_WINDOW.0 / STEP.0;
        let delay = if send == 0 {
            0
        } else {
            random.next_below(span)
        };
        let entry = byte(random, 200);
        events.push(TimedEvent {
            step: step + u32::try_from(delay).unwrap(),
            event: Event::SendKey { key, entry },
        });
    }
}

fn draw_fault(random: &mut Random) -> Event {
    let daemon = byte(random, 200);
    let steps = u16::try_from(1 + random.next_below(80)).unwrap();
    match random.next_below(100) {
        0..18 => Event::Pause { daemon, steps },
        18..32 => Event::Partition {
            sides: u16::try_from(random.next_below(1 << 16)).unwrap(),
            platform_sides: byte(random, 4),
            steps,
        },
        32..46 => Event::DelistDaemon { daemon },
        46..58 => Event::RelistDaemon { daemon },
        58..70 => Event::AddDaemons {
            count: 1 + byte(random, 3),
        },
        70..76 => Event::ShutDown { daemon },
        76..82 => Event::Kill { daemon },
        82..87 => Event::PlatformDown { steps },
        87..92 => Event::PlatformStale { steps },
        92..97 => Event::PublishSettings {
            is_good: random.chance_percent(70),
        },
        _ => Event::SetFreshness {
            millis: u16::try_from(400 + random.next_below(12) * 100).unwrap(),
        },
    }
}

fn byte(random: &mut Random, limit: u64) -> u8 {
    u8::try_from(random.next_below(limit)).unwrap()
}
