//! Session of a forwarding lane at a proxy that serves the group.

use std::net;
use std::sync;

use crate::batch;
use crate::dial;
use crate::id;
use crate::peer;
use crate::resend;

/// A session at a peer; dropping it closes the session at the peer.
pub struct Session {
    vm: id::Vm,
    address: net::SocketAddr,
    connection: sync::Arc<dial::Connection>,
    /// Identifier of the session on the connection.
    id: peer::Session,
    sequence: peer::Sequence,
    /// Whether the peer may have opened the session.
    opened: bool,
}

impl Session {
    /// Creates a session; the peer opens it with the first batch.
    #[must_use]
    pub fn new(
        vm: id::Vm,
        address: net::SocketAddr,
        connection: sync::Arc<dial::Connection>,
    ) -> Self {
        Self {
            vm,
            address,
            id: connection.new_session(),
            connection,
            sequence: 0,
            opened: false,
        }
    }

    /// Name of the peer's VM.
    #[must_use]
    pub fn vm(&self) -> &id::Vm {
        &self.vm
    }

    /// Whether the peer has this address and the connection to it is still alive.
    #[must_use]
    pub fn is_connected_to(&self, address: net::SocketAddr) -> bool {
        self.address == address && self.connection.alive()
    }

    /// Sends one batch and waits for the answer.
    ///
    /// # Errors
    /// The failure tells whether the peer can still run the batch.
    pub async fn run(
        &mut self,
        database: &str,
        batch: &batch::Batch,
        now: id::Time,
    ) -> resend::Attempt {
        let mut run = peer::Run::new(batch, now);
        run.session = self.id;
        run.open = (!self.opened).then(|| database.into());
        run.sequence = self.sequence;
        let first_run = !self.opened;
        self.sequence += 1;
        // Set before the answer arrives: if this future is dropped while it waits, the peer may
        // already have opened the session.
        self.opened = true;
        let attempt = self.connection.run(run).await;
        if first_run && attempt == Err(dial::Failure::Unsent) {
            self.opened = false;
        }
        attempt
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        if self.opened {
            self.connection.close(self.id);
        }
    }
}
