use tanager_core::RequestId;

use crate::status::explain::ExplainQuery;
use crate::status::metrics::exporter;
use crate::telemetry::Counters;

/// Guards against answering a mistyped query as if it were a different one.
#[test]
fn malformed_queries_are_refused() {
    for query in [
        "",
        "flow",
        "flow=12",
        "request=zz",
        "last=0",
        "last=9999",
        "target=1",
    ] {
        assert!(ExplainQuery::parse(query).is_err(), "{query} is accepted");
    }
}

/// Guards against a query for one request that returns the decisions about others.
#[test]
fn request_query_is_parsed() {
    let request = RequestId::random();

    let query = ExplainQuery::parse(&format!("request={request}"));

    assert_eq!(query, Ok(ExplainQuery::Request(request)));
}

/// Guards against counters that are missing from the metrics page.
#[test]
fn every_counter_is_exported() {
    let counters = std::sync::Arc::new(Counters::default());
    counters.flows_opened.add(7);
    let metrics = exporter(
        &counters,
        [("revision", "Revision.", Box::new(|| 5.0) as Box<_>)],
    );

    let text = metrics.expect("metrics").text().expect("text");

    for (name, _, _) in Counters::ALL {
        assert!(
            text.contains(&format!("tanager_{name}_total")),
            "{name} is missing"
        );
    }
    assert!(text.contains("tanager_flows_opened_total 7"), "{text}");
    assert!(text.contains("tanager_revision 5"), "{text}");
}
