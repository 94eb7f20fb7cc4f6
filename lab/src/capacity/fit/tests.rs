use super::*;

#[test]
fn a_point_off_the_line_is_the_residual() {
    let line = Line::through(&[(0.0, 0.0), (1.0, 3.0), (2.0, 0.0)]);
    assert!(line.slope.abs() < 1e-9);
    assert!((line.intercept - 1.0).abs() < 1e-9);
    assert!((line.residual - 2.0).abs() < 1e-9);
}

#[test]
fn one_size_gives_a_level_line() {
    let line = Line::through(&[(5.0, 1.0), (5.0, 3.0)]);
    assert!(line.slope.abs() < 1e-9);
    assert!((line.intercept - 2.0).abs() < 1e-9);
}
