//! Guards against a process that blocks on its log because the reader of the log stopped reading.

use mangogwd::logs::Queue;
use std::io::Write;
use std::sync::mpsc::{Receiver, Sender, channel};

/// Writer that blocks until `go` is dropped.
struct BlockedWriter {
    go: Receiver<()>,
    out: Sender<Vec<u8>>,
}

impl Write for BlockedWriter {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        // Returns at once after the sender has been dropped.
        _ = self.go.recv();
        drop(self.out.send(buf.to_vec()));
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_reader_that_stops_reading_loses_lines_and_does_not_block_the_process() {
    let (go, blocked) = channel();
    let (out, lines) = channel();
    let mut queue = Queue::spawn(BlockedWriter { go: blocked, out }).unwrap();
    for number in 0..20_000 {
        writeln!(queue, "line {number}").unwrap();
    }
    drop(go);
    drop(queue);
    let text = String::from_utf8(lines.iter().flatten().collect()).unwrap();
    assert!(text.contains("line 0\n") && text.contains("lines dropped"), "{} bytes", text.len());
}
