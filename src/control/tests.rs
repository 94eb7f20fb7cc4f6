use super::*;

fn reply(frames: Vec<frame::Frame>) -> reply::Reply {
    reply::Reply {
        frames,
        transaction: crate::transaction::State::Idle,
        stamp: None,
        error: None,
    }
}

fn answer(cells: [(&str, &str); 6]) -> reply::Reply {
    let fields = cells
        .iter()
        .map(|(name, _)| data::FieldDescription::new((*name).to_owned(), 0, 0, 25, -1, -1, 0));
    let mut row = data::DataRow::default();
    for (_, cell) in cells {
        let length = i32::try_from(cell.len()).unwrap();
        row.data.extend_from_slice(&length.to_be_bytes());
        row.data.extend_from_slice(cell.as_bytes());
        row.field_count += 1;
    }
    reply(vec![
        frame::Frame::encode(&data::RowDescription::new(fields.collect())),
        frame::Frame::encode(&row),
    ])
}

#[test]
fn reads_columns_by_name_in_any_order() {
    let cells = [
        ("role", "primary"),
        ("voter", "false"),
        ("fence", "5"),
        ("position", "12"),
        ("term", "3"),
        ("incarnation", "9"),
    ];
    let expected = status::Status {
        stamp: stamp::Stamp::new(3, 12),
        fence: 5,
        role: role::Role::Primary,
        voter: false,
        incarnation: 9,
    };
    assert_eq!(parse_status(&answer(cells)), Ok(expected));
}

#[test]
fn an_incomplete_row_is_not_a_status() {
    let cells = [
        ("role", "primary"),
        ("voter", "true"),
        ("fence", "5"),
        ("position", "12"),
        ("term", "3"),
        ("rank", "9"),
    ];
    let unknown = |reply| matches!(parse_status(&reply), Err(upstream::Failure::Unknown(_)));
    assert!(unknown(answer(cells)));
    assert!(unknown(reply(Vec::new())));
}

#[test]
fn an_sql_error_is_reported_as_not_run() {
    let fields = vec![(b'C', "55000".to_owned()), (b'M', "no fence".to_owned())];
    let error = frame::Frame::encode(&response::ErrorResponse::new(fields));
    let expected = upstream::Failure::NotRun("55000 no fence".into());
    assert_eq!(parse_status(&reply(vec![error])), Err(expected));
}
