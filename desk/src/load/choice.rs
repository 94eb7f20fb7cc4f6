//! Which of several instances serves a read, by what is expected of each.
//!
//! Addresses instances of uneven load or speed that many nodes share, without a herd: nodes that
//! learn the same report at once must not all move to the same instance. Each read has a usual
//! instance, by place and by the connections that are open, and one drawn at random; the drawn one
//! is taken only if it is clearly cheaper.

use std::time;

/// A difference of less than one part in this many of the usual instance's cost is no reason to
/// move: a lending node repeats a report at once only if it changed by more than this.
const MARGIN_DIVISOR: u32 = 5;

/// An instance that may serve a read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Offer {
    /// What it costs besides waiting and running: distance, opening a connection, the need for the
    /// primary's slots.
    pub fixed: time::Duration,
    /// Expected wait and exchange.
    pub expected: time::Duration,
    /// The read cannot start in time there, by a fresh report.
    pub late: bool,
}

impl Offer {
    /// Expected cost of the read there.
    #[must_use]
    pub fn cost(&self) -> time::Duration {
        self.fixed.saturating_add(self.expected)
    }

    fn is_clearly_cheaper(&self, other: &Self) -> bool {
        let margin = other.cost() / MARGIN_DIVISOR;
        self.cost().saturating_add(margin) < other.cost()
    }
}

/// Random numbers for one choice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Draw {
    /// Decides between usual instances that are alike.
    pub usual: usize,
    /// Decides which other instance is compared.
    pub other: usize,
}

/// Returns the index of the instance to use; `None` if there is none. Instances where the read
/// cannot start in time are used only if it can start in time nowhere; then the shortest wait
/// decides.
///
/// ```
/// use mangotray_desk::load::choice;
/// use std::time::Duration;
/// let offer = |fixed, expected| choice::Offer {
///     fixed: Duration::from_millis(fixed),
///     expected: Duration::from_millis(expected),
///     late: false,
/// };
/// let draw = |other| choice::Draw { usual: 0, other };
/// // The usual instance is much busier than the other one.
/// assert_eq!(choice::choose(&[offer(0, 90), offer(10, 20)], draw(1)), Some(1));
/// // The difference would not pay for the connection that has to be opened.
/// assert_eq!(choice::choose(&[offer(0, 30), offer(10, 20)], draw(1)), Some(0));
/// ```
#[must_use]
pub fn choose(offers: &[Offer], draw: Draw) -> Option<usize> {
    let all = 0..offers.len();
    let timely: Vec<_> = all.clone().filter(|index| !offers[*index].late).collect();
    if timely.is_empty() {
        return all.min_by_key(|index| offers[*index].cost());
    }
    let least = timely.iter().map(|index| offers[*index].fixed).min()?;
    let usual: Vec<_> = timely
        .iter()
        .copied()
        .filter(|index| offers[*index].fixed == least)
        .collect();
    let usual = usual[draw.usual % usual.len()];
    let cheaper: Vec<_> = timely
        .iter()
        .copied()
        .filter(|index| offers[*index].is_clearly_cheaper(&offers[usual]))
        .collect();
    // If all others are cheaper, the usual one is slow or overloaded, and nothing is left there. Its
    // part in the draw goes to the most expensive of the others, so that no more move to the
    // cheapest.
    let mut drawn = timely[draw.other % timely.len()];
    let next = cheaper.iter().max_by_key(|index| offers[**index].cost());
    if drawn == usual
        && cheaper.len() > 1
        && cheaper.len() + 1 == timely.len()
        && let Some(next) = next
    {
        drawn = *next;
    }
    let moves = offers[drawn].is_clearly_cheaper(&offers[usual]);
    Some(if moves { drawn } else { usual })
}
