use proptest::prelude::*;

use crate::placement;
use crate::seat;

#[test]
fn the_stored_form_is_stable() {
    let text =
        r#"[{"seat":1,"vm":"entry-1","incarnation":7,"lease":"l1","witnesses":["entry-2"]}]"#;
    let seats = seat::decode(text.as_bytes()).unwrap();
    assert_eq!(seats[0].seat, 1);
    assert_eq!(seat::encode(&seats).unwrap(), text);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn limits_of_seats_add_up_and_each_seat_is_usable(connections in 2..200_usize, slots in 1..20_usize) {
        let seats = placement::serving_count(connections, slots);
        let limits: Vec<_> = (0..seats).map(|seat| seat::limits(connections, slots, seats, seat)).collect();
        prop_assert_eq!(limits.iter().map(|limit| limit.connections).sum::<usize>(), connections);
        prop_assert_eq!(limits.iter().map(|limit| limit.slots).sum::<usize>(), slots);
        prop_assert!(limits.iter().all(|limit| limit.slots > 0 && limit.connections > limit.control));
    }
}
