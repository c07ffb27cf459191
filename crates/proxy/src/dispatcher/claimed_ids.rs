//! The ids of requests that may not run twice. An id stays claimed after its request has been answered or its client has
//! left, since an attempt may have run, or may yet. Both processes of an upgrade share the claims through a file.

mod shared_claims;

use hashbrown::HashMap;
use pumicebay_core::Nanos;
use pumicebay_names::stable_hash;
use shared_claims::SharedClaims;
use std::collections::VecDeque;
use std::path::Path;

/// How long an id stays claimed: far longer than any request or any attempt that was given up.
const CLAIM_PERIOD: Nanos = 60_000_000_000;
/// The most ids that are kept. Beyond that the oldest are forgotten first.
const MAX_CLAIMS: usize = 1 << 15;

/// The claimed ids, by their hash.
#[derive(Debug, Default)]
pub struct ClaimedIds {
    /// When each was claimed.
    claimed_at: HashMap<u64, Nanos>,
    /// The same in the order of time; released ones are still among them.
    order: VecDeque<(Nanos, u64)>,
    /// The claims of both processes of an upgrade; `None` where no other process can take over.
    shared: Option<SharedClaims>,
}

impl ClaimedIds {
    /// Claims that are shared with other processes that use the same folder. `now` and the process id together tell this
    /// process from all others.
    pub fn shared(folder: &Path, now: Nanos) -> ClaimedIds {
        let shared = SharedClaims::open(folder, now ^ u64::from(std::process::id()))
            .inspect_err(|error| tracing::warn!("ids are not shared with other processes: {error}"))
            .ok();
        ClaimedIds { shared, ..ClaimedIds::default() }
    }

    /// Claims an id. Returns false if it is claimed already, here or by the other process.
    pub fn claim(&mut self, now: Nanos, id: &[u8]) -> bool {
        self.forget_old(now);
        let hash = hash(id);
        if self.claimed_at.contains_key(&hash) {
            return false;
        }
        if let Some(shared) = &self.shared
            && !shared.claim(now, hash).unwrap_or(true)
        {
            return false;
        }
        self.claimed_at.insert(hash, now);
        self.order.push_back((now, hash));
        true
    }

    /// Releases an id whose request has not run and never will.
    pub fn release(&mut self, id: &[u8]) {
        let hash = hash(id);
        self.claimed_at.remove(&hash);
        if let Some(shared) = &self.shared {
            let _ = shared.release(hash);
        }
    }

    fn forget_old(&mut self, now: Nanos) {
        while let Some(&(claimed_at, hash)) = self.order.front()
            && (claimed_at + CLAIM_PERIOD <= now || self.order.len() > MAX_CLAIMS)
        {
            self.order.pop_front();
            if self.claimed_at.get(&hash) == Some(&claimed_at) {
                self.claimed_at.remove(&hash);
            }
        }
    }
}

/// The same in all processes and versions.
fn hash(id: &[u8]) -> u64 {
    stable_hash(&String::from_utf8_lossy(id))
}
