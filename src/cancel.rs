//! Cancel requests of callers.

use std::collections::hash_map;
use std::hash::BuildHasher;
use std::sync;
use std::sync::atomic;

use async_channel::Receiver;
use async_channel::Sender;

/// Number that a session is known by, as told in `BackendKeyData`.
pub type Pid = i32;

/// Secret that a cancel request has to show.
pub type Secret = i32;

/// All sessions of a process that can be canceled; clones share them.
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
    /// A keyed hash: whoever knows some secrets cannot work out the others.
    fn secret(&self, number: i32) -> Secret {
        let hash = self.hasher.hash_one(number).to_le_bytes();
        Secret::from_le_bytes([hash[0], hash[1], hash[2], hash[3]])
    }
}

impl Registry {
    /// A registry without sessions.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Registers a session until the handle is dropped.
    ///
    /// ```
    /// let registry = mangotray::cancel::Registry::new();
    /// let handle = registry.register();
    /// assert!(registry.cancel(handle.pid(), handle.secret()));
    /// ```
    #[must_use]
    pub fn register(&self) -> Handle {
        // A pid is taken only when no other session holds it, as the counter wraps.
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

    /// Cancels what the session runs at the moment; false when pid or secret is wrong.
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
        // A full channel means that a cancel is already on its way.
        let _ = sender.try_send(());
        true
    }
}

/// A session's end of its entry in the registry.
#[derive(Debug)]
pub struct Handle {
    registry: Registry,
    pid: Pid,
    secret: Secret,
    receiver: Receiver<()>,
}

impl Handle {
    /// The session's number.
    #[must_use]
    pub const fn pid(&self) -> Pid {
        self.pid
    }

    /// The session's secret.
    #[must_use]
    pub const fn secret(&self) -> Secret {
        self.secret
    }

    /// Forgets a cancel that came before the next request: it was meant for an
    /// earlier one and would otherwise end work that nobody asked to end.
    ///
    /// ```
    /// let registry = mangotray::cancel::Registry::new();
    /// let handle = registry.register();
    /// assert!(registry.cancel(handle.pid(), handle.secret()));
    /// assert!(handle.clear());
    /// assert!(!handle.clear());
    /// ```
    #[must_use]
    pub fn clear(&self) -> bool {
        self.receiver.try_recv().is_ok()
    }

    /// Waits for a cancel request.
    ///
    /// ```
    /// let registry = mangotray::cancel::Registry::new();
    /// let handle = registry.register();
    /// assert!(registry.cancel(handle.pid(), handle.secret()));
    /// futures_lite::future::block_on(handle.canceled());
    /// ```
    pub async fn canceled(&self) {
        // The registry holds a sender for as long as the handle lives.
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
