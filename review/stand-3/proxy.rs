//! Proxies between all hosts, by which a zone is cut off silently: bytes are held back while it is.
//!
//! Each host listens on an internal port of its own and uses that number for all others too, where a proxy listens that
//! leads to the port of the other host.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

type Zones = (&'static str, &'static str);

#[derive(Debug, Default)]
pub struct Proxy {
    /// Zone that is cut off from the others.
    cut: Mutex<Option<&'static str>>,
}

impl Proxy {
    /// Starts the proxies between hosts, each with its address, internal port and zone.
    pub fn spawn(hosts: &[(Ipv4Addr, u16, &'static str)]) -> Arc<Self> {
        let proxy = Arc::new(Self::default());
        for (_, port, zone) in hosts {
            for (ip, own_port, own_zone) in hosts.iter().filter(|(_, other, _)| other != port) {
                let listener = TcpListener::bind((*ip, *port)).expect("a free port");
                let (own, to, zones) = (Arc::clone(&proxy), SocketAddr::from((*ip, *own_port)), (*zone, *own_zone));
                thread::spawn(move || {
                    for stream in listener.incoming().flatten() {
                        let own = Arc::clone(&own);
                        thread::spawn(move || own.lead(&stream, to, zones));
                    }
                });
            }
        }
        proxy
    }

    pub fn cut(&self, zone: Option<&'static str>) {
        *self.cut.lock().expect("no panic with the lock") = zone;
    }

    fn wait(&self, zones: Zones) {
        let is_cut = || {
            let cut = *self.cut.lock().expect("no panic with the lock");
            cut.is_some_and(|zone| (zone == zones.0) != (zone == zones.1))
        };
        while is_cut() {
            thread::sleep(Duration::from_millis(1));
        }
    }

    fn lead(self: &Arc<Self>, stream: &TcpStream, to: SocketAddr, zones: Zones) {
        self.wait(zones);
        let Ok(onward) = TcpStream::connect(to) else { return };
        let _ = (stream.set_nodelay(true), onward.set_nodelay(true));
        let copies = (stream.try_clone(), onward.try_clone(), stream.try_clone(), onward.try_clone());
        let (Ok(from), Ok(into), Ok(back_into), Ok(back_from)) = copies else { return };
        let own = Arc::clone(self);
        let back = thread::spawn(move || own.pass(back_from, back_into, zones));
        self.pass(from, into, zones);
        let _ = back.join();
    }

    fn pass(&self, mut from: TcpStream, mut into: TcpStream, zones: Zones) {
        let mut buffer = [0; 16 * 1024];
        while let Ok(length @ 1..) = from.read(&mut buffer) {
            self.wait(zones);
            if into.write_all(&buffer[..length]).is_err() {
                break;
            }
        }
        self.wait(zones);
        let _ = (from.shutdown(Shutdown::Both), into.shutdown(Shutdown::Both));
    }
}
