//! Golden files of `check` and of the help pages, which ask no node.

mod common;

use common::{Session, golden};

const MISTAKES: [(&str, &str); 4] = [
    (
        "accounts.yaml",
        "accounts:
- name: bakery
  key_digests: [abc]
  wieght: 3
- name: bakery
- name: 'two words'
",
    ),
    (
        "pools.yaml",
        "pools:
- name: engines
  kind: engin
  base_model: base
  slots: 4
  batch: 16
- name: tills
  kind: service
  slots: 2
  batch: none
",
    ),
    (
        "templates/bakery.yaml",
        "templates:
- account: bakery
  name: summary
  pool: engine
  adapter: bakery-sales
  version: 7
  class: urgentt
- account: baker
  name: push
  pool: tills
  adapter: bakery-sales
  version: 7
- account: bakery
  name: plan
  pool: engines
  idempotent: perhaps
  deadline_ms: 99999999999
",
    ),
    ("templates/broken.yaml", "templates:\n- account: [bakery\n"),
];

#[tokio::test]
async fn check_ten_kinds_of_mistakes() {
    let mut session = Session::new("check_mistakes");
    for (name, text) in MISTAKES {
        session.write(&format!("declarations/{name}"), text);
    }
    assert_eq!(session.run("check declarations").await, 1);
    golden!("check_ten_kinds_of_mistakes", session.done());
}

#[tokio::test]
async fn check_json_and_wrong_directory() {
    let mut session = Session::new("check_json");
    session.write(
        "declarations/pools.yaml",
        "pools:\n- name: tills\n  kind: service\n",
    );
    session.write("empty/readme.txt", "");
    assert_eq!(session.run("check declarations --format json").await, 1);
    assert_eq!(session.run("check empty").await, 1);
    assert_eq!(session.run("check nowhere").await, 1);
    golden!("check_json_and_wrong_directory", session.done());
}

#[tokio::test]
async fn help_every_page() {
    let mut session = Session::new("help");
    session.run("--help").await;
    session.run("--version").await;
    for command in [
        "check",
        "plan",
        "apply",
        "get",
        "history",
        "rollback",
        "export",
        "status",
        "explain",
        "quarantine",
        "drain",
        "digest",
    ] {
        assert_eq!(session.run(&format!("{command} --help")).await, 0);
    }
    golden!("help_every_page", session.done());
}

#[tokio::test]
async fn usage_mistakes() {
    let mut session = Session::new("usage");
    for line in [
        "",
        "aply declarations",
        "plan",
        "plan declarations --node localhost:80",
        "status --reason 'why'",
        "status --everything",
        "status",
        "status --format xml",
        "get nodes --node 127.0.0.1:1",
        "drain pool engines --node 127.0.0.1:1",
        "rollback last --reason 'why' --node 127.0.0.1:1",
    ] {
        assert_eq!(session.run(line).await, 2, "{line}");
    }
    assert_eq!(session.run("digest").await, 7);
    golden!("usage_mistakes", session.done());
}
