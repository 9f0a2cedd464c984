use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use tanager_core::Revision;
use tokio::net::TcpListener;

use crate::catalogue::{Delta, DocumentKind, DocumentReply, DocumentRequest, Region, digest};
use crate::membership::gossip_tests::gossip;
use crate::peer::{Heartbeat, PeerHandler, RelayReply, Relayed, serve};

fn catalogue(revision: u64) -> String {
    let limits = "limits: { requests: 1/s, flows: 1 }";
    let owners = (0..20).map(|n| format!("- {{ name: owner-{n}, {limits} }}\n"));
    let owners: String = owners.collect();
    format!("revision: {revision}\nowners:\n{owners}entries: []\n")
}

fn list(revision: u64) -> String {
    let instance = |n: u64| {
        let address = format!("address: \"127.0.0.1:{}\"", 9_000 + n);
        format!("- {{ name: node-{n}, zone: a, region: addis, {address}, state: live }}\n")
    };
    let instances: String = (0..20).map(instance).collect();
    format!("revision: {revision}\ninstances:\n{instances}")
}

/// A peer that answers every request with the given delta, or with the full text if it has none or
/// the request names no base.
struct DocumentPeer {
    delta: Option<Delta>,
    full_text: String,
    requests: Mutex<Vec<DocumentRequest>>,
    full_replies: AtomicU64,
}

impl PeerHandler for DocumentPeer {
    fn exchange(&self, heartbeat: Heartbeat) -> Heartbeat {
        heartbeat
    }

    fn document(&self, request: &DocumentRequest) -> Option<DocumentReply> {
        self.requests.lock().expect("not poisoned").push(*request);
        if let (Some(delta), Some(_)) = (&self.delta, request.base) {
            return Some(DocumentReply::Changed(delta.clone()));
        }
        self.full_replies.fetch_add(1, Ordering::Relaxed);
        Some(DocumentReply::Whole(self.full_text.clone()))
    }

    fn relay(&self, _: Relayed) -> RelayReply {
        RelayReply::Taken
    }
}

async fn start_document_peer(
    delta: Option<Delta>,
    full_text: String,
) -> (Arc<DocumentPeer>, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
    let address = listener.local_addr().expect("address");
    let document_peer = Arc::new(DocumentPeer {
        delta,
        full_text,
        requests: Mutex::default(),
        full_replies: AtomicU64::new(0),
    });
    let handler = Arc::clone(&document_peer) as Arc<dyn PeerHandler>;
    tokio::spawn(serve(listener, handler));
    (document_peer, address)
}

/// Guards against transferring the full text of a change when its delta is enough.
#[tokio::test]
async fn newer_documents_are_pulled_as_deltas() {
    let gossip = gossip(&[]);
    gossip.catalogue.offer(&catalogue(1)).expect("first");
    gossip.membership.offer_list(&list(1)).expect("first");
    let delta = Delta::between(&catalogue(1), &catalogue(2));
    let (first, catalogue_peer) = start_document_peer(delta, catalogue(2)).await;
    let (second, list_peer) =
        start_document_peer(Delta::between(&list(1), &list(2)), list(2)).await;

    let (newer, catalogue_kind) = (Revision::new(2), DocumentKind::Catalogue);
    gossip.pull(catalogue_kind, newer, catalogue_peer).await;
    gossip.pull(DocumentKind::Instances, newer, list_peer).await;

    assert_eq!(gossip.catalogue.current().revision, newer);
    assert_eq!(gossip.membership.list().revision, newer);
    for document_peer in [first, second] {
        assert_eq!(document_peer.full_replies.load(Ordering::Relaxed), 0);
    }
}

/// Guards against a malicious or corrupt delta that blocks a change or leads to a different text.
#[tokio::test]
async fn full_text_is_fetched_when_a_delta_does_not_fit() {
    let region = |start, end| Region {
        start,
        end,
        text: "revision: 9\n".to_owned(),
    };
    for regions in [
        vec![region(0, 12)],
        vec![region(40, 2)],
        vec![region(5, u32::MAX)],
        vec![region(9, 12), region(0, 3)],
        Vec::new(),
    ] {
        let gossip = gossip(&[]);
        gossip.catalogue.offer(&catalogue(1)).expect("first");
        let digest = digest(&catalogue(2));
        let (document_peer, peer) =
            start_document_peer(Some(Delta { regions, digest }), catalogue(2)).await;

        let newer = Revision::new(2);
        gossip.pull(DocumentKind::Catalogue, newer, peer).await;

        assert_eq!(*gossip.catalogue.current().text, catalogue(2));
        assert_eq!(gossip.counters.deltas_refused.get(), 1);
        let requests = document_peer.requests.lock().expect("not poisoned");
        let bases: Vec<_> = requests.iter().map(|c| c.base.is_some()).collect();
        assert_eq!(bases, [true, false]);
    }
}

/// Guards against a rebuilt text that comes into force unchecked.
#[tokio::test]
async fn rebuilt_text_is_checked_like_any_other() {
    let gossip = gossip(&[]);
    gossip.catalogue.offer(&catalogue(3)).expect("first");
    let invalid = catalogue(4).replace("1/s", "many");
    let older = catalogue(2);
    for text in [invalid, older] {
        let (_, peer) = start_document_peer(Delta::between(&catalogue(3), &text), text).await;

        let announced = Revision::new(4);
        gossip.pull(DocumentKind::Catalogue, announced, peer).await;

        assert_eq!(*gossip.catalogue.current().text, catalogue(3));
    }
}

/// Guards against a delta sent to an instance that starts without a catalogue to apply it to.
#[tokio::test]
async fn instance_without_a_catalogue_gets_the_full_text() {
    let gossip = gossip(&[]);
    let delta = Delta::between(&catalogue(1), &catalogue(2));
    let (_, peer) = start_document_peer(delta, catalogue(2)).await;

    let newer = Revision::new(2);
    gossip.pull(DocumentKind::Catalogue, newer, peer).await;

    assert_eq!(gossip.catalogue.current().revision, newer);
}

/// Guards against a change that waits for the next announcement because one peer failed.
#[tokio::test]
async fn another_peer_is_called_when_one_does_not_answer() {
    let gossip = gossip(&[]);
    let (_, peer) = start_document_peer(None, catalogue(2)).await;
    let dead = SocketAddr::from(([127, 0, 0, 1], 1));

    let newer = Revision::new(2);
    for peer in [peer, dead] {
        gossip.pull_if_newer(DocumentKind::Catalogue, newer, peer);
    }
    for _ in 0..500 {
        if gossip.catalogue.current().revision == newer {
            return;
        }
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    panic!("the change was not pulled");
}

/// Guards against transferring the full list for each replaced instance: 1,500 are replaced a day.
#[test]
fn replaced_instance_costs_little_at_the_design_size() {
    let list = |revision: u64, numbers: std::ops::Range<u64>| {
        let instance = |n: u64| {
            let (region, zone) = (["addis", "khomas"][usize::from(n % 2 == 1)], n % 6);
            let address = format!("10.{}.{}.{}:7001", zone, n / 250, n % 250);
            format!(
                "- {{ name: {region}-{zone}-{n:05}, zone: {region}-{zone}, region: {region}, \
                 address: \"{address}\", state: live }}\n"
            )
        };
        let instances: String = numbers.map(instance).collect();
        format!("revision: {revision}\ninstances:\n{instances}")
    };
    let (base, new) = (list(14_999, 1..671), list(15_000, 2..672));

    let delta = Delta::between(&base, &new).expect("small change");

    let bytes: usize = delta.regions.iter().map(|r| r.text.len() + 16).sum();
    println!("{bytes} bytes in place of {}", base.len());
    assert_eq!(delta.apply(&base), Some(new));
    assert!(bytes < 400, "{bytes} bytes");
}
