//! The sequences of conditions and load on which ways to limit statements are compared.

/// Bulk load of 15 ms a statement, above the capacity of 267 a second.
fn heavy(_: f64) -> [(f64, f64); 2] {
    [(280.0, 15.0), (20.0, 26.0)]
}

fn sound(_: usize, _: f64) -> super::Condition {
    super::SOUND
}

pub const CONSTANT: super::Sequence = super::Sequence {
    name: "constant, two nodes",
    nodes: 2,
    instances: 1,
    seconds: 20.0,
    bulk: heavy,
    condition: sound,
    restart: None,
    nodes_restart: None,
    counted: (4.0, 20.0),
};

fn slow_for_a_while(_: usize, seconds: f64) -> super::Condition {
    let slow = (8.0..16.0).contains(&seconds);
    super::Condition {
        slowness: if slow { 3.0 } else { 1.0 },
        ..super::SOUND
    }
}

fn moderately(_: usize, seconds: f64) -> super::Condition {
    let slow = (8.0..16.0).contains(&seconds);
    super::Condition {
        slowness: if slow { 1.7 } else { 1.0 },
        ..super::SOUND
    }
}

fn slow_with_load(_: usize, seconds: f64) -> super::Condition {
    let slow = (8.0..16.0).contains(&seconds);
    super::Condition {
        contention: if slow { 1.0 } else { 0.0 },
        ..super::SOUND
    }
}

fn loses(_: usize, seconds: f64) -> super::Condition {
    super::Condition {
        loses: (8.0..11.0).contains(&seconds),
        ..super::SOUND
    }
}

fn one_slow(instance: usize, _: f64) -> super::Condition {
    super::Condition {
        slowness: if instance == 0 { 3.0 } else { 1.0 },
        ..super::SOUND
    }
}

fn heavier(seconds: f64) -> [(f64, f64); 2] {
    if seconds > 8.0 {
        [(40.0, 15.0), (150.0, 26.0)]
    } else {
        heavy(seconds)
    }
}

pub const FIVE_NODES: super::Sequence = super::Sequence {
    name: "constant, five nodes",
    nodes: 5,
    ..CONSTANT
};

pub const SLOWER: super::Sequence = super::Sequence {
    name: "three times slower, 8 to 16 s",
    condition: slow_for_a_while,
    counted: (8.0, 16.0),
    ..CONSTANT
};

pub const SLOW_WITH_LOAD: super::Sequence = super::Sequence {
    name: "slow with load, 8 to 16 s",
    condition: slow_with_load,
    counted: (8.0, 16.0),
    ..CONSTANT
};

pub const FEW: super::Sequence = super::Sequence {
    name: "four a second, slower",
    bulk: |_| [(4.0, 15.0), (0.0, 26.0)],
    condition: slow_for_a_while,
    ..CONSTANT
};

pub const ALL: [super::Sequence; 12] = [
    CONSTANT,
    super::Sequence {
        name: "statements 1.7 times as heavy",
        condition: moderately,
        counted: (8.0, 16.0),
        ..CONSTANT
    },
    super::Sequence {
        name: "constant, one node",
        nodes: 1,
        ..CONSTANT
    },
    FIVE_NODES,
    SLOWER,
    super::Sequence {
        name: "back from three times slower, 16 to 20 s",
        condition: slow_for_a_while,
        counted: (16.0, 20.0),
        ..CONSTANT
    },
    SLOW_WITH_LOAD,
    super::Sequence {
        name: "back from slow with load, 16 to 20 s",
        condition: slow_with_load,
        counted: (16.0, 20.0),
        ..CONSTANT
    },
    super::Sequence {
        name: "heavier mix from 8 s on",
        bulk: heavier,
        counted: (8.0, 20.0),
        ..CONSTANT
    },
    FEW,
    super::Sequence {
        name: "answers lost from 8 to 11 s",
        condition: loses,
        counted: (8.0, 20.0),
        ..CONSTANT
    },
    super::Sequence {
        name: "restart at 8 s, counted to 12 s",
        restart: Some(8.0),
        counted: (8.0, 12.0),
        ..CONSTANT
    },
];

pub const GROUP: super::Sequence = super::Sequence {
    name: "three instances, one three times slower",
    instances: 3,
    bulk: |_| [(500.0, 15.0), (35.0, 26.0)],
    condition: one_slow,
    ..CONSTANT
};

/// A third of the capacity of three instances, and 2.4 times that from 30 to 34 s.
fn light(seconds: f64) -> [(f64, f64); 2] {
    let burst = (30.0..34.0).contains(&seconds);
    let factor = if burst { 2.4 } else { 1.0 };
    [(200.0 * factor, 15.0), (20.0 * factor, 26.0)]
}

fn one_slow_twice(instance: usize, seconds: f64) -> super::Condition {
    let slowness = match seconds {
        6.0..14.0 => 3.0,
        20.0..26.5 => 7.5,
        _ => 1.0,
    };
    super::Condition {
        slowness: if instance == 0 { slowness } else { 1.0 },
        ..super::SOUND
    }
}

/// A group of three instances on a day where they are used to a third.
pub const LIGHT: super::Sequence = super::Sequence {
    name: "used to a third",
    nodes: 2,
    instances: 3,
    seconds: 42.0,
    bulk: light,
    condition: one_slow_twice,
    restart: None,
    nodes_restart: Some(38.0),
    counted: (0.0, 42.0),
};
