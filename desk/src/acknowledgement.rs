//! What the nodes of the deployment have passed on as acknowledged in a group.

use mangotray::stamp;

/// The highest position that any node which answered has passed on as acknowledged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Acknowledgement {
    /// The highest position; `None` if no node that answered has passed one on.
    pub position: Option<stamp::Stamp>,
    /// Whether all nodes answered.
    pub complete: bool,
}

impl Acknowledgement {
    /// A position that covers all acknowledged commits, if all nodes answered.
    ///
    /// ```
    /// use mangotray::stamp::Stamp;
    /// use mangotray_desk::acknowledgement::Acknowledgement;
    /// let position = Some(Stamp::new(3, 7));
    /// let all = Acknowledgement { position, complete: true };
    /// assert_eq!(all.bound(), Some(Stamp::new(3, 7)));
    /// let some = Acknowledgement { position, complete: false };
    /// assert_eq!(some.bound(), None);
    /// ```
    #[must_use]
    pub fn bound(&self) -> Option<stamp::Stamp> {
        self.complete.then(|| self.position.unwrap_or_default())
    }
}
