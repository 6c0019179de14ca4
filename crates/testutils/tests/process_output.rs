//! What a process said last is there once its exit is known.

use std::io::Cursor;
use std::io::Read;
use std::sync::Arc;
use std::time::Duration;

use quetzalrack_testutils::process::ProcessOutput;

/// Is a pipe whose reader gets its turn late, as on a busy machine.
struct SlowPipe {
    text: Cursor<&'static [u8]>,
    pause: Duration,
}

impl Read for SlowPipe {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        std::thread::sleep(self.pause);
        self.text.read(buffer)
    }
}

fn slow_pipe(pause: Duration) -> SlowPipe {
    SlowPipe {
        text: Cursor::new(b"error: settings_malformed\n"),
        pause,
    }
}

/// A test sees a process end and looks for its error message. The process wrote the message and
/// exited; the thread that reads the pipe had not had its turn yet, so the message seemed missing.
#[test]
fn late_reader() {
    let output = Arc::new(ProcessOutput::default());
    output.follow(slow_pipe(Duration::from_millis(100)), None);
    assert_eq!(output.last_lines(5), "");
    assert!(output.wait_for_end(Duration::from_secs(10)));
    assert_eq!(output.last_lines(5), "error: settings_malformed");
}

/// The pipe stays open after the exit, because a grandchild holds it: the wait ends all the same.
#[test]
fn held_pipe() {
    let output = Arc::new(ProcessOutput::default());
    output.follow(slow_pipe(Duration::from_secs(2)), None);
    assert!(!output.wait_for_end(Duration::from_millis(50)));
}
