//! Clients that ask for streams.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use crate::http::{Answer, exchange};
use crate::record::Record;

/// How requests ended.
#[derive(Debug, Default, Clone)]
pub struct Counts {
    pub whole: usize,
    pub refused: usize,
    /// Streams that ended before their last event, and channels that closed without an answer.
    pub broken_off: usize,
    pub failed: usize,
}

#[derive(Debug, Clone)]
pub struct Clients {
    record: Record,
    next: Arc<AtomicU64>,
    pub counts: Arc<Mutex<Counts>>,
    /// Number of whole answers by model.
    pub served: Arc<Mutex<BTreeMap<String, usize>>>,
}

impl Clients {
    pub fn new(record: &Record) -> Self {
        Self { record: record.clone(), next: Arc::default(), counts: Arc::default(), served: Arc::default() }
    }

    /// Sends a request for an adapter in the background.
    pub fn ask(&self, edge: SocketAddr, path: &str, model: &str) {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let request = format!(
            "POST {path}{number} HTTP/1.1\r\nHost: shop.example\r\nConnection: close\r\n\
             X-Comfreychute-Attempt-Id: r{number}\r\nX-Comfreychute-Model: {model}\r\n\
             X-Comfreychute-Token-Count: 300,60\r\nX-Comfreychute-Prompt-Prefix: {number:x}:300\r\n\
             X-Comfreychute-Deadline-Ms: 8000\r\nContent-Length: 6\r\n\r\nprompt"
        );
        self.record.line(&format!("client: sends r{number} ({model}) to {edge}"));
        let (this, model) = (self.clone(), model.to_owned());
        tokio::spawn(async move {
            let answer = exchange(edge, request.as_bytes(), Duration::from_secs(9)).await;
            this.count(number, &model, &answer);
        });
    }

    fn count(&self, number: u64, model: &str, answer: &Answer) {
        let is_whole = answer.status == 200 && answer.is_whole;
        let text = format!(
            "client: r{number} got {} {}",
            answer.status,
            if is_whole { "whole".to_owned() } else { answer.body.chars().take(60).collect() }
        );
        self.record.line(&text);
        if is_whole {
            let mut served = self.served.lock().unwrap_or_else(PoisonError::into_inner);
            *served.entry(model.to_owned()).or_default() += 1;
        }
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        match answer.status {
            200 if is_whole => counts.whole += 1,
            0 | 200 => counts.broken_off += 1,
            503 | 429 => counts.refused += 1,
            _ => counts.failed += 1,
        }
    }
}
