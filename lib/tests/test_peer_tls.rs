//! Nodes authenticate each other by certificates, which can be renewed without a restart.

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
use peer_fakes::{NoUpstreams, Node, clients, clients_with_security};
use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};

/// A certificate authority that signs the nodes' certificates.
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

/// A temporary directory with one node's certificate files; removed on drop.
struct Files(PathBuf);

impl Files {
    fn new(authority: &Authority, name: &str) -> Self {
        static SERIAL: AtomicU32 = AtomicU32::new(0);
        let serial = SERIAL.fetch_add(1, Ordering::Relaxed);
        let directory_name = format!("chivevalve-tls-{}-{serial}", std::process::id());
        let directory = std::env::temp_dir().join(directory_name);
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

    fn credentials(&self) -> TlsCredentials {
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
    let node = Node::start_with_security(
        bench.registry.clone(),
        Security::Mutual(there.credentials()),
    )
    .await;
    let runner = clients_with_security(Security::Mutual(here.credentials())).runner(&node.owner);
    let answer = runner.run(attempt("r1", "plans", true)).await.unwrap();
    text(answer).await.unwrap();
}

/// A client without a certificate, with one of another authority, or with one that the authority
/// issued to something other than a node can't run requests at a node.
#[tokio::test]
async fn run_stranger() {
    let authority = Authority::new();
    let files = Files::new(&authority, NODE_NAME);
    let bench = Bench::start().await;
    let node = Node::start_with_security(
        bench.registry.clone(),
        Security::Mutual(files.credentials()),
    )
    .await;
    let other = Files::new(&Authority::new(), NODE_NAME);
    let printer = Files::new(&authority, "printer");
    let strangers = [
        clients(),
        clients_with_security(Security::Mutual(other.credentials())),
        clients_with_security(Security::Mutual(printer.credentials())),
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

/// No request is sent to a peer whose certificate the authority signed for another name than
/// the nodes'.
#[tokio::test]
async fn run_at_stranger() {
    let authority = Authority::new();
    let (here, there) = (
        Files::new(&authority, NODE_NAME),
        Files::new(&authority, "printer"),
    );
    let node =
        Node::start_with_security(Arc::new(NoUpstreams), Security::Mutual(there.credentials()))
            .await;
    let runner = clients_with_security(Security::Mutual(here.credentials())).runner(&node.owner);
    let failure = runner.run(attempt("r1", "plans", true)).await.unwrap_err();
    assert_eq!(failure.code, Code::PeerUnreachable);
}

#[tokio::test]
async fn reload_new_authority() {
    let (old, new) = (Authority::new(), Authority::new());
    let (here, there) = (Files::new(&old, NODE_NAME), Files::new(&old, NODE_NAME));
    let server = there.credentials();
    let node =
        Node::start_with_security(Arc::new(NoUpstreams), Security::Mutual(server.clone())).await;
    there.write(&new, NODE_NAME);
    server.reload().unwrap();
    here.write(&new, NODE_NAME);
    let runner = clients_with_security(Security::Mutual(here.credentials())).runner(&node.owner);
    let failure = runner.run(attempt("r1", "plans", true)).await.unwrap_err();
    assert_eq!(failure.code, Code::NotOwner, "{failure}");
}

/// If the new certificate can't be read, for example because it is only half written, the
/// credentials read before stay in use.
#[tokio::test]
async fn reload_half_written() {
    let authority = Authority::new();
    let files = Files::new(&authority, NODE_NAME);
    let credentials = files.credentials();
    let node =
        Node::start_with_security(Arc::new(NoUpstreams), Security::Mutual(credentials.clone()))
            .await;
    let runner = clients_with_security(Security::Mutual(files.credentials())).runner(&node.owner);
    fs::write(files.paths().certificate, "-----BEGIN CERT").unwrap();
    assert!(credentials.reload().is_err());
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
