//! Thread pool that runs the cells.

use std::thread;

use crate::proxy;

/// Number of threads in the pool.
const THREADS: usize = 3;

/// Runs a future to completion; tasks that it spawns run on the threads of the pool.
pub fn block_on<T, F: Future<Output = T>>(work: impl FnOnce(proxy::Executor) -> F) -> T {
    let pool = proxy::Executor::default();
    let (stop, stopped) = async_channel::bounded::<()>(1);
    let start = |_| {
        let (pool, stopped) = (pool.clone(), stopped.clone());
        thread::spawn(move || {
            let _ = async_io::block_on(pool.run(stopped.recv()));
        })
    };
    let threads: Vec<_> = (0..THREADS).map(start).collect();
    let result = async_io::block_on(work(pool));
    drop(stop);
    for thread in threads {
        thread.join().expect("no cell panics");
    }
    result
}
