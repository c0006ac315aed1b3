//! Clients that ask for streams.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::time::sleep;

use crate::http::{Answer, exchange};
use crate::record::Record;

/// The time budget of a request.
const TIME_BUDGET: Duration = Duration::from_secs(8);

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

impl Counts {
    /// Returns the share of the requests that were not served.
    pub fn lost_share(&self) -> f64 {
        let lost = self.refused + self.broken_off + self.failed;
        let total = u32::try_from(lost + self.whole).map_or(f64::MAX, f64::from);
        u32::try_from(lost).map_or(f64::MAX, f64::from) / total.max(1.0)
    }
}

/// Checks the rule Starved: returns the names that were asked for four times or more, over eight seconds or
/// more, and never served, and whether these are more than 1 + 10 in 100 and more than three times what
/// chance would give at this share of lost requests.
pub fn find_starved(
    sent: &BTreeMap<String, Vec<f64>>,
    served: &BTreeMap<String, usize>,
    lost_share: f64,
) -> (usize, Vec<String>, bool) {
    let is_asked = |times: &Vec<f64>| {
        let span = times.last().copied().unwrap_or(0.0) - times.first().copied().unwrap_or(0.0);
        times.len() >= 4 && span >= 8.0
    };
    let asked: Vec<_> = sent.iter().filter(|(_, times)| is_asked(times)).collect();
    let by_chance: f64 = asked
        .iter()
        .map(|(_, times)| lost_share.powi(i32::try_from(times.len()).unwrap_or(i32::MAX)))
        .sum();
    let starved = asked.iter().filter(|(name, _)| !served.contains_key(*name));
    let starved: Vec<String> = starved.map(|(name, _)| (*name).clone()).collect();
    let count = u32::try_from(starved.len()).map_or(f64::MAX, f64::from);
    let asked_count = u32::try_from(asked.len()).map_or(f64::MAX, f64::from);
    let is_broken = count > 1.0 + asked_count / 10.0 && count > 3.0 * by_chance;
    (asked.len(), starved, is_broken)
}

impl Clients {
    pub fn new(record: &Record) -> Self {
        Self {
            record: record.clone(),
            next: Arc::default(),
            counts: Arc::default(),
            served: Arc::default(),
        }
    }

    /// Sends a request for a model or an adapter in the background, to the edge at `index`. If it is
    /// refused, it is repeated once, at another edge, after the time that the answer states.
    pub fn ask(&self, edges: &[SocketAddr], index: usize, path: &str, model: &str) {
        let attempts = [edges[index % edges.len()], edges[(index + 1) % edges.len()]];
        let (this, path, model) = (self.clone(), path.to_owned(), model.to_owned());
        tokio::spawn(async move {
            let mut left = TIME_BUDGET;
            let mut answer = this.attempt(attempts[0], &path, &model, left).await;
            let pause = answer
                .retry_after()
                .filter(|_| matches!(answer.status, 429 | 503));
            if let Some(pause) = pause.filter(|pause| *pause <= left / 3) {
                sleep(pause).await;
                left -= pause;
                answer = this.attempt(attempts[1], &path, &model, left).await;
            }
            this.count(&model, &answer);
        });
    }

    async fn attempt(&self, edge: SocketAddr, path: &str, model: &str, left: Duration) -> Answer {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let request = format!(
            "POST {path}{number} HTTP/1.1\r\nHost: shop.example\r\nConnection: close\r\n\
             X-Comfreychute-Attempt-Id: r{number}\r\nX-Comfreychute-Model: {model}\r\n\
             X-Comfreychute-Token-Count: 300,60\r\nX-Comfreychute-Prompt-Prefix: {number:x}:300\r\n\
             X-Comfreychute-Deadline-Ms: {}\r\nContent-Length: 6\r\n\r\nprompt",
            left.as_millis()
        );
        self.record
            .line(&format!("client: sends r{number} ({model}) to {edge}"));
        let answer = exchange(edge, request.as_bytes(), left).await;
        let is_whole = answer.is_whole_success();
        let text = format!(
            "client: r{number} got {} {}",
            answer.status,
            if is_whole {
                "whole".to_owned()
            } else {
                answer.body.chars().take(60).collect()
            }
        );
        self.record.line(&text);
        answer
    }

    fn count(&self, model: &str, answer: &Answer) {
        let is_whole = answer.is_whole_success();
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
