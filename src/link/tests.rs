use assert_matches::assert_matches;
use futures_lite::AsyncReadExt;
use futures_lite::future;
use pgwire::messages::data;
use pgwire::messages::simplequery;

use super::*;
use crate::stamp;
use crate::transaction;
use crate::upstream::Connection;

/// Runs a server that answers the handshake and then each request with the given bytes, and closes
/// the connection after the last one.
async fn serve(listener: async_net::TcpListener, answers: Vec<Vec<u8>>) {
    let (mut socket, _) = listener.accept().await.unwrap();
    let mut request = [0; 1024];
    socket.read(&mut request).await.unwrap();
    socket.write_all(&startup_answer()).await.unwrap();
    for answer in answers {
        if socket.read(&mut request).await.unwrap() == 0 {
            return;
        }
        socket.write_all(&answer).await.unwrap();
    }
}

fn startup_answer() -> Vec<u8> {
    let incarnation = startup::ParameterStatus::new(INCARNATION_PARAMETER.into(), "7".into());
    [
        encode(&startup::Authentication::Ok),
        encode(&incarnation),
        encode(&response::ReadyForQuery::new(
            response::TransactionStatus::Idle,
        )),
    ]
    .concat()
}

fn encode<M: pgwire::messages::Message>(message: &M) -> Vec<u8> {
    let mut buffer = bytes::BytesMut::new();
    frame::Frame::encode(message).write(&mut buffer);
    buffer.to_vec()
}

fn complete_answer() -> Vec<u8> {
    let stamp = startup::ParameterStatus::new(assembly::STAMP_PARAMETER.into(), "3/9".into());
    let zone = startup::ParameterStatus::new("TimeZone".into(), "UTC".into());
    [
        encode(&data::DataRow::new(bytes::BytesMut::new(), 0)),
        encode(&response::CommandComplete::new("SELECT 1".into())),
        encode(&zone),
        encode(&stamp),
        encode(&response::ReadyForQuery::new(
            response::TransactionStatus::Transaction,
        )),
    ]
    .concat()
}

fn query() -> Vec<frame::Frame> {
    let query = simplequery::Query::new("SELECT 1".into());
    vec![frame::Frame::encode(&query)]
}

/// Runs the given number of batches against a server with these answers.
fn run_batches(
    limit: usize,
    answers: Vec<Vec<u8>>,
    batches: usize,
) -> Vec<Result<reply::Reply, upstream::Failure>> {
    future::block_on(async {
        let listener = async_net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let client = async {
            let options = Options {
                limit,
                ..Options::default()
            };
            let mut link = Link::open(address, "db", &options).await.unwrap();
            assert_eq!(link.incarnation(), 7);
            let mut results = Vec::new();
            for _ in 0..batches {
                results.push(link.run(&query()).await);
            }
            results
        };
        future::zip(client, serve(listener, answers)).await.0
    })
}

#[test]
fn gives_the_whole_answer_without_proxy_parameters() {
    let results = run_batches(1024, vec![complete_answer(), complete_answer()], 2);
    for result in results {
        let reply = result.unwrap();
        let tags: Vec<_> = reply.frames.iter().map(|frame| frame.tag).collect();
        assert_eq!(tags, [b'D', b'C', b'S']);
        assert_eq!(reply.transaction, transaction::State::Open);
        assert_eq!(reply.stamp, Some(stamp::Stamp::new(3, 9)));
        assert_eq!(reply.error, None);
    }
}

/// Guards against a caller that gets a part of an answer or the rest of another caller's. The
/// connection is lost after any number of bytes; an incomplete answer must not be relayed, and the
/// link must not be used again.
#[test]
fn an_answer_cut_anywhere_is_unknown_and_ends_the_link() {
    let answer = complete_answer();
    for cut in 0..answer.len() {
        let results = run_batches(1024, vec![answer[..cut].to_vec()], 2);
        assert_matches!(results[0], Err(upstream::Failure::Unknown(_)), "{cut}");
        assert_matches!(results[1], Err(upstream::Failure::NotRun(_)), "{cut}");
    }
}

/// Guards against a caller that gets the answer of the previous one. When a deadline passes, the
/// run is dropped and its answer arrives late, so the link must not be given to the next request.
#[test]
fn a_link_dropped_while_it_runs_is_never_used_again() {
    let listening = async_net::TcpListener::bind("127.0.0.1:0");
    let listener = future::block_on(listening).unwrap();
    let address = listener.local_addr().unwrap();
    future::block_on(async {
        let client = async {
            let mut link = Link::open(address, "db", &Options::default())
                .await
                .unwrap();
            let frames = query();
            assert!(link.run(&frames).now_or_never().is_none());
            link.run(&frames).await
        };
        let (result, ()) = future::zip(client, serve(listener, vec![complete_answer()])).await;
        assert_matches!(result, Err(upstream::Failure::NotRun(_)));
    });
}

#[test]
fn an_answer_over_the_limit_is_reported_as_too_large() {
    let answer = complete_answer();
    let results = run_batches(answer.len() - 1, vec![answer.clone()], 2);
    assert_matches!(&results[0], Err(upstream::Failure::Unknown(message)) if message.starts_with(assembly::TOO_LARGE_MESSAGE));
    assert_matches!(results[1], Err(upstream::Failure::NotRun(_)));
    let row = data::DataRow::new(bytes::BytesMut::from(&[0; 2000][..]), 1);
    let results = run_batches(1024, vec![encode(&row)], 1);
    assert_matches!(&results[0], Err(upstream::Failure::Unknown(message)) if message.starts_with(assembly::TOO_LARGE_MESSAGE));
    assert_matches!(run_batches(answer.len(), vec![answer], 1)[0], Ok(_));
}

#[test]
fn reports_the_first_sqlstate() {
    let error = |code: &str| {
        let fields = vec![(b'C', code.to_owned()), (b'M', "words".to_owned())];
        encode(&response::ErrorResponse::new(fields))
    };
    let ready = response::ReadyForQuery::new(response::TransactionStatus::Error);
    let answer = [error("23505"), error("25P02"), encode(&ready)].concat();
    let reply = run_batches(1024, vec![answer], 1).remove(0).unwrap();
    assert_eq!(reply.error.as_deref(), Some("23505"));
    assert_eq!(reply.transaction, transaction::State::Failed);
    assert_eq!(reply.stamp, None);
}

/// Guards against a long pipelined batch that waits until its deadline. The instance answers while
/// it reads, and its answers fill the buffers of both sockets; the proxy must read before it has
/// sent the whole batch.
#[test]
fn reads_while_it_sends() {
    const QUERY_BYTES: usize = 32 << 20;
    future::block_on(async {
        let listener = async_net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let client = async {
            let options = Options {
                limit: 2 * QUERY_BYTES,
                ..Options::default()
            };
            let mut link = Link::open(address, "db", &options).await.unwrap();
            let query = simplequery::Query::new(" ".repeat(QUERY_BYTES));
            link.run(&[frame::Frame::encode(&query)]).await.unwrap()
        };
        let server = async {
            let (mut socket, _) = listener.accept().await.unwrap();
            let mut request = vec![0; 1024];
            socket.read(&mut request).await.unwrap();
            socket.write_all(&startup_answer()).await.unwrap();
            socket.read_exact(&mut request).await.unwrap();
            let row = data::DataRow::new(bytes::BytesMut::zeroed(QUERY_BYTES), 1);
            socket.write_all(&encode(&row)).await.unwrap();
            // Header and final zero byte of the query, minus the bytes that were read before.
            let rest = QUERY_BYTES + assembly::FRAME_HEADER_BYTES + 1 - 1024;
            socket.read_exact(&mut vec![0; rest]).await.unwrap();
            socket.write_all(&complete_answer()).await.unwrap();
        };
        let timeout = async {
            async_io::Timer::after(time::Duration::from_mins(1)).await;
            panic!("both sides wait for each other");
        };
        let (reply, ()) = future::or(future::zip(client, server), timeout).await;
        assert_eq!(reply.frames.len(), 4);
    });
}

// Guards against answers that do not match the parameters reported to callers, such as times in the
// instance's zone although the proxy reports UTC. A link that requests no values gets the
// instance's defaults.
#[test]
fn a_link_asks_for_the_settings_that_callers_are_told() {
    let packet = startup_packet("mangotray", "dome");
    let strings: Vec<_> = packet[8..].split(|byte| *byte == 0).collect();
    let requested: Vec<_> = strings
        .chunks_exact(2)
        .map(|pair| (pair[0], pair[1]))
        .collect();
    for (name, value) in local::FIXED_SETTINGS {
        assert!(
            requested.contains(&(name.as_bytes(), value.as_bytes())),
            "{name}"
        );
    }
    assert!(requested.contains(&(b"database", b"dome")));
}
