use tanager_core::RequestId;

use crate::status::explain::Question;
use crate::status::metrics::exporter;
use crate::telemetry::Counters;

/// Guards against a mistyped question being answered as if it were another one.
#[test]
fn malformed_questions_are_refused() {
    for query in [
        "",
        "flow",
        "flow=12",
        "request=zz",
        "last=0",
        "last=9999",
        "target=1",
    ] {
        assert!(Question::parse(query).is_err(), "{query} is accepted");
    }
}

/// Guards against a question for one request showing others.
#[test]
fn request_question_is_read() {
    let request = RequestId::random();

    let question = Question::parse(&format!("request={request}"));

    assert_eq!(question, Ok(Question::Request(request)));
}

/// Guards against counters that never reach the metrics page.
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
