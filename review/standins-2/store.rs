//! Stand-in of the platform's store: pages of items and watches. It may forget its history, and be
//! down for a while, when it resets all channels.

use std::collections::BTreeMap;
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, response};
use crate::names::name;

/// Most items of a page.
const PAGE_ITEMS: usize = 500;

#[derive(Clone)]
enum Event {
    Put { key: String, value: String },
    Removed { key: String },
}

/// What a watch comes to.
enum Watched {
    Events(String),
    /// The history that it asks for is gone.
    Forgotten,
    Cut,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, (String, u64)>,
    /// All changes, with their revisions.
    history: Vec<(u64, Event)>,
    revision: u64,
    /// Latest revision of the history that is forgotten.
    forgotten: u64,
    /// Whether watches hear nothing for now.
    is_deaf: bool,
    /// Number of times that the watches that wait were cut.
    cuts: u64,
}

impl State {
    fn apply(&mut self, event: Event) {
        self.revision += 1;
        let revision = self.revision;
        match &event {
            Event::Put { key, value } => {
                self.items.insert(key.clone(), (value.clone(), revision));
            }
            Event::Removed { key } => {
                self.items.remove(key);
            }
        }
        self.history.push((revision, event));
    }
}

/// The running stand-in.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    address: SocketAddr,
    /// Time until an answer arrives, there and back.
    round_trip: Duration,
    is_down: Arc<AtomicBool>,
    channels: Arc<Mutex<Vec<TcpStream>>>,
}

impl Store {
    /// Starts it on a free port of `ip`.
    pub fn start(ip: IpAddr) -> std::io::Result<Self> {
        Self::start_far(ip, Duration::ZERO)
    }

    /// Starts it in another region than its callers.
    pub fn start_far(ip: IpAddr, round_trip: Duration) -> std::io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let store = Self {
            state: Arc::default(),
            address: listener.local_addr()?,
            round_trip,
            is_down: Arc::default(),
            channels: Arc::default(),
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if served.is_down() {
                    continue;
                }
                if let Ok(handle) = stream.try_clone() {
                    served
                        .channels
                        .lock()
                        .expect("the channels' lock")
                        .push(handle);
                }
                let store = served.clone();
                thread::spawn(move || store.serve(Connection::new(stream)));
            }
        });
        Ok(store)
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Writes an item. The store has confirmed it when this returns.
    pub fn put(&self, key: &str, value: &str) {
        self.change(Event::Put {
            key: key.to_owned(),
            value: value.to_owned(),
        });
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) {
        self.change(Event::Removed {
            key: key.to_owned(),
        });
    }

    /// Writes an item. Once it is confirmed, watches hear nothing: neither this change nor later ones.
    pub fn put_unheard(&self, key: &str, value: &str) {
        let (state, _) = &*self.state;
        let mut state = state.lock().expect("the store's lock");
        state.is_deaf = true;
        state.apply(Event::Put {
            key: key.to_owned(),
            value: value.to_owned(),
        });
    }

    /// Lets watches hear changes again. The history up to the latest change is forgotten, and the
    /// watches that wait are cut.
    pub fn forget_history(&self) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("the store's lock");
        state.is_deaf = false;
        state.forgotten = state.revision;
        state.cuts += 1;
        changed.notify_all();
    }

    /// Goes down, which resets all channels, or comes back.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, Ordering::SeqCst);
        let mut channels = self.channels.lock().expect("the channels' lock");
        for channel in channels.drain(..) {
            if is_down {
                let _ = channel.shutdown(Shutdown::Both);
            }
        }
    }

    /// Whether servers can write to it.
    pub fn takes_writes(&self) -> bool {
        !self.is_down()
    }

    fn is_down(&self) -> bool {
        self.is_down.load(Ordering::SeqCst)
    }

    fn change(&self, event: Event) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("the store's lock");
        state.apply(event);
        changed.notify_all();
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(request)) = connection.receive() {
            let (path, query) = request.target().split_once('?').unwrap_or_default();
            let body = if path == name("range-path") {
                Some(self.page(query))
            } else if path == name("watch-path") {
                match self.watch(query) {
                    Watched::Events(events) => Some(events),
                    Watched::Forgotten => None,
                    Watched::Cut => {
                        let _ = connection.stream().shutdown(Shutdown::Both);
                        return;
                    }
                }
            } else {
                None
            };
            thread::sleep(self.round_trip);
            let json = ("content-type", "application/json");
            let answer = match body {
                Some(body) => response("200 OK", &[json], body.as_bytes()),
                None if path == name("watch-path") => response("410 Gone", &[], b""),
                None => response("404 Not Found", &[], b""),
            };
            if connection.send(&answer).is_err() {
                return;
            }
        }
    }

    fn page(&self, query: &str) -> String {
        let prefix = parameter(query, name("range-prefix")).unwrap_or_default();
        let after = parameter(query, name("watch-after")).unwrap_or_default();
        let state = self.state.0.lock().expect("the store's lock");
        let items = state.items.iter();
        let items = items.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let mut items: Vec<String> = items
            .take(PAGE_ITEMS + 1)
            .map(|(key, (value, revision))| item(key, value, *revision))
            .collect();
        let has_more = items.len() > PAGE_ITEMS;
        items.truncate(PAGE_ITEMS);
        let revision = state.revision;
        format!(
            "{{\"items\":[{}],\"HasMore\":{has_more},\"{}\":{revision}}}",
            items.join(","),
            name("answer-revision")
        )
    }

    fn watch(&self, query: &str) -> Watched {
        let number = |name| parameter(query, name).and_then(|text| text.parse().ok());
        let after: u64 = number(name("watch-after")).unwrap_or(0);
        let wait = Duration::from_millis(number(name("watch-wait")).unwrap_or(0));
        let end = Instant::now() + wait;
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("the store's lock");
        let cuts = state.cuts;
        if after < state.forgotten {
            return Watched::Forgotten;
        }
        while state.revision <= after || state.is_deaf {
            if state.cuts > cuts {
                return Watched::Cut;
            }
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = changed
                .wait_timeout(state, left)
                .expect("the store's lock")
                .0;
        }
        if state.cuts > cuts {
            return Watched::Cut;
        }
        let events = state
            .history
            .iter()
            .filter(|(revision, _)| *revision > after);
        let events: Vec<String> = events
            .map(|(revision, event)| match event {
                Event::Put { key, value } => item(key, value, *revision),
                Event::Removed { key } => removal(key, *revision),
            })
            .collect();
        let revision = state.revision.max(after);
        Watched::Events(format!(
            "{{\"events\":[{}],\"{}\":{revision}}}",
            events.join(","),
            name("answer-revision")
        ))
    }
}

fn item(key: &str, value: &str, revision: u64) -> String {
    format!(
        "{{\"{}\":\"{key}\",\"{}\":\"{}\",\"{}\":{revision},\"{}\":{revision},\"{}\":0}}",
        name("item-key"),
        name("item-value"),
        base64(value.as_bytes()),
        name("item-revision"),
        name("item-created"),
        name("item-lease"),
    )
}

fn removal(key: &str, revision: u64) -> String {
    format!(
        "{{\"{}\":\"{key}\",\"{}\":{revision},\"{}\":true}}",
        name("item-key"),
        name("item-revision"),
        name("item-deleted"),
    )
}

/// A parameter of a query.
fn parameter(query: &str, wanted: &str) -> Option<String> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let found = pairs.find(|(known, _)| *known == wanted);
    found.map(|(_, value)| value.to_owned())
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |index: usize| u32::from(group.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            if digit <= group.len() {
                let index = bits >> (18 - 6 * digit) & 63;
                text.push(char::from(DIGITS[index as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
