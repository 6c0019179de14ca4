//! Connections from a node to the server at its host, of which each leads to one incarnation.

use quetzalrack_core::time::Moment;

use super::Fleet;

/// How many connections for calls a node keeps.
const MAX_CONNECTIONS: usize = 2;

/// A connection that carries calls.
#[derive(Clone, Copy, Debug)]
pub(super) struct Connection {
    opened_at: Moment,
    /// When the incarnation that accepted it started.
    started_ms: u64,
}

impl Fleet {
    /// Lets calls pass only on connections that the node opened at a heartbeat, to the incarnation that listened.
    pub fn model_connections(&mut self) {
        self.models_connections = true;
    }

    /// Opens connections, as a node does after each heartbeat of its server.
    pub(super) fn open_connections(&mut self, index: usize) {
        let host = &mut self.nodes[index];
        let listening = host
            .server
            .as_ref()
            .map(|server| server.incarnation.started_ms);
        host.connections
            .retain(|connection| Some(connection.started_ms) == listening);
        if let Some(started_ms) = listening {
            let opened = Connection {
                opened_at: self.now,
                started_ms,
            };
            host.connections.resize(MAX_CONNECTIONS, opened);
        }
    }

    /// Returns whether an open connection was opened before a moment.
    pub(super) fn is_connected(&self, index: usize, before: Moment) -> bool {
        if !self.models_connections {
            return true;
        }
        let host = &self.nodes[index];
        let Some(server) = &host.server else {
            return false;
        };
        let fits = |connection: &Connection| {
            connection.started_ms == server.incarnation.started_ms && connection.opened_at < before
        };
        host.connections.iter().any(fits)
    }

    /// Returns which incarnation a call reaches that is sent now, if connections are modelled.
    pub(super) fn connected_to(&self, index: usize) -> Option<u64> {
        let server = self.nodes[index].server.as_ref();
        server
            .filter(|_| self.models_connections)
            .map(|server| server.incarnation.started_ms)
    }

    /// Closes the connection of a call without an answer, the one that was opened first.
    pub(super) fn close_connection(&mut self, index: usize) {
        let connections = &mut self.nodes[index].connections;
        if !connections.is_empty() {
            connections.remove(0);
        }
    }
}
