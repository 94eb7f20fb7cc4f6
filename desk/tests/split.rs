//! Share of operations that are granted to organisations below their limits, in virtual time.

mod fleet;

use std::time;

use mangotray_desk::limits::quota;

use fleet::Fleet;

const NODES: usize = 61;

/// Nodes on the far side of the split: 35 % of all.
const FAR_NODES: usize = 21;

const SPLITS: u64 = 10;

fn millis(count: u64) -> time::Duration {
    time::Duration::from_millis(count)
}

/// Operations that were requested and granted.
#[derive(Clone, Copy, Debug, Default)]
struct Served {
    requested: u32,
    granted: u32,
}

impl Served {
    fn add(&mut self, granted: bool) {
        self.requested += 1;
        self.granted += u32::from(granted);
    }

    fn fraction(self) -> f64 {
        f64::from(self.granted) / f64::from(self.requested.max(1))
    }
}

/// Served on the far side and on the near side of a split of 7 s: before it, in its first two
/// seconds, and in the rest of it.
fn serve_through_splits(rate: f64, load: f64, counting: bool) -> [[Served; 2]; 3] {
    let mut served = [[Served::default(); 2]; 3];
    for seed in 0..SPLITS {
        let quota = quota::Quota { rate, burst: rate };
        let mut fleet = Fleet::new(NODES, seed, quota);
        fleet.loss = 0;
        fleet.counting = counting;
        let far = fleet.choose(FAR_NODES);
        let (begin, length) = (millis(15_000), millis(7000));
        while fleet.now < begin + length {
            if fleet.now == begin {
                fleet.split(&far, length);
            }
            fleet.step();
            let part = match fleet.now {
                now if now < millis(5000) => None,
                now if now < begin => Some(0),
                now if now < begin + millis(2000) => Some(1),
                _ => Some(2),
            };
            for (index, granted) in fleet.requests(load) {
                if let Some(part) = part {
                    served[part][usize::from(!far.contains(&index))].add(granted);
                }
            }
        }
        assert_eq!(fleet.violation(), None, "seed {seed}");
    }
    served
}

fn show(rate: f64, load: f64, counting: bool) -> [[Served; 2]; 3] {
    let served = serve_through_splits(rate, load, counting);
    let [before, first, rest] = served.map(|sides| sides.map(Served::fraction));
    println!(
        "limit {rate}, load {load}, counting {counting}: before {before:.3?}, first two seconds {first:.3?}, rest {rest:.3?}"
    );
    served
}

/// Guards against refusals of organisations below their limits while all nodes reach each other.
#[test]
fn an_organisation_below_its_limit_is_not_refused() {
    for rate in [4.0, 20.0, 100.0] {
        for load in [0.62, 0.85] {
            let quota = quota::Quota { rate, burst: rate };
            let mut fleet = Fleet::new(NODES, 1, quota);
            fleet.loss = 0;
            let mut served = Served::default();
            while fleet.now < millis(20_000) {
                fleet.step();
                let settled = fleet.now > millis(5000);
                for (_, granted) in fleet.requests(load) {
                    if settled {
                        served.add(granted);
                    }
                }
            }
            let fraction = served.fraction();
            assert!(fraction > 0.995, "limit {rate}, load {load}: {fraction}");
        }
    }
}

/// Guards against a split in which one side is refused below the limit for as long as the split
/// lasts, or served less than by a single counting node with deputies.
#[test]
fn both_sides_of_a_split_are_served() {
    for rate in [20.0, 100.0] {
        let by_shares = show(rate, 0.75, false);
        let counted = show(rate, 0.75, true);
        for side in [0, 1] {
            let (shared, single) = (by_shares[2][side], counted[2][side]);
            assert!(
                shared.fraction() > single.fraction(),
                "limit {rate}, side {side}"
            );
            assert!(shared.fraction() > 0.75, "limit {rate}, side {side}");
        }
    }
}
