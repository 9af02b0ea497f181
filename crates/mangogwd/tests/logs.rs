//! Logs never hold up the process.

use mangogwd::logs::Queue;
use std::io::Write;
use std::sync::mpsc::{Receiver, Sender, channel};

/// A reader that takes nothing until it is told to.
struct BlockedWriter {
    go: Receiver<()>,
    out: Sender<Vec<u8>>,
}

impl Write for BlockedWriter {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        // Once the sender is dropped, everything is taken.
        _ = self.go.recv();
        drop(self.out.send(buf.to_vec()));
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_reader_that_stops_reading_costs_lines_and_not_time() {
    let (go, waits) = channel();
    let (out, lines) = channel();
    let mut queue = Queue::spawn(BlockedWriter { go: waits, out }).unwrap();
    for number in 0..20_000 {
        writeln!(queue, "line {number}").unwrap();
    }
    drop(go);
    drop(queue);
    let text = String::from_utf8(lines.iter().flatten().collect()).unwrap();
    assert!(text.contains("line 0\n") && text.contains("lines dropped"), "{} bytes", text.len());
}
