//! News between proxies over UDP, where the settings allow it.

/// The way to all peers.
pub struct Peers;

impl Peers {
    pub fn tell(&self, _text: &str) {}
}
