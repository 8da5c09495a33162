//! A listening socket that the platform holds and every process inherits.

use rustix::net::sockopt::socket_acceptconn;
use rustix::process::{getpid, pidfd_getfd, pidfd_open, PidfdFlags, PidfdGetfdFlags};
use std::net::{SocketAddr, TcpListener};

/// Names the descriptor.
pub const VARIABLE: &str = "NODE_LISTEN_FD";

/// The socket that the environment names; an error is one line. Danger: a number is no proof: whatever is behind it must
/// listen, and where clients are told to come.
pub fn listener(number: Option<&str>, at: Option<&str>) -> Result<Option<TcpListener>, String> {
    let Some(text) = number else { return Ok(None) };
    let say = |what: &dyn std::fmt::Display| format!("{VARIABLE}: {text:?}: {what}");
    let number: i32 = text.trim().parse().map_err(|e| say(&e))?;
    if number < 0 {
        return Err(say(&"no descriptor"));
    }
    // A copy by the system's own look-up, as the standard library has no safe way from a number to a descriptor.
    let own = pidfd_open(getpid(), PidfdFlags::empty()).map_err(|e| say(&e))?;
    let copy = pidfd_getfd(own, number, PidfdGetfdFlags::empty()).map_err(|e| say(&e))?;
    let listens = socket_acceptconn(&copy).map_err(|e| say(&e))?;
    if !listens {
        return Err(say(&"not a listening socket"));
    }
    let listener = TcpListener::from(copy);
    let there = listener.local_addr().map_err(|e| say(&e))?;
    let wanted = at.and_then(|at| at.parse::<SocketAddr>().ok());
    if let Some(wanted) = wanted.filter(|wanted| wanted.port() != 0 && *wanted != there) {
        return Err(say(&format!("it listens on {there}, and clients come to {wanted}")));
    }
    Ok(Some(listener))
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::net::TcpStream;
    use std::os::fd::AsRawFd;

    #[test]
    fn only_a_socket_that_listens_where_clients_come_is_taken() {
        let held = TcpListener::bind("127.0.0.1:0").unwrap();
        let (fd, at) = (held.as_raw_fd().to_string(), held.local_addr().unwrap().to_string());
        assert!(listener(None, Some(&at)).unwrap().is_none());
        let taken = listener(Some(&fd), Some(&at)).unwrap().unwrap();
        drop(held);
        TcpStream::connect(taken.local_addr().unwrap()).unwrap();
        assert!(listener(Some(&taken.as_raw_fd().to_string()), Some("127.0.0.1:1"))
            .unwrap_err()
            .contains("come to"));
        let file = std::fs::File::open("/dev/null").unwrap();
        let client = TcpStream::connect(taken.local_addr().unwrap()).unwrap();
        for bad in
            ["seven", "-1", "99999", "", &file.as_raw_fd().to_string(), &client.as_raw_fd().to_string()]
        {
            let said = listener(Some(bad), Some(&at)).unwrap_err();
            assert!(said.starts_with("NODE_LISTEN_FD: ") && said.lines().count() == 1, "{said}");
        }
    }
}
