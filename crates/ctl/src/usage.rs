//! CPU time and memory of this process, read from `/proc`.

use std::fs;
use std::time::Duration;

/// Page size of the supported machines, in bytes.
const PAGE_BYTES: u64 = 4096;

/// Returns the CPU time that the threads of this process have used.
///
/// It reads the scheduler statistics, which count nanoseconds; the process
/// totals count only hundredths of a second.
#[must_use]
pub fn cpu() -> Duration {
    let Ok(threads) = fs::read_dir("/proc/self/task") else {
        return Duration::ZERO;
    };
    let paths = threads.filter_map(|thread| Some(thread.ok()?.path().join("schedstat")));
    let texts = paths.filter_map(|path| fs::read_to_string(path).ok());
    let nanos = texts.filter_map(|text| text.split(' ').next()?.parse::<u64>().ok());
    Duration::from_nanos(nanos.sum())
}

/// Returns the resident memory of this process, in bytes.
#[must_use]
pub fn memory_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.map_or(0, |pages: u64| pages * PAGE_BYTES)
}
