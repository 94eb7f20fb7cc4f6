//! Registry of sessions for cancel requests.

use std::collections::hash_map;
use std::hash::BuildHasher;
use std::sync;
use std::sync::atomic;

use async_channel::Receiver;
use async_channel::Sender;

/// Identifies a session; sent to the caller in `BackendKeyData`.
pub type Pid = i32;

/// Secret that a cancel request must contain.
pub type Secret = i32;

/// The sessions of this process that can be canceled; clones share the same registry.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    inner: sync::Arc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    next: atomic::AtomicI32,
    hasher: hash_map::RandomState,
    sessions: papaya::HashMap<Pid, (Secret, Sender<()>)>,
}

impl Inner {
    /// Derives the secret with a keyed hash, so that known secrets do not reveal others.
    fn secret(&self, number: i32) -> Secret {
        let hash = self.hasher.hash_one(number).to_le_bytes();
        Secret::from_le_bytes([hash[0], hash[1], hash[2], hash[3]])
    }
}

impl Registry {
    /// Creates an empty registry.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Registers a session; dropping the handle removes it.
    ///
    /// ```
    /// let registry = mangotray::cancel::Registry::new();
    /// let handle = registry.register();
    /// assert!(registry.cancel(handle.pid(), handle.secret()));
    /// ```
    #[must_use]
    pub fn register(&self) -> Handle {
        // The counter wraps around, so a pid may still be in use by another session.
        let (sender, receiver) = async_channel::bounded(1);
        let sessions = self.inner.sessions.pin();
        let (pid, secret) = loop {
            let number = self.inner.next.fetch_add(1, atomic::Ordering::Relaxed);
            let pid = (number & i32::MAX).max(1);
            let secret = self.inner.secret(number);
            let entry = (secret, sender.clone());
            if sessions.try_insert(pid, entry).is_ok() {
                break (pid, secret);
            }
        };
        Handle {
            registry: self.clone(),
            pid,
            secret,
            receiver,
        }
    }

    /// Cancels the session's current request; returns false when pid or secret is wrong.
    ///
    /// ```
    /// assert!(!mangotray::cancel::Registry::new().cancel(1, 2));
    /// ```
    #[must_use]
    pub fn cancel(&self, pid: Pid, secret: Secret) -> bool {
        let sessions = self.inner.sessions.pin();
        let Some((expected, sender)) = sessions.get(&pid) else {
            return false;
        };
        if *expected != secret {
            return false;
        }
        // A full channel means that a cancel is already pending.
        let _ = sender.try_send(());
        true
    }
}

/// A session's registration; receives its cancel requests.
#[derive(Debug)]
pub struct Handle {
    registry: Registry,
    pid: Pid,
    secret: Secret,
    receiver: Receiver<()>,
}

impl Handle {
    /// The session's pid.
    #[must_use]
    pub const fn pid(&self) -> Pid {
        self.pid
    }

    /// The session's secret.
    #[must_use]
    pub const fn secret(&self) -> Secret {
        self.secret
    }

    /// Discards a pending cancel and returns whether there was one. Called before a request,
    /// since an earlier cancel was meant for a previous request and must not end this one.
    ///
    /// ```
    /// let registry = mangotray::cancel::Registry::new();
    /// let handle = registry.register();
    /// assert!(registry.cancel(handle.pid(), handle.secret()));
    /// assert!(handle.discard_pending());
    /// assert!(!handle.discard_pending());
    /// ```
    #[must_use]
    pub fn discard_pending(&self) -> bool {
        self.receiver.try_recv().is_ok()
    }

    /// Waits for a cancel request.
    ///
    /// ```
    /// let registry = mangotray::cancel::Registry::new();
    /// let handle = registry.register();
    /// assert!(registry.cancel(handle.pid(), handle.secret()));
    /// futures_lite::future::block_on(handle.wait());
    /// ```
    pub async fn wait(&self) {
        // The registry keeps a sender as long as the handle exists, so this cannot fail.
        let _ = self.receiver.recv().await;
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.registry.inner.sessions.pin().remove(&self.pid);
    }
}

#[cfg(test)]
mod tests;
