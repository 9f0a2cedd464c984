//! The bytes of packets, from which a held packet is recovered when it is released.

use tanager_forward::{Cookie, FlowKey, Segment, SegmentKind};

/// Bytes of the headers, as large as those of a real packet.
const HEADER_LENGTH: usize = 60;

/// Returns the bytes of a packet. Its data is not modelled.
pub fn encode(segment: &Segment) -> Vec<u8> {
    let (kind, retransmission) = match segment.kind {
        SegmentKind::Open { retransmission } => (0, retransmission),
        SegmentKind::Data => (1, 0),
        SegmentKind::Finish => (2, 0),
        SegmentKind::Abort => (3, 0),
        SegmentKind::Forged => (4, 0),
    };
    let length = u32::from(segment.length);
    let cookie = segment.cookie.get();
    let (sent, received) = (segment.sequence, segment.acknowledged);
    let fields = [kind, retransmission, cookie, sent, received, length];
    let mut packet: Vec<_> = fields.iter().flat_map(|f| f.to_be_bytes()).collect();
    packet.resize(HEADER_LENGTH + usize::from(segment.length), 0);
    packet
}

/// Returns the packet of a flow with these bytes; `None` if there are none.
pub fn decode(flow: FlowKey, packet: &[u8]) -> Option<Segment> {
    let mut fields = packet.as_chunks().0.iter().map(|c| u32::from_be_bytes(*c));
    let (kind, retransmission) = (fields.next()?, fields.next()?);
    Some(Segment {
        flow,
        kind: match kind {
            0 => SegmentKind::Open { retransmission },
            1 => SegmentKind::Data,
            2 => SegmentKind::Finish,
            3 => SegmentKind::Abort,
            _ => SegmentKind::Forged,
        },
        cookie: Cookie::new(fields.next()?),
        sequence: fields.next()?,
        acknowledged: fields.next()?,
        length: u16::try_from(fields.next()?).ok()?,
    })
}
