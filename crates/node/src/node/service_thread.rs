//! The thread on which a node's servers and slow work run.

use std::io;
use std::sync::Arc;
use std::sync::mpsc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use tokio::runtime::Builder;
use tokio::runtime::Handle;
use tokio::sync::oneshot;

use crate::meters::ThreadMeter;

/// How often the thread's processor time is noted.
const NOTE_EVERY: Duration = Duration::from_secs(1);

/// Is one thread with a tokio runtime; it ends, with everything on it, when this is dropped.
pub(super) struct ServiceThread {
    handle: Handle,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl ServiceThread {
    /// Starts the thread.
    pub(super) fn spawn(meter: Arc<ThreadMeter>) -> io::Result<Self> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let handle = runtime.handle().clone();
        let (stop, stopped) = oneshot::channel();
        let thread = thread::Builder::new()
            .name("service".to_owned())
            .spawn(move || {
                runtime.spawn(note_time(meter));
                // Either the node asks for the end, or it is gone.
                let _ = runtime.block_on(stopped);
                runtime.shutdown_background();
            })?;
        Ok(Self {
            handle,
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// Returns the way to run work on the thread.
    pub(super) fn handle(&self) -> &Handle {
        &self.handle
    }

    /// Runs a future on the thread and waits for its result; the caller must not be on it.
    pub(super) fn run<F, T>(&self, future: F) -> io::Result<T>
    where
        F: Future<Output = T> + Send + 'static,
        T: Send + 'static,
    {
        let (sender, receiver) = mpsc::channel();
        self.handle.spawn(async move {
            // Nobody listens only when the caller is gone.
            let _ = sender.send(future.await);
        });
        receiver.recv().map_err(io::Error::other)
    }
}

impl Drop for ServiceThread {
    fn drop(&mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
        let is_own_thread = self
            .thread
            .as_ref()
            .is_some_and(|thread| thread.thread().id() == thread::current().id());
        if is_own_thread {
            return;
        }
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

async fn note_time(meter: Arc<ThreadMeter>) {
    let mut interval = tokio::time::interval(NOTE_EVERY);
    loop {
        interval.tick().await;
        meter.record();
    }
}
