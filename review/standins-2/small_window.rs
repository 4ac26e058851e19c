//! Connections with a small receive buffer, as over the links of the platform: a peer that does
//! not read holds the writer up.

use std::io;
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::os::fd::{FromRawFd, OwnedFd};

const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;

#[repr(C)]
struct SocketAddress {
    family: u16,
    port: u16,
    address: u32,
    padding: [u8; 8],
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(socket: i32, address: *const SocketAddress, length: u32) -> i32;
}

fn check(result: i32) -> io::Result<i32> {
    if result < 0 {
        return Err(io::Error::last_os_error());
    }
    Ok(result)
}

/// Connects with a receive buffer of `bytes`, which the kernel doubles.
pub fn connect_with_buffer(address: SocketAddr, bytes: i32) -> io::Result<TcpStream> {
    let IpAddr::V4(ip) = address.ip() else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    let target = SocketAddress {
        family: 2,
        port: address.port().to_be(),
        address: u32::from_ne_bytes(ip.octets()),
        padding: [0; 8],
    };
    // The calls get valid pointers to values that outlive them; the descriptor has one owner.
    unsafe {
        let descriptor = check(socket(AF_INET, SOCK_STREAM, 0))?;
        let stream = TcpStream::from(OwnedFd::from_raw_fd(descriptor));
        check(setsockopt(
            descriptor,
            SOL_SOCKET,
            SO_RCVBUF,
            &raw const bytes,
            4,
        ))?;
        check(connect(descriptor, &raw const target, 16))?;
        Ok(stream)
    }
}
