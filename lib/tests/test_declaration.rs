//! Reading, checking, comparing and exporting declarations.

use std::sync::Arc;

use chivevalve::declaration::{self, Mistake, SourceFile, diff, export};
use chivevalve::schema::declaration::File;
use insta::assert_snapshot;

fn source(name: &str, text: &str) -> SourceFile {
    SourceFile {
        name: Arc::from(name),
        text: text.to_owned(),
    }
}

fn format_mistakes(mistakes: &[Mistake]) -> String {
    let lines: Vec<String> = mistakes.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

fn mistakes(files: &[(&str, &str)]) -> String {
    let sources: Vec<SourceFile> = files
        .iter()
        .map(|(name, text)| source(name, text))
        .collect();
    format_mistakes(&declaration::check_sources(&sources).unwrap_err())
}

const WHOLE: &str = "
pools:
  - {name: llama, kind: engine, base_model: llama-8b, slots: 4, batch: 16, checks_fencing: true}
  - {name: records, kind: service, batch: 8}
accounts:
  - name: depot
    key_digests: [00000000000000000000000000000000000000000000000000000000000000AA]
templates:
  - {account: depot, name: faults, pool: llama, adapter: faults, version: 1.10, class: urgent, idempotent: true}
  - {account: depot, name: parts, pool: records, deadline_ms: 2000}
";

#[test]
fn check_whole_file() {
    let set = declaration::check_sources(&[source("all.yaml", WHOLE)]).unwrap();
    let template = &set.templates[&("depot".to_owned(), "faults".to_owned())];
    assert_eq!(template.version, "1.10");
    assert_eq!(template.weight, 1);
    assert_eq!(set.len(), 5);
}

#[test]
fn check_reads_as_the_schema_does() {
    let file: File = serde_saphyr::from_str(WHOLE).unwrap();
    let set = declaration::check_sources(&[source("all.yaml", WHOLE)]).unwrap();
    assert_eq!(file.templates.len(), set.templates.len());
    for template in file.templates {
        let kept = &set.templates[&(template.account.clone(), template.name.clone())];
        assert_eq!(kept.adapter, template.adapter);
        assert_eq!(kept.deadline_ms, template.deadline_ms);
        assert_eq!(kept.idempotent, template.idempotent);
    }
}

#[test]
fn check_mistakes_all_at_once() {
    let pools = "
pools:
  - {name: llama, kind: engin, base_model: llama-8b, slots: 4, batch: 16}
  - name: qwen
    kind: engine
    slots: 0
  - {name: records, kind: service, batch: 8, slots: 2}
  - {name: records, kind: service, batch: 8}
";
    let accounts = "
accounts:
  - name: depot
    key_digests: [my-secret-key]
    wieght: 3
  - name: 'shop floor'
    weight: 5000
  - weight: many
templats: []
";
    let templates = "
templates:
  - account: depott
    name: faults
    pool: llama
    adapter: faults
    class: urgnt
    deadline_ms: 1h
  - {account: depot, name: parts, pool: records, adapter: parts, version: 1}
  - {account: depot, name: parts, pool: records, idempotent: maybe}
  - {account: depot, name: plan, pool: qwen}
  - {account: depot, account: depot, name: x, pool: unknown}
  - just text
";
    let broken = "accounts:\n  - name: [a\n";
    let text = mistakes(&[
        ("accounts.yaml", accounts),
        ("broken.yaml", broken),
        ("pools.yaml", pools),
        ("templates/depot.yaml", templates),
    ]);
    assert_snapshot!(text, @r#"
    accounts.yaml:4:18: key digest 1 isn't a SHA-256 digest; give 64 hexadecimal digits, as chivevalve digest prints them; never the key
    accounts.yaml:5:5: an account has no field wieght; did you mean weight?
    accounts.yaml:6:11: name is "shop floor"; begin with a letter or digit and use letters, digits, dots, hyphens and underscores
    accounts.yaml:7:13: weight is 5000; give a number from 0 to 1000
    accounts.yaml:8:5: name is missing; add name:
    accounts.yaml:8:13: weight is many; give a whole number from 0 to 4294967295
    accounts.yaml:9:1: a file has no field templats; did you mean templates?
    broken.yaml:2:11: this isn't YAML that can be read: unclosed bracket '[' at line 2, column 11; correct the syntax; the rest of this file wasn't checked
    pools.yaml:3:25: kind is engin; did you mean engine? Known are engine, service
    pools.yaml:4:5: base_model is missing; add base_model:
    pools.yaml:4:5: batch is missing; give a number from 1 to 65536
    pools.yaml:6:12: slots is 0; give a number from 1 to 4096
    pools.yaml:7:53: slots is set for a pool of plain services; leave it out, or write kind: engine
    pools.yaml:8:12: pool records is declared twice, first at pools.yaml:7:12; keep one of them
    templates/depot.yaml:3:5: adapter faults is named without a version; add version:; each template names the exact version that it runs on
    templates/depot.yaml:3:14: account depott isn't declared; did you mean depot?
    templates/depot.yaml:7:12: class is urgnt; did you mean urgent? Known are urgent, normal, bulk
    templates/depot.yaml:8:18: deadline_ms is 1h; give a whole number from 0 to 18446744073709551615
    templates/depot.yaml:9:59: adapter is set, but pool records holds plain services; leave it out, or name a pool of engines
    templates/depot.yaml:9:75: version is set, but pool records holds plain services; leave it out, or name a pool of engines
    templates/depot.yaml:10:28: template depot/parts is declared twice, first at templates/depot.yaml:9:28; keep one of them
    templates/depot.yaml:10:62: idempotent is maybe; write true or false
    templates/depot.yaml:11:5: pool qwen holds engines, but no adapter is named; add adapter: and version:
    templates/depot.yaml:12:22: account stands twice, first in line 12; keep one of them
    templates/depot.yaml:12:53: pool unknown isn't declared; declare it under pools:, or correct the name
    templates/depot.yaml:13:5: a single value stands where a template is due; write its fields as field: value
    "#);
}

#[test]
fn export_is_applied_elsewhere() {
    let set = declaration::check_sources(&[source("all.yaml", WHOLE)]).unwrap();
    let files = export::export(&set);
    assert_eq!(declaration::check_sources(&files).unwrap(), set);
    let texts: Vec<String> = files
        .iter()
        .map(|file| format!("# {}\n{}", file.name, file.text))
        .collect();
    let text = texts.concat();
    assert_snapshot!(text, @r#"
    # accounts.yaml
    accounts:
    - key_digests:
      - 00000000000000000000000000000000000000000000000000000000000000aa
      name: depot
      weight: 1
    # pools.yaml
    pools:
    - base_model: llama-8b
      batch: 16
      checks_fencing: true
      kind: engine
      name: llama
      slots: 4
    - batch: 8
      kind: service
      name: records
    # templates/depot.yaml
    templates:
    - account: depot
      adapter: faults
      class: urgent
      idempotent: true
      name: faults
      pool: llama
      version: "1.10"
      weight: 1
    - account: depot
      class: normal
      deadline_ms: 2000
      name: parts
      pool: records
      weight: 1
    "#);
}

#[test]
fn diff_shows_what_changes() {
    let before = declaration::check_sources(&[source("all.yaml", WHOLE)]).unwrap();
    let text = WHOLE
        .replace("version: 1.10", "version: 1.11")
        .replace("name: parts", "name: stock");
    let after = declaration::check_sources(&[source("all.yaml", &text)]).unwrap();
    let differences = diff::diff(&before, &after);
    assert_snapshot!(diff::render(&differences), @r"
    ~ template depot/faults
        version: 1.10 -> 1.11
    - template depot/parts
    + template depot/stock
      + class: normal
      + deadline_ms: 2000
      + pool: records
      + weight: 1
    ");
    let mut patched = before.clone();
    diff::patch(&mut patched, &differences);
    assert_eq!(patched, after);
    diff::patch(&mut patched, &diff::reverse(&differences));
    assert_eq!(patched, before);
}

/// Guards against outdated examples on the operators' page, for example after a
/// field was renamed: an operator who copies one would get a mistake.
#[test]
fn page_examples_pass_the_check() {
    let page = include_str!("../../docs/operators/declarations.md");
    let sources: Vec<SourceFile> = page
        .split("```yaml\n")
        .skip(1)
        .enumerate()
        .map(|(number, rest)| {
            let text = rest.split("```").next().unwrap();
            source(&format!("{number}.yaml"), text)
        })
        .collect();
    assert_eq!(sources.len(), 3);
    let set = declaration::check_sources(&sources).unwrap();
    assert_eq!(
        (set.accounts.len(), set.pools.len(), set.templates.len()),
        (1, 2, 2)
    );
}
