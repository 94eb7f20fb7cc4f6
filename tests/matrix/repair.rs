//! Repair of groups whose primary answers while promotion or replication is blocked.

use std::time;

use mangotray::clock::Clock;
use mangotray::id;

use crate::harness;
use crate::operation::Kind;
use crate::pool;

/// Time to observe that no promotion happens; enough for several.
const OBSERVATION_TIME: time::Duration = time::Duration::from_millis(1_500);

/// Time within which an expected change must happen.
const WAIT_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// Time between two checks of a condition.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);

async fn wait_until(harness: &harness::Harness, condition: impl Fn() -> bool) -> bool {
    let end = harness.cluster.clock.now() + WAIT_TIMEOUT;
    while !condition() && harness.cluster.clock.now() < end {
        async_io::Timer::after(POLL_INTERVAL).await;
    }
    condition()
}

async fn wait_for_primary(harness: &harness::Harness) {
    let proxies = harness.proxies();
    let have_primary = || {
        let mut boards = proxies.iter().map(|proxy| proxy.group.watch.board());
        boards.all(|board| board.leader().is_some())
    };
    assert!(wait_until(harness, have_primary).await);
}

#[test]
fn a_leaving_primary_stays_while_the_others_are_no_majority() {
    // Guards against promotions that abort writes several times a second. A replica stops
    // and operators mark the primary as leaving. The other two instances are a majority only
    // together and their logs are equal, so a promotion that does not check whether the
    // leaving primary can be replaced may promote it again and again.
    pool::block_on(|pool| async move {
        let harness = harness::Harness::new(&pool);
        wait_for_primary(&harness).await;
        harness.cluster.lock().instances[2].stop();
        let down = || {
            let proxies = harness.proxies();
            let mut boards = proxies.iter().map(|proxy| proxy.group.watch.board());
            boards.all(|board| board.instances()[2].failures > 0)
        };
        assert!(wait_until(&harness, down).await);
        harness
            .proxies()
            .iter()
            .for_each(|proxy| proxy.declare(Some(0)));
        async_io::Timer::after(OBSERVATION_TIME).await;
        let terms: Vec<id::Term> = harness
            .cluster
            .lock()
            .primaries_by_term
            .keys()
            .copied()
            .collect();
        assert_eq!(terms, [1]);
        harness.cluster.lock().instances[2].start();
        let replaced = || {
            harness
                .cluster
                .lock()
                .primary()
                .is_some_and(|index| index != 0)
        };
        assert!(wait_until(&harness, replaced).await);
    });
}

#[test]
fn a_replica_left_fenced_receives_the_log_again() {
    // Guards against a replica that receives no records any more while the group appears
    // healthy. An abandoned promotion has fenced the replica above the primary's term, so it
    // refuses the primary's log; only a promotion at a higher term resumes replication.
    pool::block_on(|pool| async move {
        let harness = harness::Harness::new(&pool);
        wait_for_primary(&harness).await;
        harness.cluster.lock().instances[2].fence(7);
        let proxy = harness.proxies()[0].clone();
        let mut request = 0;
        while !harness
            .cluster
            .lock()
            .primaries_by_term
            .keys()
            .any(|term| *term > 7)
        {
            request += 1;
            assert!(request < 10_000, "no new term");
            let mut session = proxy.session();
            let batch = session.batch(Kind::Write, request, WAIT_TIMEOUT);
            session.run(batch, false).await;
            async_io::Timer::after(POLL_INTERVAL).await;
        }
        let converged = || harness.cluster.lock().converged();
        assert!(wait_until(&harness, converged).await);
    });
}
