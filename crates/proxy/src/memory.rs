//! What memory this process holds, as the kernel says.

/// In units of 1,024 bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryUsage {
    pub resident_kb: u64,
    /// The most that was resident since the start.
    pub peak_kb: u64,
}

impl MemoryUsage {
    /// `None` where the kernel does not say.
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

/// Watches this process's memory against its limit: one log line whenever another part of it is in use.
#[derive(Debug)]
pub struct MemoryMonitor {
    limit_kb: u64,
    /// Eighths of the limit that were in use when it was looked last.
    eighths: u64,
}

impl MemoryMonitor {
    /// Parts of the limit that are told apart.
    const STEPS: u64 = 8;

    pub fn new(limit_kb: u64) -> MemoryMonitor {
        MemoryMonitor { limit_kb: limit_kb.max(1), eighths: 0 }
    }

    /// Looks once. Only growth is logged, and each part once.
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
