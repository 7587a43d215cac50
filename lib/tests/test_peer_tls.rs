//! Nodes know one another by certificates that are renewed without a restart.

mod owner_fakes;
mod peer_fakes;

use std::fs;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use chivevalve::error::Code;
use chivevalve::peer::tls::{Error, NODE_NAME, Paths, Security, TlsCredentials};
use chivevalve::runner::Reach;
use owner_fakes::{Bench, attempt, text};
use peer_fakes::{Nobody, Node, clients, secured};
use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};

/// An authority that signs nodes' certificates.
struct Authority {
    certificate: String,
    issuer: Issuer<'static, KeyPair>,
}

impl Authority {
    fn new() -> Self {
        let key = KeyPair::generate().unwrap();
        let mut params = CertificateParams::new(Vec::new()).unwrap();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let certificate = params.self_signed(&key).unwrap().pem();
        let issuer = Issuer::new(params, key);
        Self {
            certificate,
            issuer,
        }
    }
}

/// A directory with one node's files; it is removed when it is dropped.
struct Files(PathBuf);

impl Files {
    fn new(authority: &Authority, name: &str) -> Self {
        static SERIAL: AtomicU32 = AtomicU32::new(0);
        let serial = SERIAL.fetch_add(1, Ordering::Relaxed);
        let own = format!("chivevalve-tls-{}-{serial}", std::process::id());
        let directory = std::env::temp_dir().join(own);
        fs::create_dir_all(&directory).unwrap();
        let files = Self(directory);
        files.write(authority, name);
        files
    }

    fn write(&self, authority: &Authority, name: &str) {
        let key = KeyPair::generate().unwrap();
        let params = CertificateParams::new(vec![name.to_owned()]).unwrap();
        let signed = params.signed_by(&key, &authority.issuer).unwrap();
        let paths = self.paths();
        fs::write(paths.certificate, signed.pem()).unwrap();
        fs::write(paths.key, key.serialize_pem()).unwrap();
        fs::write(paths.authority, &authority.certificate).unwrap();
    }

    fn paths(&self) -> Paths {
        Paths {
            certificate: self.0.join("node.pem"),
            key: self.0.join("node.key"),
            authority: self.0.join("authority.pem"),
        }
    }

    fn keys(&self) -> TlsCredentials {
        TlsCredentials::load(self.paths()).unwrap()
    }
}

impl Drop for Files {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

#[tokio::test]
async fn run_mutual() {
    let authority = Authority::new();
    let (here, there) = (
        Files::new(&authority, NODE_NAME),
        Files::new(&authority, NODE_NAME),
    );
    let bench = Bench::start().await;
    let node = Node::secured(bench.registry.clone(), Security::Mutual(there.keys())).await;
    let runner = secured(Security::Mutual(here.keys())).runner(&node.owner);
    let answer = runner.run(attempt("r1", "plans", true)).await.unwrap();
    text(answer).await.unwrap();
}

/// A client without a node's certificate from the own authority can't run anything at a node.
#[tokio::test]
async fn run_stranger() {
    let authority = Authority::new();
    let files = Files::new(&authority, NODE_NAME);
    let bench = Bench::start().await;
    let node = Node::secured(bench.registry.clone(), Security::Mutual(files.keys())).await;
    let other = Files::new(&Authority::new(), NODE_NAME);
    let printer = Files::new(&authority, "printer");
    let strangers = [
        clients(),
        secured(Security::Mutual(other.keys())),
        secured(Security::Mutual(printer.keys())),
    ];
    for stranger in strangers {
        let runner = stranger.runner(&node.owner);
        let failure = runner.run(attempt("r1", "plans", true)).await.unwrap_err();
        assert!(matches!(
            failure.code,
            Code::PeerLost | Code::PeerUnreachable
        ));
    }
    assert!(bench.engine.runs().is_empty());
}

/// No request is sent to a peer whose certificate isn't a node's, though the authority signed it.
#[tokio::test]
async fn run_at_stranger() {
    let authority = Authority::new();
    let (here, there) = (
        Files::new(&authority, NODE_NAME),
        Files::new(&authority, "printer"),
    );
    let node = Node::secured(Arc::new(Nobody), Security::Mutual(there.keys())).await;
    let runner = secured(Security::Mutual(here.keys())).runner(&node.owner);
    let failure = runner.run(attempt("r1", "plans", true)).await.unwrap_err();
    assert_eq!(failure.code, Code::PeerUnreachable);
}

#[tokio::test]
async fn reload_new_authority() {
    let (old, new) = (Authority::new(), Authority::new());
    let (here, there) = (Files::new(&old, NODE_NAME), Files::new(&old, NODE_NAME));
    let server = there.keys();
    let node = Node::secured(Arc::new(Nobody), Security::Mutual(server.clone())).await;
    there.write(&new, NODE_NAME);
    server.reload().unwrap();
    here.write(&new, NODE_NAME);
    let runner = secured(Security::Mutual(here.keys())).runner(&node.owner);
    let failure = runner.run(attempt("r1", "plans", true)).await.unwrap_err();
    assert_eq!(failure.code, Code::NotOwner, "{failure}");
}

/// Certificates that can't be read leave those in use in force.
#[tokio::test]
async fn reload_half_written() {
    let authority = Authority::new();
    let files = Files::new(&authority, NODE_NAME);
    let keys = files.keys();
    let node = Node::secured(Arc::new(Nobody), Security::Mutual(keys.clone())).await;
    let runner = secured(Security::Mutual(files.keys())).runner(&node.owner);
    fs::write(files.paths().certificate, "-----BEGIN CERT").unwrap();
    assert!(keys.reload().is_err());
    let failure = runner.run(attempt("r1", "plans", true)).await.unwrap_err();
    assert_eq!(failure.code, Code::NotOwner, "{failure}");
}

#[test]
fn load_key_of_another() {
    let authority = Authority::new();
    let (here, there) = (
        Files::new(&authority, NODE_NAME),
        Files::new(&authority, NODE_NAME),
    );
    fs::copy(there.paths().key, here.paths().key).unwrap();
    let error = TlsCredentials::load(here.paths()).unwrap_err();
    assert!(matches!(error, Error::Content(_)), "{error}");
    fs::remove_file(here.paths().authority).unwrap();
    let error = TlsCredentials::load(here.paths()).unwrap_err();
    assert!(error.to_string().contains("authority.pem"), "{error}");
}
