//! A stand-in for the platform's metadata store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Connection;
use crate::http::Message;

const POLL: Duration = Duration::from_millis(5);

#[derive(Default)]
struct State {
    items: BTreeMap<String, (String, u64)>,
    /// Revision, key, value.
    history: Vec<(u64, String, Option<String>)>,
    revision: u64,
    era: u64,
    is_silent: bool,
    is_busy: bool,
}

/// A store to which a case writes as the operator and the servers do.
#[derive(Clone)]
pub struct Store {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Store {
    /// Starts an empty store.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let state = Arc::new(Mutex::new(State {
            revision: 1,
            era: 1,
            ..State::default()
        }));
        let store = Self { address, state };
        let shared = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = shared.clone();
                thread::spawn(move || store.serve(Connection::new(stream)));
            }
        });
        store
    }

    /// Writes a value; returns false if the store is away.
    pub fn put(&self, key: &str, value: &str) -> bool {
        self.change(key, Some(value))
    }

    /// Removes a value; returns false if the store is away.
    pub fn remove(&self, key: &str) -> bool {
        self.change(key, None)
    }

    fn change(&self, key: &str, value: Option<&str>) -> bool {
        let mut state = self.state.lock().expect("not poisoned");
        if state.is_silent || state.is_busy {
            return false;
        }
        state.revision += 1;
        let revision = state.revision;
        match value {
            Some(value) => {
                state
                    .items
                    .insert(key.to_owned(), (value.to_owned(), revision));
            }
            None => {
                state.items.remove(key);
            }
        }
        let change = (revision, key.to_owned(), value.map(str::to_owned));
        state.history.push(change);
        true
    }

    /// Sets whether the store is down: it answers nothing.
    pub fn set_silent(&self, is_silent: bool) {
        self.state.lock().expect("not poisoned").is_silent = is_silent;
    }

    /// Sets whether the store is busy: it answers all requests with 503.
    pub fn set_busy(&self, is_busy: bool) {
        self.state.lock().expect("not poisoned").is_busy = is_busy;
    }

    fn is_busy(&self) -> bool {
        self.state.lock().expect("not poisoned").is_busy
    }

    fn is_silent(&self) -> bool {
        self.state.lock().expect("not poisoned").is_silent
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(request) = connection.read_request() {
            let Some((status, body, era)) = self.answer(&request) else {
                // A channel on which an answer is lost returns nothing further.
                while self.is_silent() {
                    thread::sleep(POLL);
                }
                return;
            };
            let headers = format!("Store-Era: {era}\r\nContent-Type: application/json\r\n");
            if connection.answer(status, &headers, &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> Option<(&'static str, String, u64)> {
        let (path, query) = request
            .path()
            .split_once('?')
            .unwrap_or((request.path(), ""));
        let query = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(key, _)| *key == name)
                .map_or("", |(_, value)| value)
        };
        if self.is_silent() {
            return None;
        }
        if self.is_busy() {
            return Some(("503 Service Unavailable", "{}".to_owned(), 1));
        }
        match path {
            "/v1/kv-range" => {
                let state = self.state.lock().expect("not poisoned");
                let items: Vec<String> = state
                    .items
                    .iter()
                    .map(|(key, (value, revision))| item(key, Some(value), *revision))
                    .collect();
                let body = format!(
                    "{{\"items\":[{}],\"truncated\":false,\"current_rev\":{}}}",
                    items.join(","),
                    state.revision
                );
                Some(("200 OK", body, state.era))
            }
            "/v1/kv-watch" => {
                let after: u64 = query("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(query("wait_ms").parse().unwrap_or(0));
                self.watch(after, Instant::now() + wait)
            }
            _ => Some(("404 Not Found", "{}".to_owned(), 1)),
        }
    }

    fn watch(&self, after: u64, deadline: Instant) -> Option<(&'static str, String, u64)> {
        loop {
            {
                let state = self.state.lock().expect("not poisoned");
                if state.is_silent {
                    return None;
                }
                if state.is_busy {
                    return Some(("503 Service Unavailable", "{}".to_owned(), state.era));
                }
                if after > state.revision {
                    return Some(("410 Gone", "{}".to_owned(), state.era));
                }
                let events: Vec<String> = state
                    .history
                    .iter()
                    .filter(|(revision, _, _)| *revision > after)
                    .map(|(revision, key, value)| item(key, value.as_deref(), *revision))
                    .collect();
                if !events.is_empty() || Instant::now() >= deadline {
                    let body = format!(
                        "{{\"events\":[{}],\"current_rev\":{}}}",
                        events.join(","),
                        state.revision
                    );
                    return Some(("200 OK", body, state.era));
                }
            }
            thread::sleep(POLL);
        }
    }
}

fn item(key: &str, value: Option<&str>, revision: u64) -> String {
    match value {
        Some(value) => format!(
            "{{\"key\":\"{key}\",\"value\":\"{}\",\"rev\":{revision},\"created\":1,\"lease\":0}}",
            base64(value.as_bytes())
        ),
        None => format!("{{\"key\":\"{key}\",\"rev\":{revision},\"tombstone\":true}}"),
    }
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |index: usize| u32::from(group.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for place in 0..4 {
            if place <= group.len() {
                let index = (bits >> (18 - 6 * place)) & 63;
                text.push(char::from(LETTERS[index as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
