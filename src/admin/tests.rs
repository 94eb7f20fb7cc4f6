use std::sync;
use std::time;

use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;
use futures_lite::future;

use crate::admin;
use crate::telemetry;

const FETCH_TIMEOUT: time::Duration = time::Duration::from_secs(30);

struct FixedSource(admin::Status);

impl admin::Source for FixedSource {
    fn status(&self) -> admin::Status {
        self.0.clone()
    }

    fn update_gauges(&self) {
        metrics::gauge!("test_measured").set(5.0);
    }
}

fn status() -> admin::Status {
    let instance = admin::Instance {
        name: "a".into(),
        lag_records: Some(4),
        ..admin::Instance::default()
    };
    admin::Status {
        vm: "entry-1".into(),
        draining: true,
        groups: vec![admin::Group {
            instances: vec![instance],
            ..admin::Group::default()
        }],
        ..admin::Status::default()
    }
}

/// Runs a client against a running server.
fn with_server<T>(client: impl AsyncFnOnce(std::net::SocketAddr) -> T) -> T {
    let executor = sync::Arc::new(async_executor::Executor::new());
    let source = sync::Arc::new(FixedSource(status()));
    future::block_on(executor.run(async {
        let address = "127.0.0.1:0".parse().unwrap();
        let metrics = telemetry::Handle::install();
        let server = admin::Server::bind(address, source, metrics).await.unwrap();
        let address = server.address().unwrap();
        let task = executor.spawn(server.run(executor.clone()));
        let answer = client(address).await;
        task.cancel().await;
        answer
    }))
}

async fn send_raw(address: std::net::SocketAddr, request: &str) -> String {
    let mut stream = async_net::TcpStream::connect(address).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    answer
}

#[test]
fn the_served_status_is_fetched_unchanged() {
    let fetched = with_server(async |address| admin::fetch(address, FETCH_TIMEOUT).await);
    assert_eq!(fetched.unwrap(), status());
}

#[test]
fn metrics_health_and_wrong_requests_are_answered() {
    let cases = [
        ("GET /healthz", "HTTP/1.1 503", "draining"),
        ("GET /metrics", "HTTP/1.1 200", "test_scraped 7"),
        ("GET /metrics", "HTTP/1.1 200", "test_measured 5"),
        ("GET /other", "HTTP/1.1 404", "/status"),
        ("POST /status", "HTTP/1.1 405", "GET only"),
    ];
    with_server(async |address| {
        metrics::gauge!("test_scraped").set(7.0);
        for (request, code, expected) in cases {
            let head = format!("{request} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
            let answer = send_raw(address, &head).await;
            assert!(answer.starts_with(code), "{request}: {answer}");
            assert!(answer.contains(expected), "{request}: {answer}");
        }
    });
}

// Guards against `mangotray status` hanging: without a timeout, a fetch from a process that
// accepts connections but sends nothing never ends.
#[test]
fn a_fetch_from_a_silent_server_times_out() {
    let error = future::block_on(async {
        let listener = async_net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        admin::fetch(address, time::Duration::from_millis(20)).await
    });
    let message = format!("{:#}", error.unwrap_err());
    assert!(message.contains("no answer within 20ms"), "{message}");
}
