//! Tenants' quotas and what they use of them at this proxy. A plain record without decisions.

use crate::host::Nanos;
use crate::settings::Settings;
use crate::sliding_window::SlidingWindow;
use crate::state::SECOND;

/// The requests of a tenant that this proxy served, and the tenant's quota.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests served at caches by this proxy.
    pub served: SlidingWindow<8>,
    /// Requests per second over all proxies.
    pub quota: f64,
}

/// All tenants by index.
#[derive(Clone, Debug)]
pub struct Tenants(Vec<Tenant>);

impl Tenants {
    /// Reads the quotas; a tenant without one has no limit.
    pub fn new(settings: &Settings) -> Self {
        let quota = |index| settings.number(&format!("tenant.{index}.quota"), f64::INFINITY);
        let window = || SlidingWindow::new(8 * SECOND);
        let tenants = 0..settings.number("tenants", 0.0) as usize;
        let by_index = tenants.map(|index| Tenant { served: window(), quota: quota(index) }).collect();
        Tenants(by_index)
    }

    /// The tenant, if the request names one that is known.
    pub fn get(&self, tenant: Option<usize>) -> Option<&Tenant> {
        self.0.get(tenant?)
    }

    /// Requests served per second for all tenants, relative to the sum of their quotas.
    pub fn quota_use(&self, now: Nanos) -> f64 {
        let served: f64 = self.0.iter().map(|tenant| tenant.served.rate(now)).sum();
        served / self.0.iter().map(|tenant| tenant.quota).sum::<f64>().max(1.0)
    }

    /// Counts a request that is sent to a cache.
    pub fn record_served(&mut self, now: Nanos, tenant: Option<usize>) {
        if let Some(tenant) = tenant.and_then(|tenant| self.0.get_mut(tenant)) {
            tenant.served.add(now, 1.0);
        }
    }
}
