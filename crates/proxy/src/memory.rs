//! The memory that this process uses, as the kernel reports it.

/// Memory use in units of 1,024 bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryUsage {
    /// The resident memory now.
    pub resident_kb: u64,
    /// The most that was resident since the start of the process.
    pub peak_kb: u64,
}

impl MemoryUsage {
    /// Reads the current figures; `None` if the kernel does not report them.
    pub fn current() -> Option<MemoryUsage> {
        MemoryUsage::parse(&std::fs::read_to_string("/proc/self/status").ok()?)
    }

    fn parse(status: &str) -> Option<MemoryUsage> {
        let field = |name: &str| {
            let rest = status.lines().find_map(|line| line.strip_prefix(name))?;
            rest.trim().split(' ').next()?.parse().ok()
        };
        Some(MemoryUsage { resident_kb: field("VmRSS:")?, peak_kb: field("VmHWM:")? })
    }
}

/// Compares the memory use with a limit and logs each time when another eighth of the limit is in use.
#[derive(Debug)]
pub struct MemoryMonitor {
    limit_kb: u64,
    /// Eighths of the limit in use at the highest check so far.
    eighths: u64,
}

impl MemoryMonitor {
    /// Parts into which the limit is divided.
    const STEPS: u64 = 8;

    /// A monitor for this limit, in units of 1,024 bytes.
    pub fn new(limit_kb: u64) -> MemoryMonitor {
        MemoryMonitor { limit_kb: limit_kb.max(1), eighths: 0 }
    }

    /// Checks once. Logs growth only, and each eighth once.
    pub fn check(&mut self) {
        let Some(MemoryUsage { resident_kb, peak_kb }) = MemoryUsage::current() else { return };
        let eighths = resident_kb * MemoryMonitor::STEPS / self.limit_kb;
        if eighths > self.eighths {
            self.eighths = eighths;
            let limit_kb = self.limit_kb;
            tracing::info!("memory: {resident_kb} KB resident of {limit_kb} KB, peak {peak_kb} KB");
        }
    }
}
