//! Golden file of a request's story from log files.

mod common;

use common::{Session, golden};

/// Two nodes' lines, in the wrong order, one broken, one with a collector's prefix.
const ONE: &str = r#"
{"time":"2026-01-05T06:12:44.310Z","level":"info","part":"request","says":"missed","request":"9c41","upstream":"i-7f3a","outcome":"lost","code":3001,"cause":"connection closed before message completed","passed_ms":210}
{"time":"2026-01-05T06:12:44.100Z","level":"info","part":"request","says":"sent","request":"9c41","upstream":"i-7f3a","adapter":"base/a3","version":2,"load":12,"load_age_ms":340,"passed_ms":0,"left_ms":15000}
{"time":"2026-01-05T06:12:44.311Z","level":"info","part":"request","says":"ended","request":"9c41","route":"r-1","pool":"engines","config":7,"code":3001,"cause":"connection closed before message completed","sent":1,"passed_ms":211,"allowed_ms":15000}
{"time":"2026-01-05T06:12:44.200Z","level":"info","part":"request","says":"sent","request":"other","upstream":"i-1"}
{"time":"2026-01-05T06:12:4
"#;
const TWO: &str = r#"
12.4 node-b {"time":"2026-01-05T06:12:45.000Z","level":"info","part":"request","says":"sent","request":"9c42","upstream":"i-9","adapter":"","version":0}
{"time":"2026-01-05T06:12:46.000Z","level":"warn","part":"logs","says":"lines were left out","of":"trip","count":3}
"#;

#[tokio::test]
async fn explain_logs_of_two_nodes() {
    let mut session = Session::new("explain_logs");
    session.write("node-a.log", ONE);
    session.write("node-b.log", TWO);
    for request in ["9c41", "9c42", "9c43"] {
        let line = format!("explain --logs {request} node-a.log node-b.log");
        assert_eq!(session.run(&line).await, 0);
    }
    assert_eq!(session.run("explain --logs 9c41 nowhere.log").await, 7);
    golden!("explain_logs_of_two_nodes", session.done());
}
