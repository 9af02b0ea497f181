//! Proxies between the machines of the system, by which a zone can be cut off from the others.
//!
//! Each machine is told an internal port of its own and listens there. It reaches another machine at that machine's
//! address and its own port, where a proxy listens that leads to the port of the other.

use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Time for which a pause between two looks lasts.
const PAUSE: Duration = Duration::from_millis(1);

pub struct Proxy {
    /// Zone that is cut off silently: bytes between it and the others are held back.
    cut: Mutex<Option<&'static str>>,
}

impl Proxy {
    pub fn spawn(ends: &[(Ipv4Addr, u16, &'static str)]) -> io::Result<Arc<Self>> {
        let proxy = Arc::new(Self { cut: Mutex::new(None) });
        for (_, from_port, from_zone) in ends {
            for (to, to_port, to_zone) in ends.iter().filter(|(_, port, _)| port != from_port) {
                let listener = TcpListener::bind((*to, *from_port))?;
                let (own, to, to_port, zones) = (Arc::clone(&proxy), *to, *to_port, (*from_zone, *to_zone));
                thread::spawn(move || {
                    for stream in listener.incoming().flatten() {
                        let own = Arc::clone(&own);
                        thread::spawn(move || own.connect(&stream, (to, to_port), zones));
                    }
                });
            }
        }
        Ok(proxy)
    }

    pub fn cut(&self, zone: Option<&'static str>) {
        *self.cut.lock().unwrap() = zone;
    }

    fn is_cut(&self, (one, other): (&str, &str)) -> bool {
        self.cut.lock().unwrap().is_some_and(|zone| (zone == one) != (zone == other))
    }

    fn connect(self: &Arc<Self>, stream: &TcpStream, to: (Ipv4Addr, u16), zones: (&'static str, &'static str)) {
        while self.is_cut(zones) {
            thread::sleep(PAUSE);
        }
        let Ok(onward) = TcpStream::connect(to) else { return };
        drop((stream.set_nodelay(true), onward.set_nodelay(true)));
        let (Ok(one), Ok(other)) = (stream.try_clone(), onward.try_clone()) else { return };
        let own = Arc::clone(self);
        let back = thread::spawn(move || own.copy(other, one, zones));
        if let (Ok(one), Ok(other)) = (stream.try_clone(), onward.try_clone()) {
            self.copy(one, other, zones);
        }
        drop(back.join());
    }

    /// Copies bytes until one side ends; holds them back while the zones are cut off from each other.
    fn copy(&self, mut from: TcpStream, mut to: TcpStream, zones: (&str, &str)) {
        let mut buffer = [0; 16 * 1024];
        loop {
            let length = match from.read(&mut buffer) {
                Ok(0) | Err(_) => break,
                Ok(length) => length,
            };
            while self.is_cut(zones) {
                thread::sleep(PAUSE);
            }
            if to.write_all(&buffer[..length]).is_err() {
                break;
            }
        }
        while self.is_cut(zones) {
            thread::sleep(PAUSE);
        }
        drop((from.shutdown(std::net::Shutdown::Both), to.shutdown(std::net::Shutdown::Both)));
    }
}
