//! What signals do.

use std::io;
use std::path::PathBuf;
use std::process;

use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::node::NodeHandle;
use crate::settings::read_settings;

/// The exit status of a process that was told twice to leave and cut its requests.
const CUT_SHORT: i32 = 1;

/// Lets SIGTERM and SIGINT start a graceful shutdown, a second one end the process at once, and
/// SIGHUP read the keys again.
///
/// Every signal is caught when this returns. Were it caught a little later, a signal right after
/// the listening line would end the process with its requests cut.
pub(super) fn watch_signals(handle: &NodeHandle, settings: PathBuf) -> io::Result<()> {
    let runtime = handle.runtime();
    let _inside = runtime.enter();
    for kind in [SignalKind::terminate(), SignalKind::interrupt()] {
        runtime.spawn(leave_on(signal(kind)?, handle.clone()));
    }
    let hangups = signal(SignalKind::hangup())?;
    runtime.spawn(reread_on_hangup(hangups, handle.clone(), settings));
    Ok(())
}

async fn leave_on(mut signals: Signal, handle: NodeHandle) {
    while signals.recv().await.is_some() {
        if handle.is_shutting_down() {
            log::warn!(event = "cut_short"; "a second signal ends the process at once");
            process::exit(CUT_SHORT);
        }
        handle.shutdown();
    }
}

async fn reread_on_hangup(mut signals: Signal, handle: NodeHandle, path: PathBuf) {
    while signals.recv().await.is_some() {
        let settings = match read_settings(&path) {
            Ok(settings) => settings,
            Err(error) => {
                log::error!(event = "keys_kept"; "the settings can't be used: {error}");
                continue;
            }
        };
        match handle.replace_keys(&settings) {
            Ok(()) => log::info!(event = "keys_replaced"; "the settings' keys are in force"),
            Err(error) => log::error!(event = "keys_kept"; "{error}"),
        }
    }
}
