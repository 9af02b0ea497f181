//! Guards links between hosts, over loopback: frames arrive whole and in order, frames of another cluster are refused,
//! and a connection that stops passing data without closing is replaced.

use mangogw_model::{HostId, Incarnation};
use mangogwd::budget::Limits;
use mangogwd::gate::Gate;
use mangogwd::links::{Identity, Inbox, Links, spawn};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};

#[derive(Debug, Default)]
struct RecordingInbox(Mutex<Vec<(HostId, Vec<u8>)>>);

impl Inbox for RecordingInbox {
    fn receive(&self, from: HostId, _incarnation: Incarnation, body: &[u8]) {
        self.0.lock().unwrap().push((from, body.to_vec()));
    }
}

impl RecordingInbox {
    fn len(&self) -> usize {
        self.0.lock().unwrap().len()
    }

    async fn wait_for(&self, count: usize) {
        for _ in 0..1000 {
            if self.len() >= count {
                return;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        panic!("received {} of {count} frames", self.len());
    }
}

fn links(host: u64, cluster: &str) -> Links {
    Links::new(Identity { cluster: cluster.to_owned(), host: HostId(host), incarnation: Incarnation(1) })
}

fn gate() -> Arc<Gate> {
    Gate::spawn(Limits::derive(256 << 20, 1024)).0
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

#[tokio::test]
async fn frames_arrive_whole_and_in_order() {
    let (listener, address) = listen().await;
    let inbox = Arc::new(RecordingInbox::default());
    let serving = spawn(listener, &links(2, "c"), Arc::clone(&inbox), gate());
    let sender = links(1, "c");
    for number in 0..500u32 {
        sender.send(address, number.to_le_bytes().to_vec());
    }
    inbox.wait_for(500).await;
    let bodies: Vec<_> = inbox.0.lock().unwrap().iter().map(|(_, body)| body.clone()).collect();
    assert!(bodies.iter().enumerate().all(|(at, body)| *body == (at as u32).to_le_bytes()));
    serving.abort();
}

#[tokio::test]
async fn a_frame_of_another_cluster_is_refused_and_counted() {
    let (listener, address) = listen().await;
    let inbox = Arc::new(RecordingInbox::default());
    let receiver = links(2, "c");
    let serving = spawn(listener, &receiver, Arc::clone(&inbox), gate());
    let other_cluster = links(1, "another");
    other_cluster.send(address, vec![1]);
    for _ in 0..1000 {
        if receiver.counts().refused.load(Ordering::Relaxed) > 0 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(receiver.counts().refused.load(Ordering::Relaxed), 1);
    assert_eq!(inbox.len(), 0);
    serving.abort();
}

/// Starts a proxy to `to`. Once `silent` is set, connections that are open stay open but pass no more data; new ones
/// work again as soon as it is cleared.
async fn silencing_proxy(to: SocketAddr, silent: Arc<AtomicBool>) -> SocketAddr {
    let (listener, address) = listen().await;
    tokio::spawn(async move {
        while let Ok((mut near, _)) = listener.accept().await {
            let silent = Arc::clone(&silent);
            tokio::spawn(async move {
                let mut far = TcpStream::connect(to).await.unwrap();
                let wait_until_silent = async {
                    while !silent.load(Ordering::Relaxed) {
                        tokio::time::sleep(Duration::from_millis(5)).await;
                    }
                };
                tokio::select! {
                    _ = copy_bidirectional(&mut near, &mut far) => {}
                    () = wait_until_silent => std::future::pending().await,
                }
            });
        }
    });
    address
}

#[tokio::test]
async fn a_connection_that_stops_passing_data_is_replaced() {
    let (listener, address) = listen().await;
    let inbox = Arc::new(RecordingInbox::default());
    let serving = spawn(listener, &links(2, "c"), Arc::clone(&inbox), gate());
    let silent = Arc::new(AtomicBool::new(false));
    let proxy = silencing_proxy(address, Arc::clone(&silent)).await;
    let sender = links(1, "c");
    sender.send(proxy, vec![1]);
    inbox.wait_for(1).await;
    silent.store(true, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_millis(50)).await;
    sender.send(proxy, vec![2]);
    // The dead connection is noticed after two pings at most; from here on the proxy serves new connections.
    tokio::time::sleep(Duration::from_millis(100)).await;
    silent.store(false, Ordering::Relaxed);
    for number in 3..200u8 {
        sender.send(proxy, vec![number]);
        if inbox.len() > 1 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(inbox.len() > 1, "no frame arrived over a new connection");
    serving.abort();
}
