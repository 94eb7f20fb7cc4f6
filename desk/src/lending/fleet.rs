//! The members of the fleet, with the order in which they serve each instance.
//!
//! Addresses reads that ask for the order up to six times each, for the forecast and the reported
//! exchange of each candidate: hashing and sorting all members costs more than the rest of the
//! choice.

use std::collections;
use std::rc;

use mangotray::id;

use crate::lending::serving;
use crate::member;
use crate::upstream;

/// Most orders that are kept; a fleet reaches a few dozen instances. An order takes a kilobyte with
/// a hundred members.
pub const MAX_ORDERS: usize = 512;

/// The members, and the orders that were asked for since they last changed.
///
/// ```
/// use mangotray_desk::{lending::fleet, member};
/// let member = |name: &str| member::Member {
///     name: name.into(),
///     domain: "here".into(),
///     address: "127.0.0.1:1".parse().unwrap(),
///     protocol: 0,
///     capacity: None,
/// };
/// let mut fleet = fleet::Fleet::default();
/// fleet.replace(vec![member("a"), member("b")]);
/// assert_eq!(fleet.order(&"i-1".into(), &"here".into()).len(), 2);
/// assert_eq!(fleet.kept(), 1);
/// fleet.replace(vec![member("b")]);
/// assert_eq!(fleet.kept(), 0);
/// assert_eq!(*fleet.order(&"i-1".into(), &"here".into()), [0]);
/// ```
#[derive(Debug, Default)]
pub struct Fleet {
    members: Vec<member::Member>,
    orders: collections::BTreeMap<upstream::Id, Order>,
}

/// The order for an instance in one failure domain, as positions in the list of members.
#[derive(Debug)]
struct Order {
    domain: id::Domain,
    positions: rc::Rc<[usize]>,
}

impl Fleet {
    /// The members.
    #[must_use]
    pub fn members(&self) -> &[member::Member] {
        &self.members
    }

    /// Replaces the members, and drops all orders.
    pub fn replace(&mut self, members: Vec<member::Member>) {
        self.members = members;
        self.orders.clear();
    }

    /// Positions of the members in the order in which they serve an instance, as
    /// [`serving::positions`] tells.
    pub fn order(&mut self, instance: &upstream::Id, domain: &id::Domain) -> rc::Rc<[usize]> {
        if let Some(order) = self.orders.get(instance)
            && order.domain == *domain
        {
            return rc::Rc::clone(&order.positions);
        }
        if self.orders.len() >= MAX_ORDERS {
            self.orders.clear();
        }
        let positions: rc::Rc<[usize]> = serving::positions(&self.members, instance, domain).into();
        let order = Order {
            domain: domain.clone(),
            positions: rc::Rc::clone(&positions),
        };
        self.orders.insert(instance.clone(), order);
        positions
    }

    /// Drops the orders for instances that are not listed any more.
    pub fn prune(&mut self, listed: impl Fn(&upstream::Id) -> bool) {
        self.orders.retain(|instance, _| listed(instance));
    }

    /// Number of orders that are kept.
    #[must_use]
    pub fn kept(&self) -> usize {
        self.orders.len()
    }
}
