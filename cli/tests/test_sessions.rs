//! Golden files of operators' sessions: the tool, the nodes' interface and the
//! configuration's keeper over a stand-in of the key-value service.

mod common;

use std::sync::Arc;
use std::time::Duration;

use chivevalve::adapter::Adapter;
use chivevalve::ports::weights::path;
use chivevalve_standins::store::{Knobs, Store};
use chivevalve_standins::weights::{self, Weights};
use common::{READ, Session, Site, WRITE, golden, in_force, silent, start};

const ACCOUNTS: &str = "accounts:
- name: bakery
  key_digests: [ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad]
- name: mill
  key_digests: [cb8379ac2098aa165029e3938a51da0bcecfc008fd6795f401178647f96c5b34]
  weight: 3
";
const POOLS: &str = "pools:
- name: engines
  kind: engine
  base_model: base
  slots: 4
  batch: 16
  checks_fencing: true
- name: tills
  kind: service
  batch: 8
";
const TEMPLATES: &str = "templates:
- account: bakery
  name: summary
  pool: engines
  adapter: bakery-sales
  version: 7
  class: bulk
  idempotent: true
- account: bakery
  name: push
  pool: tills
  class: normal
- account: mill
  name: faults
  pool: engines
  adapter: mill-faults
  version: 4
  class: urgent
  weight: 5
  idempotent: true
";

fn declare(session: &Session, templates: &str) {
    session.write("declarations/accounts.yaml", ACCOUNTS);
    session.write("declarations/pools.yaml", POOLS);
    session.write("declarations/templates.yaml", templates);
}

struct Scene {
    store: Arc<Store>,
    weights: Arc<Weights>,
    sites: Vec<Site>,
}

async fn scene(nodes: usize) -> Scene {
    let store = Store::start();
    let weights = Arc::new(Weights::new(Duration::ZERO));
    let mut sites = Vec::new();
    for number in 1..=nodes {
        sites.push(start(&format!("entry-{number}"), &store, &weights).await);
    }
    Scene {
        store,
        weights,
        sites,
    }
}

impl Scene {
    fn session(&self, name: &str, token: &str) -> Session {
        let nodes: Vec<_> = self.sites.iter().map(|site| site.address).collect();
        Session::new(name).at(&nodes, token)
    }

    /// Applies the first declarations and waits until they are in force.
    async fn apply_first(&self, session: &mut Session) {
        let apply = "apply declarations --reason 'first templates'";
        assert_eq!(session.run(apply).await, 0);
        in_force(&self.sites[0], 1).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn plan_apply_history_rollback() {
    let scene = scene(1).await;
    let mut session = scene.session("plan_apply", WRITE);
    declare(&session, TEMPLATES);
    assert_eq!(session.run("plan declarations --exit-code").await, 1);
    scene.apply_first(&mut session).await;
    assert_eq!(session.run("plan declarations --exit-code").await, 0);
    session.note("version 8 of bakery-sales isn't in the weight store yet");
    let adapter = Adapter {
        base_model: "base".into(),
        name: "bakery-sales".into(),
        version: "8".into(),
    };
    scene.weights.set(weights::Knobs {
        missing: [path(&adapter)].into(),
        ..weights::Knobs::default()
    });
    declare(
        &session,
        &TEMPLATES
            .replace("version: 7", "version: 8")
            .replace("class: normal", "class: urgent"),
    );
    assert_eq!(session.run("plan declarations").await, 0);
    assert_eq!(
        session
            .run("apply declarations --reason 'bakery: new weights'")
            .await,
        0
    );
    in_force(&scene.sites[0], 2).await;
    assert_eq!(session.run("get").await, 0);
    assert_eq!(session.run("get templates bakery/summary").await, 0);
    assert_eq!(session.run("get templates bakery/nothing").await, 7);
    assert_eq!(session.run("history").await, 0);
    assert_eq!(
        session
            .run("rollback 1 --reason 'the new weights are missing'")
            .await,
        0
    );
    in_force(&scene.sites[0], 3).await;
    assert_eq!(session.run("history --limit 1 --format json").await, 0);
    session.note("a pipeline names a directory that holds next to nothing");
    session.write(
        "half/pools.yaml",
        "pools:\n- {name: tills, kind: service, batch: 8}\n",
    );
    assert_eq!(session.run("apply half --reason 'by mistake'").await, 7);
    assert_eq!(
        session.run("rollback 77 --reason 'no such revision'").await,
        4
    );
    assert_eq!(session.run("export --out exported").await, 0);
    assert_eq!(session.run("plan exported --exit-code").await, 0);
    assert_eq!(session.run("export").await, 0);
    golden!("plan_apply_history_rollback", session.done());
}

/// A change planned on a revision that was replaced meanwhile is refused, not put over it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn apply_lost_race() {
    let scene = scene(2).await;
    let mut session = scene.session("lost_race", WRITE);
    declare(&session, TEMPLATES);
    scene.apply_first(&mut session).await;
    session.note("a colleague changes a weight");
    declare(&session, &TEMPLATES.replace("weight: 5", "weight: 9"));
    assert_eq!(
        session
            .run("apply declarations --reason 'mill pays for more' --expect 1")
            .await,
        0
    );
    session.note("the own change was planned on revision 1 as well");
    declare(&session, &TEMPLATES.replace("class: bulk", "class: normal"));
    let code = session
        .run("apply declarations --reason 'bakery in a hurry' --expect 1")
        .await;
    assert_eq!(code, 5);
    in_force(&scene.sites[0], 2).await;
    assert_eq!(session.run("get templates mill/faults").await, 0);
    golden!("apply_lost_race", session.done());
}

/// A change whose answer was lost isn't made twice, nor reported as failed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn apply_lost_answer() {
    let scene = scene(1).await;
    let mut session = scene.session("lost_answer", WRITE);
    declare(&session, TEMPLATES);
    session.note("the service makes the next write and its answer is lost");
    scene.store.set(Knobs {
        lose_answers: 1,
        ..Knobs::default()
    });
    let apply = "apply declarations --reason 'first templates' --change-id 0a --expect 0";
    assert_eq!(session.run(apply).await, 0);
    session.note("the operator isn't sure and gives the command again");
    assert_eq!(session.run(apply).await, 0);
    assert_eq!(session.run("history").await, 0);
    golden!("apply_lost_answer", session.done());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn status_during_outage() {
    let scene = scene(1).await;
    let mut session = scene.session("outage", WRITE);
    declare(&session, TEMPLATES);
    scene.apply_first(&mut session).await;
    assert_eq!(session.run("status").await, 0);
    session.note("the key-value service goes down");
    scene.store.set(Knobs {
        down: true,
        ..Knobs::default()
    });
    assert_eq!(session.run("status").await, 0);
    assert_eq!(session.run("plan declarations").await, 0);
    assert_eq!(session.run("apply declarations --reason 'more'").await, 4);
    assert_eq!(session.run("history").await, 4);
    assert_eq!(session.run("explain mill faults").await, 0);
    session.note("the service is back");
    scene.store.set(Knobs::default());
    declare(&session, &TEMPLATES.replace("weight: 5", "weight: 9"));
    assert_eq!(
        session
            .run("apply declarations --reason 'after the outage'")
            .await,
        0
    );
    golden!("status_during_outage", session.done());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn access_roles_and_tokens() {
    let scene = scene(1).await;
    let mut session = scene.session("access_read", READ);
    declare(&session, TEMPLATES);
    assert_eq!(session.run("plan declarations --exit-code").await, 1);
    assert_eq!(session.run("apply declarations --reason 'may I?'").await, 4);
    let mut stranger = scene.session("access_stranger", "a-token-that-nobody-knows");
    assert_eq!(stranger.run("status").await, 4);
    let record = session.done() + &stranger.done();
    assert!(!record.contains("token-0123") && !record.contains("a-token"));
    golden!("access_roles_and_tokens", record);
}

/// Where the first node can't be reached, the next one is asked.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nodes_next_one_answers() {
    let scene = scene(1).await;
    let dead = {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        listener.local_addr().unwrap()
    };
    let nodes = [dead, scene.sites[0].address];
    let mut session = Session::new("next_node").at(&nodes, WRITE);
    declare(&session, TEMPLATES);
    scene.apply_first(&mut session).await;
    assert_eq!(session.run("status --all").await, 0);
    let mut alone = Session::new("no_node").at(&[dead], WRITE);
    assert_eq!(alone.run("status").await, 3);
    golden!("nodes_next_one_answers", session.done() + &alone.done());
}

/// A change whose node died before its answer is reported as unknown, and can be settled by its id.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn apply_node_dies() {
    let scene = scene(1).await;
    let dies = silent().await;
    let mut session = Session::new("node_dies").at(&[dies], WRITE);
    declare(&session, TEMPLATES);
    session.note("a call that only looks can be sent again");
    assert_eq!(session.run("status").await, 3);
    session.note("a change may have been made");
    let apply = "apply declarations --reason 'first templates' --change-id 0a --expect 0";
    assert_eq!(session.run(apply).await, 6);
    session.note("with a second node it is settled at once, under the same id");
    let mut session = session.at(&[dies, scene.sites[0].address], WRITE);
    assert_eq!(session.run(apply).await, 0);
    assert_eq!(session.run(apply).await, 0);
    golden!("apply_node_dies", session.done());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drain_upstream_then_node() {
    let scene = scene(1).await;
    let mut session = scene.session("drain", WRITE);
    declare(&session, TEMPLATES);
    scene.apply_first(&mut session).await;
    assert_eq!(session.run("drain upstream engine-1").await, 0);
    let unknown = session.run("drain upstream engine-9").await;
    assert_ne!(unknown, 0, "an upstream that nobody has can't be drained");
    assert_ne!(session.run("drain rack r1").await, 0);
    assert_eq!(session.run("drain node entry-1").await, 0);
    session.note("the balancer and the operators see it");
    assert_eq!(session.run("status").await, 0);
    golden!("drain_upstream_then_node", session.done());
}
