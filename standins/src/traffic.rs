//! Callers that send a mix of requests through whichever nodes are live.
//!
//! Choosing a live node for each request stands for the platform's balancer.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::future::join_all;
use rand::RngExt;
use tokio::time::Instant;

use crate::caller::{Caller, Ending};
use crate::judge::{Answer, Deal};
use crate::mix::{Mix, Request, Work};

/// Nodes that the balancer tries for one request before it gives up.
const TRIES: usize = 4;
/// How long a worker rests when no node is live.
const REST: Duration = Duration::from_millis(20);

/// Returns the key of a client account of the demo's declarations.
#[must_use]
pub fn key(account: &str) -> String {
    format!("demo-key-{account}")
}

/// The nodes that the balancer gives requests to.
#[derive(Debug, Clone, Default)]
pub struct Balancer {
    live: Arc<Mutex<Vec<SocketAddr>>>,
}

impl Balancer {
    /// Makes a balancer of these nodes.
    #[must_use]
    pub fn new(nodes: Vec<SocketAddr>) -> Self {
        Self {
            live: Arc::new(Mutex::new(nodes)),
        }
    }

    /// Takes a node in.
    pub fn add(&self, node: SocketAddr) {
        let mut live = self.lock();
        if !live.contains(&node) {
            live.push(node);
        }
    }

    /// Takes a node out.
    pub fn remove(&self, node: SocketAddr) {
        self.lock().retain(|other| *other != node);
    }

    /// Chooses a live node at random.
    #[must_use]
    pub fn choose(&self) -> Option<SocketAddr> {
        let live = self.lock();
        if live.is_empty() {
            return None;
        }
        Some(live[rand::rng().random_range(0..live.len())])
    }

    fn lock(&self) -> MutexGuard<'_, Vec<SocketAddr>> {
        self.live.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Callers of all client accounts.
#[derive(Debug, Clone)]
pub struct Traffic {
    callers: Arc<HashMap<String, Caller>>,
    balancer: Balancer,
}

impl Traffic {
    /// Makes callers for these client accounts.
    #[must_use]
    pub fn new(accounts: &[&str], balancer: Balancer) -> Self {
        let callers = accounts
            .iter()
            .map(|account| ((*account).to_owned(), Caller::new(&key(account))))
            .collect();
        Self {
            callers: Arc::new(callers),
            balancer,
        }
    }

    /// Makes one request; a node that can't be connected to is passed over.
    pub async fn deal(&self, request: Request) -> Deal {
        let began = Instant::now();
        for _ in 1..TRIES {
            let Some(node) = self.balancer.choose() else {
                tokio::time::sleep(REST).await;
                continue;
            };
            let answer = self.once(node, &request).await;
            let unsent = matches!(
                answer,
                Answer::Completion(Ending::Unsent) | Answer::Call(Ending::Unsent)
            );
            if !unsent {
                return Deal {
                    request,
                    answer,
                    node: Some(node),
                    began,
                    took: began.elapsed(),
                };
            }
        }
        Deal {
            request,
            answer: Answer::Call(Ending::Unsent),
            node: None,
            began,
            took: began.elapsed(),
        }
    }

    async fn once(&self, node: SocketAddr, request: &Request) -> Answer {
        let Some(caller) = self.callers.get(&request.account) else {
            return Answer::Call(Ending::Unsent);
        };
        match &request.work {
            Work::Completion(question) => Answer::Completion(caller.ask(node, question).await),
            Work::Call(errand) => Answer::Call(caller.call(node, errand).await),
        }
    }

    /// Makes requests of a mix, `workers` at a time, while `more` says so.
    pub async fn run_while(&self, mix: Mix, workers: usize, more: impl Fn() -> bool) -> Vec<Deal> {
        let mix = Mutex::new(mix);
        let next = || more().then(|| lock(&mix).next_request());
        self.run(workers, next).await
    }

    /// Makes these requests, `workers` at a time.
    pub async fn run_all(&self, requests: Vec<Request>, workers: usize) -> Vec<Deal> {
        let requests = Mutex::new(requests.into_iter());
        self.run(workers, || lock(&requests).next()).await
    }

    async fn run(&self, workers: usize, next: impl Fn() -> Option<Request>) -> Vec<Deal> {
        let next = &next;
        let worker = async || {
            let mut deals = Vec::new();
            while let Some(request) = next() {
                // Each request has a task of its own, so that all cores are used.
                let traffic = self.clone();
                let deal = tokio::spawn(async move { traffic.deal(request).await });
                deals.extend(deal.await);
            }
            deals
        };
        let done = join_all((0..workers).map(|_| worker())).await;
        done.into_iter().flatten().collect()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
