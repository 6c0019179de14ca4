//! The thread on which a node's call server, admin server and I/O run.

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

/// Interval between recordings of the thread's processor time.
const RECORD_INTERVAL: Duration = Duration::from_secs(1);

/// A thread with a tokio runtime; dropping this stops the thread and all tasks on it.
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
                runtime.spawn(record_time(meter));
                // Returns when the stop signal is sent or its sender is dropped.
                let _ = runtime.block_on(stopped);
                runtime.shutdown_background();
            })?;
        Ok(Self {
            handle,
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// Returns a handle to the runtime.
    pub(super) fn handle(&self) -> &Handle {
        &self.handle
    }

    /// Runs a future on the thread and waits for its result; must not be called on that thread.
    pub(super) fn run<F, T>(&self, future: F) -> io::Result<T>
    where
        F: Future<Output = T> + Send + 'static,
        T: Send + 'static,
    {
        let (sender, receiver) = mpsc::channel();
        self.handle.spawn(async move {
            // Sending fails only if the caller no longer exists.
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

async fn record_time(meter: Arc<ThreadMeter>) {
    let mut interval = tokio::time::interval(RECORD_INTERVAL);
    loop {
        interval.tick().await;
        meter.record();
    }
}
