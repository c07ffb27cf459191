//! What goes wrong in a play, drawn from its seed.

use crate::replicas::group::{Disk, Group};
use crate::replicas::truth::Truth;
use crate::rig::relay::Mode;
use anyhow::Result;
use nix::sys::signal::Signal;
use rand::RngExt;
use rand::rngs::SmallRng;
use std::time::Duration;
use tokio::time::sleep;

const SHORTEST: Duration = Duration::from_millis(500);
const LONGEST: Duration = Duration::from_secs(4);
const DELAY: Duration = Duration::from_millis(150);

/// A fault; places of proxies count from 0.
#[derive(Clone, Debug)]
pub enum Fault {
    /// What passes between these and all others is swallowed, one way or both, or late, or the links are reset.
    Cut { proxies: Vec<usize>, how: Mode },
    /// A process stands still.
    Stopped { proxy: usize },
    /// A process is killed and starts again.
    Killed { proxy: usize, disk: Disk },
    /// A fourth of all are killed at once.
    Many { proxies: Vec<usize> },
}

impl Fault {
    pub fn draw(random: &mut SmallRng, count: usize) -> Fault {
        let proxy = random.random_range(0..count);
        let some = |random: &mut SmallRng, most: usize| {
            let first = random.random_range(0..count);
            let wanted = random.random_range(1..=most);
            (first..first + wanted).map(|at| at % count).collect::<Vec<usize>>()
        };
        match random.random_range(0..9) {
            0 => Fault::Cut { proxies: some(random, count / 3), how: Mode::Drop { there: true, back: true } },
            1 => {
                Fault::Cut { proxies: some(random, count / 3), how: Mode::Drop { there: true, back: false } }
            }
            2 => {
                Fault::Cut { proxies: some(random, count / 3), how: Mode::Drop { there: false, back: true } }
            }
            3 => Fault::Cut { proxies: some(random, count / 2), how: Mode::Delay(DELAY) },
            4 => Fault::Cut { proxies: some(random, count / 2), how: Mode::Reset },
            5 => Fault::Stopped { proxy },
            6 => Fault::Many { proxies: some(random, count / 4) },
            _ => {
                let other = random.random_range(0..count);
                let disk = [Disk::Own, Disk::Empty, Disk::Spoilt, Disk::Older, Disk::Of(other)];
                Fault::Killed { proxy, disk: disk[random.random_range(0..disk.len())] }
            }
        }
    }

    /// Goes wrong, and lasts for a while; most of it is over then, a cut may go on.
    pub async fn strike(self, group: &mut Group, truth: &mut Truth, random: &mut SmallRng) -> Result<()> {
        let lasts = SHORTEST + (LONGEST - SHORTEST).mul_f64(random.random());
        match self {
            Fault::Cut { proxies, how } => {
                group.set_links(&proxies, how);
                sleep(lasts).await;
                // The last ones end when all does.
                if random.random_range(0..3) > 0 {
                    group.set_links(&proxies, Mode::Pass);
                }
            }
            Fault::Stopped { proxy } => {
                group.signal(proxy, Signal::SIGSTOP);
                sleep(lasts).await;
                group.signal(proxy, Signal::SIGCONT);
            }
            Fault::Killed { proxy, disk } => {
                group.kill(proxy).await;
                if disk.loses() {
                    truth.loses_disk(proxy, &group.statuses().await);
                }
                group.lay_disk(proxy, disk)?;
                sleep(lasts / 2).await;
                group.spawn(proxy)?;
            }
            Fault::Many { proxies } => {
                for proxy in &proxies {
                    group.kill(*proxy).await;
                }
                sleep(lasts / 2).await;
                for proxy in &proxies {
                    group.spawn(*proxy)?;
                }
            }
        }
        Ok(())
    }
}
