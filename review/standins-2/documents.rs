//! What the operator and the servers write to the store.

use std::net::SocketAddr;

const CONFIG: &str = include_str!("config.txt");
const STREAM_CONFIG: &str = include_str!("stream_config.txt");
const ONCE_CONFIG: &str = include_str!("once_config.txt");
const HOME_CONFIG: &str = include_str!("home_config.txt");
const FLEET_CONFIG: &str = include_str!("fleet_config.txt");
const ENTRY: &str = include_str!("entry.txt");

/// Host of all routes.
pub const HOST: &str = "ficu95.example";
/// Path below the only route.
pub const PATH: &str = "/pule252/2f";

/// A desired state with one route whose requests may run once at most.
pub fn config(service: &str, timeout_ms: u32, max_conns: u32) -> String {
    let values = [
        ("@host", HOST.to_owned()),
        ("@service", service.to_owned()),
        ("@timeout", timeout_ms.to_string()),
        ("@conns", max_conns.to_string()),
    ];
    fill(CONFIG, &values)
}

/// A desired state with one route of streams that may be resumed.
pub fn stream_config(service: &str) -> String {
    let values = [("@host", HOST.to_owned()), ("@service", service.to_owned())];
    fill(STREAM_CONFIG, &values)
}

/// A desired state with one route of streams that may run once, at model servers that keep copies
/// of each other's runs.
pub fn once_config(service: &str) -> String {
    let values = [("@host", HOST.to_owned()), ("@service", service.to_owned())];
    fill(ONCE_CONFIG, &values)
}

/// The same with a route that is at home in one region.
pub fn home_config(service: &str, region: &str) -> String {
    let values = [
        ("@host", HOST.to_owned()),
        ("@service", service.to_owned()),
        ("@region", region.to_owned()),
    ];
    fill(HOME_CONFIG, &values)
}

/// A desired state with a route of streams to model servers, and one of requests that may run once.
pub fn fleet_config(service: &str) -> String {
    let values = [("@host", HOST.to_owned()), ("@service", service.to_owned())];
    fill(FLEET_CONFIG, &values)
}

/// Entry of a server.
pub struct ServerEntry<'a> {
    pub service: &'a str,
    pub zone: &'a str,
    pub address: SocketAddr,
    pub state: &'a str,
    pub slots: u32,
    /// Start of the server by its own clock, where servers tell it.
    pub born: Option<u64>,
}

impl ServerEntry<'_> {
    /// The entry as the server writes it.
    pub fn text(&self) -> String {
        let born = self
            .born
            .map_or_else(String::new, |at| format!(",\"born\":{at}"));
        let values = [
            ("@service", self.service.to_owned()),
            ("@address", self.address.to_string()),
            ("@zone", self.zone.to_owned()),
            ("@state", self.state.to_owned()),
            ("@slots", self.slots.to_string()),
            ("@born", born),
        ];
        fill(ENTRY, &values)
    }
}

fn fill(template: &str, values: &[(&str, String)]) -> String {
    let mut text = template.trim().to_owned();
    for (gap, value) in values {
        text = text.replace(gap, value);
    }
    text
}
