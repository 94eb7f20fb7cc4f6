//! What can fail.

/// Defines an enumeration together with the list of all its values, so that none can
/// be left out of the matrix.
macro_rules! enum_with_list {
    ($(#[$doc:meta])* $type:ident { $($(#[$line:meta])* $value:ident => $name:literal,)+ }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum $type { $($(#[$line])* $value,)+ }

        impl $type {
            /// All values, in the order of the matrix.
            pub const ALL: &'static [Self] = &[$(Self::$value,)+];

            /// Name in the matrix.
            pub const fn name(self) -> &'static str {
                match self { $(Self::$value => $name,)+ }
            }
        }
    };
}
pub(crate) use enum_with_list;

enum_with_list! {
    /// A fault; it lasts until the cell is healed, if it does not say otherwise.
    Fault {
        /// The primary's process ends.
        PrimaryLost => "primary lost",
        /// The primary is cut off from its replicas and from the proxies, and still
        /// believes that it leads.
        PrimaryIsolated => "primary cut off from all",
        /// The primary is cut off from its replicas alone, and still believes that it leads.
        PrimaryStalled => "primary cut off from replicas",
        /// Replicas apply a backlog one record at a time.
        ReplicasBehind => "replicas far behind",
        /// The proxy at work dies.
        ProxyDies => "proxy dies",
        /// The store refuses every call.
        StoreDown => "store down",
        /// The store takes long for every call.
        StoreSlow => "store slow",
        /// The next change of the store takes effect and its answer is lost.
        StoreAnswerLost => "store's answer lost",
        /// The proxy at work is paused past the end of its lease; meanwhile another one
        /// replaces the primary.
        LeaseLapsed => "lease lapses in a pause",
        /// Two operators apply different files at once; the winner's takes the primary
        /// out of service.
        OperatorsRace => "operators race",
        /// The answer of an instance to the proxy at work is lost after the call ran.
        AnswerLost => "instance's answer lost",
    }
}
