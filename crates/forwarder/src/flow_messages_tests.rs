use std::net::SocketAddrV4;

use tanager_forward::{Beacon, FlowDatagram, FlowKey, FlowMessage, TargetNumber};

use crate::flow_messages::{decode, is_flow_datagram};

fn address(text: &str) -> SocketAddrV4 {
    text.parse().expect("an address")
}

fn datagram() -> FlowDatagram {
    FlowDatagram {
        reply_to: address("10.1.0.10:7720"),
        relay: true,
        message: FlowMessage::Binding {
            flow: FlowKey {
                client: address("100.64.0.7:40001"),
                service: address("198.18.0.1:443"),
            },
            target: TargetNumber::new(u64::MAX),
            confirmed: true,
        },
    }
}

fn encoded() -> Vec<u8> {
    postcard::to_extend(&datagram(), vec![0xff; 8]).expect("a datagram")
}

/// Guards against instances of former builds that take a message about a flow for a beacon, and
/// learn of an instance that does not exist.
#[test]
fn a_message_is_no_beacon() {
    let bytes = encoded();

    assert!(is_flow_datagram(&bytes));
    assert!(postcard::from_bytes::<Beacon>(&bytes).is_err());
}

/// Guards against messages that end early and bind a flow to another target.
#[test]
fn only_whole_messages_are_decoded() {
    let bytes = encoded();

    assert_eq!(decode(&bytes), Some(datagram()));
    for length in 0..bytes.len() {
        assert_eq!(decode(&bytes[..length]), None, "{length} bytes");
    }
}
