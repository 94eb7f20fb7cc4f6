use crate::profile::{Kind, Profile};

#[test]
fn mixes_add_up_to_a_hundred() {
    for profile in [Profile::tarapath(), Profile::hoasen()] {
        let mix = profile.mix;
        assert_eq!(mix.book + mix.own + mix.detail + mix.list, 100, "{profile}");
    }
}

#[test]
fn kinds_are_drawn_by_their_shares() {
    let mix = Profile::hoasen().mix;
    let drawn = |kind| (0..100).filter(|drawn| mix.kind(*drawn) == kind).count();
    assert_eq!(drawn(Kind::Book), 5);
    assert_eq!(drawn(Kind::Own), 25);
    assert_eq!(drawn(Kind::Detail), 15);
    assert_eq!(drawn(Kind::List), 55);
}

#[test]
fn schema_runs_and_counts_from_zero() {
    for profile in [Profile::tarapath(), Profile::hoasen()] {
        let database = rusqlite::Connection::open_in_memory().unwrap();
        database.execute_batch(&profile.schema().join(";")).unwrap();
        let mut counters = database.prepare(&profile.all_counters()).unwrap();
        let taken: Vec<i64> = counters
            .query_map([], |row| row.get(1))
            .unwrap()
            .map(Result::unwrap)
            .collect();
        assert_eq!(taken, [0; 21], "{profile}");
    }
}

#[test]
fn names_are_parsed_as_displayed() {
    for profile in [Profile::tarapath(), Profile::hoasen()] {
        assert_eq!(profile.to_string().parse::<Profile>().unwrap(), profile);
    }
    assert!("elsewhere".parse::<Profile>().is_err());
}
