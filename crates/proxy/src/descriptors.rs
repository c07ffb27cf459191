//! File descriptors: keeps some free, and recognizes that none is left.

use crate::connection_limit::ConnectionLimit;
use rustix::io::Errno;
use std::time::Duration;
use tokio::time::sleep;

/// File descriptors kept free, so that discovery, a configuration reload and operators do not wait until an
/// idle client leaves.
const RESERVED_DESCRIPTORS: usize = 4;
/// How often the reserve is checked, and how often what lacks a descriptor is tried again.
pub const DESCRIPTOR_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Asks idle clients to close while fewer than `RESERVED_DESCRIPTORS` are free, for example where the
/// platform grants fewer than the configured limits. A failed accept does so too, but connections to nodes
/// may have used the last descriptors.
pub async fn reserve_descriptors(limit: ConnectionLimit) {
    let Ok(any) = std::fs::File::open("/dev/null") else { return std::future::pending().await };
    loop {
        let free: Vec<_> = (0..RESERVED_DESCRIPTORS).map_while(|_| any.try_clone().ok()).collect();
        let missing = RESERVED_DESCRIPTORS - free.len();
        drop(free);
        (0..missing).for_each(|_| limit.evict_one());
        sleep(DESCRIPTOR_CHECK_INTERVAL).await;
    }
}

/// Whether reading failed because the process or the system has no free file descriptor.
pub fn out_of_descriptors(error: &anyhow::Error) -> bool {
    let code = error.chain().find_map(|error| error.downcast_ref::<std::io::Error>()?.raw_os_error());
    code.is_some_and(|code| [Errno::MFILE, Errno::NFILE].contains(&Errno::from_raw_os_error(code)))
}
