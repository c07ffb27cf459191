//! News between proxies over UDP, where the settings allow it: the sender's number, then what `pumicebay_names`
//! reads. News that can't be sent at once are dropped; loads are told anew with the next change.

use crate::counters::Counters;
use crate::serve::Shared;
use anyhow::{Context, Result};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

const MAILBOX: usize = 256;
/// The longest that a message between proxies may be.
const LONGEST: usize = 256;

/// The mailboxes of the actors, one for each peer.
pub struct Peers {
    me: usize,
    mailboxes: Vec<mpsc::Sender<Arc<str>>>,
}

/// Starts the actors of all peers, and the one that hears them; none where the settings forbid it.
pub async fn start(shared: &Shared) -> Result<Option<Peers>> {
    let config = &shared.config;
    if !config.settings.flag("peers") || config.peers.is_empty() {
        return Ok(None);
    }
    let socket = UdpSocket::bind(config.peer_listen).await;
    let socket = Arc::new(socket.with_context(|| format!("peer_listen: {}", config.peer_listen))?);
    let mailbox = |&peer: &SocketAddr| {
        let (mailbox, news) = mpsc::channel(MAILBOX);
        tokio::spawn(send(socket.clone(), peer, news));
        mailbox
    };
    let me = config.settings.number("me", 0.0) as usize;
    let peers = Peers { me, mailboxes: config.peers.iter().map(mailbox).collect() };
    tokio::spawn(receive(socket, shared.clone()));
    Ok(Some(peers))
}

impl Peers {
    pub fn tell(&self, counters: &Counters, text: &str) {
        let news: Arc<str> = format!("{} {text}", self.me).into();
        for mailbox in &self.mailboxes {
            if mailbox.try_send(news.clone()).is_ok() {
                counters.news_sent.add();
            }
        }
    }
}

async fn send(socket: Arc<UdpSocket>, peer: SocketAddr, mut news: mpsc::Receiver<Arc<str>>) {
    while let Some(news) = news.recv().await {
        if let Err(error) = socket.send_to(news.as_bytes(), peer).await {
            tracing::debug!("peer {peer}: {error}");
        }
    }
}

async fn receive(socket: Arc<UdpSocket>, shared: Shared) {
    let fleet = shared.config.settings.number("fleet", 1.0) as usize;
    let mut buffer = [0; LONGEST];
    loop {
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else { continue };
        let text = std::str::from_utf8(&buffer[..length]).ok().and_then(|text| text.split_once(' '));
        match text.and_then(|(peer, news)| Some((peer.parse().ok()?, news))) {
            Some((peer, news)) if peer < fleet => {
                shared.counters.news_received.add();
                shared.door.news(peer, news.to_string()).await;
            }
            _ => shared.counters.news_bad.add(),
        }
    }
}
