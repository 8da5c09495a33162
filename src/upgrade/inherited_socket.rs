//! A listening socket that the platform keeps open and that each process inherits as a file descriptor.

use rustix::net::sockopt::socket_acceptconn;
use rustix::process::{getpid, pidfd_getfd, pidfd_open, PidfdFlags, PidfdGetfdFlags};
use std::net::{SocketAddr, TcpListener};

/// The environment variable with the number of the descriptor.
pub const VARIABLE: &str = "NODE_LISTEN_FD";

/// Returns the inherited listener for the descriptor number in the environment variable; an error is one line. The
/// number alone proves nothing, so the descriptor must be a listening socket, and bound to the configured address.
pub fn listener(number: Option<&str>, configured_addr: Option<&str>) -> Result<Option<TcpListener>, String> {
    let Some(text) = number else { return Ok(None) };
    let error = |detail: &dyn std::fmt::Display| format!("{VARIABLE}: {text:?}: {detail}");
    let number: i32 = text.trim().parse().map_err(|e| error(&e))?;
    if number < 0 {
        return Err(error(&"no descriptor"));
    }
    // The descriptor is copied through a pidfd of this process, as the standard library has no safe conversion of a
    // number to a descriptor.
    let own_process = pidfd_open(getpid(), PidfdFlags::empty()).map_err(|e| error(&e))?;
    let copy = pidfd_getfd(own_process, number, PidfdGetfdFlags::empty()).map_err(|e| error(&e))?;
    let is_listening = socket_acceptconn(&copy).map_err(|e| error(&e))?;
    if !is_listening {
        return Err(error(&"not a listening socket"));
    }
    let listener = TcpListener::from(copy);
    let actual = listener.local_addr().map_err(|e| error(&e))?;
    let configured = configured_addr.and_then(|addr| addr.parse::<SocketAddr>().ok());
    if let Some(configured) = configured.filter(|addr| addr.port() != 0 && *addr != actual) {
        return Err(error(&format!(
            "the socket listens on {actual}, but the configured address is {configured}"
        )));
    }
    Ok(Some(listener))
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::net::TcpStream;
    use std::os::fd::AsRawFd;

    #[test]
    fn only_a_socket_that_listens_on_the_configured_address_is_accepted() {
        let original = TcpListener::bind("127.0.0.1:0").unwrap();
        let (fd, addr) = (original.as_raw_fd().to_string(), original.local_addr().unwrap().to_string());
        assert!(listener(None, Some(&addr)).unwrap().is_none());
        let inherited = listener(Some(&fd), Some(&addr)).unwrap().unwrap();
        drop(original);
        TcpStream::connect(inherited.local_addr().unwrap()).unwrap();
        assert!(listener(Some(&inherited.as_raw_fd().to_string()), Some("127.0.0.1:1"))
            .unwrap_err()
            .contains("configured address is 127.0.0.1:1"));
        let file = std::fs::File::open("/dev/null").unwrap();
        let client = TcpStream::connect(inherited.local_addr().unwrap()).unwrap();
        for invalid in
            ["seven", "-1", "99999", "", &file.as_raw_fd().to_string(), &client.as_raw_fd().to_string()]
        {
            let message = listener(Some(invalid), Some(&addr)).unwrap_err();
            assert!(message.starts_with("NODE_LISTEN_FD: ") && message.lines().count() == 1, "{message}");
        }
    }
}
