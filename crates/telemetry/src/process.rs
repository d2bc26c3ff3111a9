//! Resource usage of the process.

use procfs::process::Process;

/// CPU time and memory of the process.
#[derive(Debug, Clone, Copy, Default)]
pub struct ProcessUsage {
    /// CPU time since the start of the process, in seconds.
    pub cpu_seconds: f64,
    /// Resident memory, in bytes.
    pub memory_bytes: u64,
}

/// Returns the resource usage of this process, or `None` if `/proc` is not
/// available.
pub fn read_usage() -> Option<ProcessUsage> {
    let stat = Process::myself().ok()?.stat().ok()?;
    let ticks = stat.utime + stat.stime;
    Some(ProcessUsage {
        cpu_seconds: ticks as f64 / procfs::ticks_per_second() as f64,
        memory_bytes: stat.rss * procfs::page_size(),
    })
}
