//! What tenants get from this proxy. A plain record, no choices.

use crate::host::Nanos;
use crate::ring::Ring;
use crate::settings::Settings;
use crate::state::SECOND;

/// What a tenant gets from this proxy, and its quota over all proxies, a second.
#[derive(Clone, Debug)]
pub struct Tenant {
    pub served: Ring<8>,
    pub quota: f64,
}

#[derive(Clone, Debug)]
pub struct Tenants(Vec<Tenant>);

impl Tenants {
    pub fn new(settings: &Settings) -> Self {
        let quota = |at| settings.number(&format!("tenant.{at}.quota"), f64::INFINITY);
        let ring = || Ring::new(8 * SECOND);
        let tenants = 0..settings.number("tenants", 0.0) as usize;
        let each = tenants.map(|at| Tenant { served: ring(), quota: quota(at) }).collect();
        Tenants(each)
    }

    pub fn get(&self, tenant: Option<usize>) -> Option<&Tenant> {
        self.0.get(tenant?)
    }

    /// What all together are served, beside all their quotas.
    pub fn all_had(&self, now: Nanos) -> f64 {
        let served: f64 = self.0.iter().map(|tenant| tenant.served.rate(now)).sum();
        served / self.0.iter().map(|tenant| tenant.quota).sum::<f64>().max(1.0)
    }

    pub fn serve(&mut self, now: Nanos, tenant: Option<usize>) {
        if let Some(tenant) = tenant.and_then(|tenant| self.0.get_mut(tenant)) {
            tenant.served.add(now, 1.0);
        }
    }
}
