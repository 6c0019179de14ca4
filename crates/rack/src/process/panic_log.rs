//! Writes panics to the log.

use std::panic;
use std::panic::PanicHookInfo;
use std::thread;

/// Writes each panic to the log, also one that ends a single connection and leaves the thread running. The
/// message on standard error stays.
pub fn log_panics() {
    let earlier = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        log_panic(info);
        earlier(info);
    }));
}

fn log_panic(info: &PanicHookInfo<'_>) {
    let thread = thread::current();
    let place = info.location().map(ToString::to_string);
    let text = info.payload_as_str().unwrap_or_default();
    log::error!(
        event = "panic", thread = thread.name().unwrap_or_default(),
        place = place.unwrap_or_default(); "{text}"
    );
}
