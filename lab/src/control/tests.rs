use futures_util::FutureExt;
use futures_util::future;

use crate::control;

struct Echo;

impl control::Handler for Echo {
    fn handle<'a>(&'a self, line: &'a str) -> future::BoxFuture<'a, eyre::Result<String>> {
        async move {
            eyre::ensure!(line != "unknown", "no command {line:?}");
            Ok(format!("did {line}"))
        }
        .boxed()
    }
}

#[test]
fn commands_are_answered_one_by_one() {
    let answers = async_io::block_on(async {
        let listener = async_net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let asking = async {
            let mut answers = Vec::new();
            for line in ["crash 0", "unknown"] {
                let words: Vec<_> = line.split(' ').map(str::to_owned).collect();
                answers.push(control::send(address, &words).await.unwrap());
            }
            answers
        };
        let serving = async {
            control::serve(listener, &Echo).await.unwrap();
            Vec::new()
        };
        futures_lite::future::or(asking, serving).await
    });
    assert_eq!(
        answers,
        ["did crash 0\n", "error: no command \"unknown\"\n"]
    );
}
