use crate::ResultCode;

const TABLE: &str = include_str!("../../../docs/errors.md");

fn rows() -> Vec<Vec<&'static str>> {
    let cells = |line: &'static str| line.split('|').map(str::trim).collect::<Vec<_>>();
    TABLE
        .lines()
        .filter(|l| l.starts_with("| TP"))
        .map(cells)
        .collect()
}

/// Guards against codes that operators cannot look up, and rows for codes that do not exist.
#[test]
fn table_of_result_codes_matches_the_source() {
    let rows = rows();

    assert_eq!(rows.len(), ResultCode::ALL.len());
    for (row, code) in rows.iter().zip(ResultCode::ALL) {
        assert_eq!(row[1], format!("TP{}", code.number()));
        assert_eq!(row[2], code.name());
        assert_eq!(row[3], code.description().trim());
        assert!(
            !row[4].is_empty(),
            "the row of {code} does not say what to do"
        );
    }
}
