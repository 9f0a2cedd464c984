//! Full reads of the store: targets and routes are read concurrently on two connections.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use tanager_core::{Clock, Incarnation};
use tanager_forward::{
    Beacon, Change, Epoch, EvacuationChange, Kind, LoadPart, Role, Route, RouteTable, ServiceShare,
    StoreRevision, Target, TargetNumber, TargetState,
};
use tanagerproxy::settings::ForwarderSettings;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

use crate::instance::Instance;
use crate::reader::Reader;
use crate::report::Reporter;
use crate::source::{Page, Publication, PublicationBatch, Source};
use crate::{Error, Result};

const SETTINGS: &str = "\
instance: {name: e-1, zone: a, capacity: \"0.5\"}
listen:
  clients: 127.0.0.1:8172
  ready: 127.0.0.1:8167
  views: 127.0.0.1:8166
  beacons: 127.0.0.1:7720
  metrics: 127.0.0.1:9464
zones: [a]
store: 127.0.0.1:8169
log: {output: stdout, format: json, level: error}
";
/// The epoch of the scripted store.
const EPOCH: Epoch = Epoch::new(1);
/// Time that the scripted store takes for a page of targets.
const PAGE_TIME: Duration = Duration::from_millis(20);

/// The store's answers, in order.
#[derive(Default)]
struct Script {
    pages: VecDeque<Result<Page>>,
    routes: VecDeque<Result<PublicationBatch>>,
}

thread_local! {
    static SCRIPT: RefCell<Script> = RefCell::default();
}

/// A store with scripted answers.
struct ScriptedStore(SocketAddrV4);

impl Source for ScriptedStore {
    fn connect(address: SocketAddrV4) -> Self {
        Self(address)
    }

    fn address(&self) -> SocketAddrV4 {
        self.0
    }

    async fn read_page(&mut self) -> Result<Page> {
        sleep(PAGE_TIME).await;
        let page = SCRIPT.with_borrow_mut(|s| s.pages.pop_front());
        page.expect("a scripted page")
    }

    async fn read_routes(&mut self) -> Result<PublicationBatch> {
        let routes = SCRIPT.with_borrow_mut(|s| s.routes.pop_front());
        routes.expect("scripted routes")
    }

    fn rewind(&mut self) {}

    async fn watch(&mut self, _after: StoreRevision, _wait: Duration) -> Result<PublicationBatch> {
        Err(Error::answer("no watch is scripted"))
    }

    fn take_calls(&mut self) -> u64 {
        0
    }
}

fn instance() -> Rc<Instance> {
    let settings = ForwarderSettings::read(SETTINGS).expect("valid settings");
    let clock = Clock::start();
    let reporter = Reporter::try_new(&settings.log, clock).expect("a reporter");
    Instance::new(settings, clock, reporter)
}

fn revision_at(number: u64) -> StoreRevision {
    StoreRevision::new(EPOCH, number)
}

fn page(number: u64, revision: u64, more: bool) -> Page {
    let target = Target {
        number: TargetNumber::new(number),
        service: "feeds".parse().expect("a name"),
        address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 9_000),
        zone: "a".parse().expect("a name"),
        slots: 2,
        state: TargetState::Ready,
        warmup: Duration::ZERO,
        incarnation: Incarnation::new(1),
        sequence: 1,
    };
    let change = Change::published(target, revision_at(revision));
    Page {
        batch: PublicationBatch {
            items: vec![Publication::Target(change)],
            revision: revision_at(revision),
        },
        more,
    }
}

fn routes(revision: u64) -> PublicationBatch {
    let route = Route {
        name: "r".to_owned(),
        address: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443),
        kind: Kind::Idempotent,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(150),
        priority: 1,
        services: vec![ServiceShare {
            service: "feeds".parse().expect("a name"),
            weight: 1,
        }],
    };
    let table = RouteTable::new(
        3,
        revision_at(revision),
        Duration::from_secs(15),
        vec![route],
    );
    PublicationBatch {
        items: vec![Publication::Routes {
            routes: table,
            skipped: Vec::new(),
            unread_services: Vec::new(),
        }],
        revision: revision_at(revision),
    }
}

fn evacuation(name: &str, revision: u64) -> EvacuationChange {
    EvacuationChange {
        zone: name.parse().expect("a name"),
        revision: revision_at(revision),
        ended: false,
    }
}

/// Moves a page to another epoch.
fn in_epoch(epoch: Epoch, mut page: Page) -> Page {
    page.batch.revision.epoch = epoch;
    for item in &mut page.batch.items {
        if let Publication::Target(change) = item {
            change.revision.epoch = epoch;
        }
    }
    page
}

/// Runs a test's body in a `LocalSet`, where it may use `spawn_local`.
fn run<F: Future<Output = ()>>(body: F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, body);
}

/// Guards against missing routes that were published between the two calls: the next watch
/// continues from the view's revision.
#[test]
fn view_revision_is_the_older_of_targets_and_routes() {
    run(async {
        let instance = instance();
        SCRIPT.with_borrow_mut(|s| {
            s.pages.push_back(Ok(page(1, 7, false)));
            s.routes.push_back(Ok(routes(5)));
        });

        Reader::<ScriptedStore>::new(Rc::clone(&instance))
            .read()
            .await
            .expect("a full read");

        let forwarder = instance.forwarder.borrow();
        assert_eq!(forwarder.view().revision(), revision_at(5));
        assert!(forwarder.view().is_usable());
    });
}

/// Guards against resetting new flows because their route is in force before its targets are in
/// the view.
#[test]
fn routes_are_applied_after_all_targets() {
    run(async {
        let instance = instance();
        SCRIPT.with_borrow_mut(|s| {
            s.pages.push_back(Ok(page(1, 7, true)));
            s.pages.push_back(Ok(page(2, 7, false)));
            s.routes.push_back(Ok(routes(7)));
        });
        let mut reader = Reader::<ScriptedStore>::new(Rc::clone(&instance));

        let full_read = spawn_local(async move { reader.read().await });
        sleep(PAGE_TIME + PAGE_TIME / 2).await;
        let early_routes = instance.forwarder.borrow().view().routes().len();
        let targets = instance.forwarder.borrow().gauges(instance.now()).targets;
        full_read.await.expect("a task").expect("a full read");

        assert_eq!((early_routes, targets), (0, 1));
        assert_eq!(instance.forwarder.borrow().view().routes().len(), 1);
    });
}

/// Guards against reading all targets again after only the call for the routes failed.
#[test]
fn only_the_failed_call_is_retried() {
    run(async {
        let instance = instance();
        SCRIPT.with_borrow_mut(|s| {
            s.pages.push_back(Ok(page(1, 7, false)));
            s.routes.push_back(Err(Error::answer("lost")));
            s.routes.push_back(Ok(routes(8)));
        });
        let mut reader = Reader::<ScriptedStore>::new(Rc::clone(&instance));

        let first = reader.read().await;
        let usable = instance.forwarder.borrow().view().is_usable();
        let second = reader.read().await;

        assert!(first.is_err() && !usable);
        assert!(second.is_ok(), "{second:?}");
        assert_eq!(
            instance.forwarder.borrow().view().revision(),
            revision_at(7)
        );
    });
}

/// Guards against a view put together from two histories: the store is restored between two pages.
#[test]
fn a_full_read_starts_again_when_the_epoch_changes() {
    run(async {
        let instance = instance();
        let later = Epoch::new(2);
        SCRIPT.with_borrow_mut(|s| {
            s.pages.push_back(Ok(page(1, 7, true)));
            s.pages.push_back(Ok(in_epoch(later, page(2, 5, false))));
            s.routes.push_back(Ok(routes(7)));
        });
        let mut reader = Reader::<ScriptedStore>::new(Rc::clone(&instance));

        let outcome = reader.read().await;

        assert!(
            matches!(outcome, Err(Error::HistoryReplaced { .. })),
            "{outcome:?}"
        );
        let revision = instance.forwarder.borrow().view().revision();
        assert_eq!(revision, StoreRevision::NONE);
    });
}

/// Guards against routes of one history beside targets of another.
#[test]
fn routes_of_another_epoch_are_read_again() {
    run(async {
        let instance = instance();
        SCRIPT.with_borrow_mut(|s| {
            s.pages
                .push_back(Ok(in_epoch(Epoch::new(2), page(1, 5, false))));
            s.routes.push_back(Ok(routes(7)));
        });
        let mut reader = Reader::<ScriptedStore>::new(Rc::clone(&instance));

        let outcome = reader.read().await;

        assert!(outcome.is_err(), "{outcome:?}");
        assert!(!instance.forwarder.borrow().view().is_usable());
    });
}

/// Guards against evacuations that a full read misses, or that outlast their removal because the
/// store no longer has the change. That of a zone that the settings do not name is followed as well.
#[test]
fn a_full_read_begins_and_ends_evacuations() {
    run(async {
        let instance = instance();
        let now = instance.now();
        let former = evacuation("former", 5);
        instance
            .forwarder
            .borrow_mut()
            .apply_evacuation(former, now);
        SCRIPT.with_borrow_mut(|s| {
            let mut listed = routes(7);
            for zone in ["a", "unknown"] {
                let change = evacuation(zone, 6);
                listed.items.push(Publication::Evacuation(change));
            }
            s.pages.push_back(Ok(page(1, 7, false)));
            s.routes.push_back(Ok(listed));
        });

        Reader::<ScriptedStore>::new(Rc::clone(&instance))
            .read()
            .await
            .expect("a full read");

        let forwarder = instance.forwarder.borrow();
        let zones = forwarder.view().evacuations().map(|e| e.zone.to_string());
        let mut zones: Vec<_> = zones.collect();
        zones.sort_unstable();
        assert_eq!(zones, ["a", "unknown"]);
    });
}

/// Returns an instance without peers whose view was known to be complete this long ago.
fn instance_verified(age: Duration) -> Rc<Instance> {
    let instance = instance();
    let at = instance.now() - age;
    let mut forwarder = instance.forwarder.borrow_mut();
    forwarder.advance(revision_at(7));
    forwarder.record_verified(at);
    drop(forwarder);
    instance
}

/// Guards against an instance that has just become its zone's reader and waits for its own first call,
/// while hubs of other zones have a newer view (review/5). What it knows of the store is old.
#[test]
fn a_reader_with_an_old_view_does_not_rely_on_the_store() {
    let recent = instance_verified(Duration::from_millis(1_200));
    let old = instance_verified(Duration::from_millis(1_600));

    assert_eq!([recent.role(), old.role()], [Role::Hub, Role::Hub]);
    assert!(recent.follows_store());
    assert!(!old.follows_store());
}

/// Guards against an instance that hardly starts in a fleet of an older build, whose views it cannot
/// decode: it waited for them after each page.
#[test]
fn a_full_read_does_not_wait_for_views_that_cannot_be_decoded() {
    run(async {
        let instance = instance();
        let now = instance.now();
        let higher = Beacon {
            from: SocketAddrV4::new(Ipv4Addr::new(127, 0, 0, 2), 7_720),
            incarnation: Incarnation::new(1),
            zone: 0,
            capacity: 4_000,
            leaving: false,
            store_reachable: true,
            hub: true,
            revision: 7,
            age_ms: 0,
            members: Vec::new(),
            loads: Vec::new(),
            epoch: EPOCH,
            routes: 1,
            load_part: LoadPart {
                round: 1,
                index: 0,
                parts: 1,
                rounds: 1,
            },
            position: None,
        };
        instance.membership.borrow_mut().apply_beacon(&higher, now);
        instance.view_unreadable.set(true);
        SCRIPT.with_borrow_mut(|s| {
            let pages = (1..=12).map(|n| Ok(page(n, 7, n < 12)));
            s.pages.extend(pages);
            s.routes.push_back(Ok(routes(7)));
        });

        Reader::<ScriptedStore>::new(Rc::clone(&instance))
            .read()
            .await
            .expect("a full read");

        assert!(instance.membership.borrow().is_outranked(instance.now()));
        let elapsed = instance.now().since(now);
        assert!(elapsed < Duration::from_secs(1), "took {elapsed:?}");
    });
}
