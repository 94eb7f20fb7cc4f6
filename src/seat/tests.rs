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
    fn parts_add_up_and_each_can_work(connections in 2..200_usize, slots in 1..20_usize) {
        let seats = placement::count(connections, slots);
        let parts: Vec<_> = (0..seats).map(|seat| seat::part(connections, slots, seats, seat)).collect();
        prop_assert_eq!(parts.iter().map(|part| part.connections).sum::<usize>(), connections);
        prop_assert_eq!(parts.iter().map(|part| part.slots).sum::<usize>(), slots);
        prop_assert!(parts.iter().all(|part| part.slots > 0 && part.connections > part.control));
    }
}
