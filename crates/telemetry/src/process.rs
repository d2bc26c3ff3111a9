//! What the process itself uses.

use procfs::process::Process;

/// Processor time and memory of the process.
#[derive(Debug, Clone, Copy, Default)]
pub struct ProcessUsage {
    /// Processor time since the start, in seconds.
    pub cpu_seconds: f64,
    /// Resident memory in bytes.
    pub memory_bytes: u64,
}

/// Reads the usage of this process, or nothing where the system does not tell.
pub fn read_usage() -> Option<ProcessUsage> {
    let stat = Process::myself().ok()?.stat().ok()?;
    let ticks = stat.utime + stat.stime;
    Some(ProcessUsage {
        cpu_seconds: ticks as f64 / procfs::ticks_per_second() as f64,
        memory_bytes: stat.rss * procfs::page_size(),
    })
}
