//! Signal handling.

use std::io;
use std::path::PathBuf;
use std::process;

use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::node::NodeHandle;
use crate::settings::read_settings;

/// The exit status after a second termination signal, which aborts open requests.
const ABORTED: i32 = 1;

/// Installs the signal handlers: SIGTERM and SIGINT start a graceful shutdown, a second one exits
/// the process at once, and SIGHUP reloads the keys.
///
/// All handlers are installed when this returns. With later ones, a signal right after the
/// listening line would terminate the process and abort its requests.
pub(super) fn watch_signals(handle: &NodeHandle, settings: PathBuf) -> io::Result<()> {
    let runtime = handle.runtime();
    let _guard = runtime.enter();
    for kind in [SignalKind::terminate(), SignalKind::interrupt()] {
        runtime.spawn(shut_down_on(signal(kind)?, handle.clone()));
    }
    let hangups = signal(SignalKind::hangup())?;
    runtime.spawn(reload_on_hangup(hangups, handle.clone(), settings));
    Ok(())
}

async fn shut_down_on(mut signals: Signal, handle: NodeHandle) {
    while signals.recv().await.is_some() {
        if handle.is_shutting_down() {
            log::warn!(event = "cut_short"; "received a second termination signal; exiting at once");
            process::exit(ABORTED);
        }
        handle.shutdown();
    }
}

async fn reload_on_hangup(mut signals: Signal, handle: NodeHandle, path: PathBuf) {
    while signals.recv().await.is_some() {
        let settings = match read_settings(&path) {
            Ok(settings) => settings,
            Err(error) => {
                log::error!(event = "keys_kept"; "the settings are invalid, keeping the present keys: {error}");
                continue;
            }
        };
        match handle.replace_keys(&settings) {
            Ok(()) => {
                log::info!(event = "keys_replaced"; "replaced the keys by those of the settings")
            }
            Err(error) => log::error!(event = "keys_kept"; "{error}"),
        }
    }
}
