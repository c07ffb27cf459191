//! The faults of a run, drawn from its seed.

use crate::replicas::expected::ExpectedState;
use crate::replicas::group::{Disk, Group};
use crate::rig::relay::LinkMode;
use anyhow::Result;
use nix::sys::signal::Signal;
use rand::RngExt;
use rand::rngs::SmallRng;
use std::time::Duration;
use tokio::time::sleep;

/// The shortest and the longest duration of a fault.
const MIN_DURATION: Duration = Duration::from_millis(500);
const MAX_DURATION: Duration = Duration::from_secs(4);
/// The delay of delayed links, for each chunk.
const LINK_DELAY: Duration = Duration::from_millis(150);

/// A fault. Proxies are given by their indices, from 0.
#[derive(Clone, Debug)]
pub enum Fault {
    /// The links between these proxies and all others drop what is sent in one direction or both, delay it,
    /// or are reset.
    Cut { proxies: Vec<usize>, how: LinkMode },
    /// A process is stopped with SIGSTOP and then continued.
    Stopped { proxy: usize },
    /// A process is killed and started again, with this on its disk.
    Killed { proxy: usize, disk: Disk },
    /// Up to a quarter of the proxies are killed at once and started again with their own disks.
    Many { proxies: Vec<usize> },
}

impl Fault {
    /// Draws a fault for a group of `count` proxies.
    pub fn draw(rng: &mut SmallRng, count: usize) -> Fault {
        let proxy = rng.random_range(0..count);
        let neighbours = |rng: &mut SmallRng, most: usize| {
            let first = rng.random_range(0..count);
            let size = rng.random_range(1..=most);
            (first..first + size).map(|at| at % count).collect::<Vec<usize>>()
        };
        match rng.random_range(0..9) {
            0 => Fault::Cut {
                proxies: neighbours(rng, count / 3),
                how: LinkMode::Drop { there: true, back: true },
            },
            1 => Fault::Cut {
                proxies: neighbours(rng, count / 3),
                how: LinkMode::Drop { there: true, back: false },
            },
            2 => Fault::Cut {
                proxies: neighbours(rng, count / 3),
                how: LinkMode::Drop { there: false, back: true },
            },
            3 => Fault::Cut { proxies: neighbours(rng, count / 2), how: LinkMode::Delay(LINK_DELAY) },
            4 => Fault::Cut { proxies: neighbours(rng, count / 2), how: LinkMode::Reset },
            5 => Fault::Stopped { proxy },
            6 => Fault::Many { proxies: neighbours(rng, count / 4) },
            _ => {
                let other = rng.random_range(0..count);
                let disk = [Disk::Own, Disk::Empty, Disk::Spoilt, Disk::Older, Disk::Of(other)];
                Fault::Killed { proxy, disk: disk[rng.random_range(0..disk.len())] }
            }
        }
    }

    /// Applies the fault for a random time and then undoes it, except that one in three link faults lasts
    /// until the group is repaired. Returns an error if a disk can't be prepared or a process can't be
    /// started.
    pub async fn apply(
        self,
        group: &mut Group,
        expected: &mut ExpectedState,
        rng: &mut SmallRng,
    ) -> Result<()> {
        let duration = MIN_DURATION + (MAX_DURATION - MIN_DURATION).mul_f64(rng.random());
        match self {
            Fault::Cut { proxies, how } => {
                group.set_link_mode(&proxies, how);
                sleep(duration).await;
                // A link fault that is not undone here ends with `Group::repair`.
                if rng.random_range(0..3) > 0 {
                    group.set_link_mode(&proxies, LinkMode::Pass);
                }
            }
            Fault::Stopped { proxy } => {
                group.signal(proxy, Signal::SIGSTOP);
                sleep(duration).await;
                group.signal(proxy, Signal::SIGCONT);
            }
            Fault::Killed { proxy, disk } => {
                group.kill(proxy).await;
                if disk.may_lose_orders() {
                    expected.disk_lost(proxy, &group.statuses().await);
                }
                group.prepare_disk(proxy, disk)?;
                sleep(duration / 2).await;
                group.spawn(proxy)?;
            }
            Fault::Many { proxies } => {
                for proxy in &proxies {
                    group.kill(*proxy).await;
                }
                sleep(duration / 2).await;
                for proxy in &proxies {
                    group.spawn(*proxy)?;
                }
            }
        }
        Ok(())
    }
}
