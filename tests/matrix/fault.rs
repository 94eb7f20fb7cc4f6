//! Faults that the matrix injects.

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
    /// A fault. It lasts until the cell is healed unless stated otherwise.
    Fault {
        /// The primary's process ends.
        PrimaryLost => "primary lost",
        /// The primary is cut off from its replicas and from the proxies, and still acts as
        /// primary.
        PrimaryIsolated => "primary cut off from all",
        /// The primary is cut off from its replicas only, and still acts as primary.
        PrimaryStalled => "primary cut off from replicas",
        /// Replicas apply a backlog one record at a time.
        ReplicasBehind => "replicas far behind",
        /// The proxy that reached the step ends.
        ProxyDies => "proxy dies",
        /// The store refuses every call.
        StoreDown => "store down",
        /// The store delays every call.
        StoreSlow => "store slow",
        /// The next change of the store takes effect and its answer is lost.
        StoreAnswerLost => "store's answer lost",
        /// The proxy that reached the step is paused until after the end of its share;
        /// meanwhile another one replaces the primary.
        LeaseLapsed => "lease lapses in a pause",
        /// Two operators apply different files at once; the first one's, if it wins, marks
        /// the primary as leaving.
        OperatorsRace => "operators race",
        /// The next answer of an instance to the proxy that reached the step is lost after
        /// the call took effect.
        AnswerLost => "instance's answer lost",
    }
}
