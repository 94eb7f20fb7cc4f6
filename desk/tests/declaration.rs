//! Instances that operators have declared lost, as a node knows them.

mod cluster;

use mangotray_desk::group;
use mangotray_desk::membership;
use mangotray_desk::upstream;

fn recorded(group: &str, ids: &[&str]) -> membership::Record {
    let instance = |(id, port): (&&str, u16)| membership::Instance {
        id: (*id).into(),
        born: 1,
        address: ([127, 0, 0, 1], port).into(),
        domain: "here".into(),
        slots: 2,
        left: false,
    };
    let membership = membership::Membership {
        group: group.into(),
        instances: ids.iter().zip(1..).map(instance).collect(),
    };
    membership::Record {
        membership,
        version: 1,
    }
}

fn ids(group: &group::Group) -> Vec<upstream::Id> {
    let pools = group.roster().pools();
    pools.iter().map(|pool| pool.id()).collect()
}

/// Guards against a group that is created after a declaration and waits for the lost instance.
#[test]
fn a_declaration_holds_for_groups_that_are_created_later() {
    let cluster = cluster::Cluster::of(cluster::world());
    let node = &cluster.node;
    node.set_declared_lost(["y".into()].into());
    let group = node.group(&"later".into());
    group.set_recorded(Some(recorded("later", &["x", "y"])));
    assert_eq!(ids(&group), ["x"]);
}

/// Guards against a declaration that was taken back and is still followed.
#[test]
fn an_instance_whose_declaration_was_taken_back_is_waited_for() {
    let cluster = cluster::Cluster::of(cluster::world());
    let node = &cluster.node;
    node.set_declared_lost(["y".into()].into());
    let group = node.group(&"later".into());
    node.set_declared_lost([].into());
    assert!(node.declared_lost().is_empty());
    group.set_recorded(Some(recorded("later", &["x", "y"])));
    assert_eq!(ids(&group), ["x", "y"]);
}
