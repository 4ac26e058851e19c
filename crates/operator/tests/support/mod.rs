//! A small HTTP listener that stands in for a gateway's status port.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;

/// Serves one connection with `response`; sends nothing if it is empty. Returns the address
/// and the head that was received.
pub fn serve_once(response: String) -> (SocketAddr, thread::JoinHandle<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut head = Vec::new();
        let mut part = [0; 1024];
        while !head.ends_with(b"\r\n\r\n") {
            let length = stream.read(&mut part).unwrap();
            if length == 0 {
                break;
            }
            head.extend_from_slice(&part[..length]);
        }
        if response.is_empty() {
            // Holds the connection until the client gives up.
            let _ = stream.read(&mut part);
        }
        let _ = stream.write_all(response.as_bytes());
        String::from_utf8(head).unwrap()
    });
    (address, server)
}

pub fn response(status: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}")
}

/// Replaces the address, whose port differs in each run.
pub fn without_address(text: &str, address: SocketAddr) -> String {
    text.replace(&address.to_string(), "ADDRESS")
}
