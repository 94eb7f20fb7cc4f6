//! Proofs that a configuration is the newest, passed on between the nodes of a failure domain.

mod cluster;
mod setup;

use std::cell;
use std::rc;

use futures_util::FutureExt;
use futures_util::future;
use mangotray::id;
use mangotray_desk::boot;
use mangotray_desk::catalog;
use mangotray_desk::confirmer;
use mangotray_desk::guarantees;
use mangotray_desk::lending::relay;
use mangotray_desk::lending::router;
use mangotray_desk::member;
use mangotray_desk::node;
use mangotray_desk::position;
use mangotray_desk::question;

use setup::lending;

const NAMES: [&str; 2] = ["one", "two"];

/// A store that answers at once, as one node reaches it.
struct Source {
    node: rc::Rc<node::Node>,
    newest: rc::Rc<cell::Cell<id::Revision>>,
}

impl confirmer::Source for Source {
    fn confirm(&self) -> future::LocalBoxFuture<'_, bool> {
        self.node.apply(catalog(self.newest.get()));
        self.node.confirm(boot::now());
        let revision = self.newest.get();
        let position = position::Position { era: 1, revision };
        let mut coverage = self.node.coverage().borrow_mut();
        coverage.note_told(position, boot::now());
        future::ready(true).boxed_local()
    }

    fn is_receiving(&self) -> bool {
        false
    }
}

fn catalog(version: id::Revision) -> catalog::Catalog {
    catalog::Catalog {
        version,
        ..cluster::catalog()
    }
}

fn start(
    cluster: &cluster::Cluster,
    member: &member::Member,
    newest: &rc::Rc<cell::Cell<id::Revision>>,
) -> rc::Rc<node::Node> {
    let dialer = rc::Rc::new(cluster::Dialer(rc::Rc::clone(&cluster.world)));
    let executor = rc::Rc::clone(&cluster.executor);
    let router = router::Router::new(member.name.clone(), dialer, rc::Rc::clone(&executor));
    let node = node::Node::new(
        member.name.clone(),
        member.domain.clone(),
        rc::Rc::clone(&router),
        rc::Rc::clone(&executor),
        guarantees::Guarantees::default(),
    );
    let source = Source {
        node: rc::Rc::clone(&node),
        newest: rc::Rc::clone(newest),
    };
    let confirmer = confirmer::Confirmer::new(rc::Rc::clone(&node), rc::Rc::new(source));
    executor.spawn(rc::Rc::clone(&confirmer).run()).detach();
    let server = relay::Server::new(
        move |target| router.pool(target),
        rc::Rc::clone(&executor),
        rc::Rc::default(),
    );
    server.set_question_handler(move |question| {
        let confirmer = rc::Rc::clone(&confirmer);
        async move {
            let question::Question::Position(within) = question else {
                return question::Answer::Nothing;
            };
            let told = confirmer.position(within).await;
            told.map_or(question::Answer::Nothing, |(newest, told)| {
                question::Answer::Position(newest, told)
            })
        }
        .boxed_local()
    });
    let address = member.address;
    let serve = async move { server.serve(address).await.expect("a port") };
    executor.spawn(serve).detach();
    node
}

/// Guards against a node that goes on with an old configuration because the peer that it asks, which
/// knows a newer one, counts as its proof.
#[test]
fn a_newer_configuration_at_a_peer_is_fetched_from_the_store() {
    let cluster = cluster::Cluster::new();
    let newest = rc::Rc::new(cell::Cell::new(1));
    let members = NAMES.map(|name| lending::member(name, "here", member::PROTOCOL));
    let nodes = members
        .each_ref()
        .map(|member| start(&cluster, member, &newest));
    for node in &nodes {
        node.router().set_members(members.to_vec());
    }
    cluster.run(async {
        for version in [1, 2, 3] {
            newest.set(version);
            let all_apply = || nodes.iter().all(|node| node.catalog().version == version);
            cluster::until("all nodes apply it", all_apply).await;
            let told = |node: &rc::Rc<node::Node>| {
                let newest = node.coverage().borrow().newest();
                newest.is_some_and(|(_, position)| position.revision == version)
            };
            let all_told = || nodes.iter().all(told);
            cluster::until("all nodes are told the position", all_told).await;
        }
    });
}
