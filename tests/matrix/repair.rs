//! Groups that look well and are not.

use std::time;

use mangotray::clock::Clock;
use mangotray::id;

use crate::operation::Kind;
use crate::pool;
use crate::scene;

/// Time in which a promotion that must not come would have come several times.
const QUIET: time::Duration = time::Duration::from_millis(1_500);

/// Time in which what must come has come.
const PATIENCE: time::Duration = time::Duration::from_secs(20);

/// Time between two looks.
const LOOK_EVERY: time::Duration = time::Duration::from_millis(20);

async fn wait(scene: &scene::Scene, check: impl Fn() -> bool) -> bool {
    let end = scene.world.clock.now() + PATIENCE;
    while !check() && scene.world.clock.now() < end {
        async_io::Timer::after(LOOK_EVERY).await;
    }
    check()
}

async fn ready(scene: &scene::Scene) {
    let proxies = scene.proxies();
    let led = || {
        let mut boards = proxies.iter().map(|proxy| proxy.group.watch.board());
        boards.all(|board| board.leader().is_some())
    };
    assert!(wait(scene, led).await);
}

#[test]
fn a_leaving_primary_stays_while_the_others_are_no_majority() {
    // Symptom: writes are aborted several times a second by changes of the primary.
    // Events: a replica dies; operators take the primary out of service; the remaining
    // two are a majority only together, and the primary's log is as good as the other.
    // Cause: a leaving primary was replaced without asking whether it can be.
    pool::block_on(|pool| async move {
        let scene = scene::Scene::new(&pool);
        ready(&scene).await;
        scene.world.lock().instances[2].stop();
        let down = || {
            let proxies = scene.proxies();
            let mut boards = proxies.iter().map(|proxy| proxy.group.watch.board());
            boards.all(|board| board.instances()[2].failures > 0)
        };
        assert!(wait(&scene, down).await);
        scene
            .proxies()
            .iter()
            .for_each(|proxy| proxy.declare(Some(0)));
        async_io::Timer::after(QUIET).await;
        let terms: Vec<id::Term> = scene.world.lock().reigns.keys().copied().collect();
        assert_eq!(terms, [1]);
        scene.world.lock().instances[2].start();
        let replaced = || scene.world.lock().primary().is_some_and(|index| index != 0);
        assert!(wait(&scene, replaced).await);
    });
}

#[test]
fn a_replica_left_fenced_receives_the_log_again() {
    // Symptom: a replica never receives a record again, though the group looks well.
    // Events: a promotion fences one replica above the primary's term and is given up.
    // Cause: nothing watched for a replica that refuses the log of its primary.
    pool::block_on(|pool| async move {
        let scene = scene::Scene::new(&pool);
        ready(&scene).await;
        scene.world.lock().instances[2].fence(7);
        let proxy = scene.proxies()[0].clone();
        let mut request = 0;
        while !scene.world.lock().reigns.keys().any(|term| *term > 7) {
            request += 1;
            assert!(request < 10_000, "no new term");
            let mut session = proxy.session();
            let batch = session.batch(Kind::Write, request, PATIENCE);
            session.run(batch, false).await;
            async_io::Timer::after(LOOK_EVERY).await;
        }
        let converged = || scene.world.lock().converged();
        assert!(wait(&scene, converged).await);
    });
}
