use crate::profile::{Kind, Profile};

#[test]
fn percentages_of_a_mix_add_up_to_100() {
    for profile in [Profile::tarapath(), Profile::hoasen()] {
        let mix = profile.mix;
        assert_eq!(
            mix.write + mix.own_rows + mix.item + mix.listing,
            100,
            "{profile}"
        );
    }
}

#[test]
fn kinds_are_drawn_by_their_percentages() {
    let mix = Profile::hoasen().mix;
    let count = |kind| {
        (0..100)
            .filter(|percentile| mix.kind(*percentile) == kind)
            .count()
    };
    assert_eq!(count(Kind::Write), 5);
    assert_eq!(count(Kind::OwnRows), 25);
    assert_eq!(count(Kind::Item), 15);
    assert_eq!(count(Kind::Listing), 55);
}

#[test]
fn schema_is_valid_and_counters_start_at_zero() {
    for profile in [Profile::tarapath(), Profile::hoasen()] {
        let database = rusqlite::Connection::open_in_memory().unwrap();
        database.execute_batch(&profile.schema().join(";")).unwrap();
        let mut counters = database.prepare(&profile.all_counters_query()).unwrap();
        let counts: Vec<i64> = counters
            .query_map([], |row| row.get(1))
            .unwrap()
            .map(Result::unwrap)
            .collect();
        assert_eq!(counts, [0; 21], "{profile}");
    }
}

#[test]
fn names_are_parsed_as_displayed() {
    for profile in [Profile::tarapath(), Profile::hoasen()] {
        assert_eq!(profile.to_string().parse::<Profile>().unwrap(), profile);
    }
    assert!("elsewhere".parse::<Profile>().is_err());
}
