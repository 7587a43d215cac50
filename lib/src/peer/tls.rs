//! How nodes know one another: certificates of one authority, read from files.
//!
//! The files are read again when they change, and each new connection uses what
//! was read last, so that certificates are renewed without a restart. A change
//! that can't be read leaves the old ones in force, loudly. See
//! docs/operators/access.md.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use rustls::client::verify_server_name;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use rustls::server::{ParsedCertificate, WebPkiClientVerifier};
use rustls::{ClientConfig, RootCertStore, ServerConfig};
use thiserror::Error;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::clock::Millis;

/// Name that every node's certificate carries.
///
/// Nodes come and go with their addresses; that the authority signed a
/// certificate for this name is what makes its holder a node.
pub const NODE_NAME: &str = "chivevalve-node";

/// The one protocol that nodes speak.
const PROTOCOL: &[u8] = b"h2";

/// Why certificates can't be used.
#[derive(Debug, Error)]
pub enum Error {
    /// A file can't be read, or isn't PEM.
    #[error("{path}: {cause}")]
    File {
        /// Which file.
        path: PathBuf,
        /// What is wrong with it.
        cause: rustls::pki_types::pem::Error,
    },
    /// The files don't fit together.
    #[error("the certificate, key and authority don't fit together: {0}")]
    Content(String),
}

/// Where the files are.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Paths {
    /// The node's certificate, with what lies between it and the authority.
    pub certificate: PathBuf,
    /// Its key.
    pub key: PathBuf,
    /// The authority that signs nodes' certificates.
    pub authority: PathBuf,
}

/// What both sides of a connection use.
#[derive(Debug)]
struct Configs {
    server: Arc<ServerConfig>,
    client: Arc<ClientConfig>,
}

/// How connections between nodes are protected.
#[derive(Debug, Clone)]
pub enum Security {
    /// Not at all; an operator has set this explicitly.
    Plaintext,
    /// Both sides show a certificate of the authority.
    Mutual(TlsCredentials),
}

/// Certificates that are read again when they change.
#[derive(Debug, Clone)]
pub struct TlsCredentials {
    paths: Paths,
    current: watch::Sender<Arc<Configs>>,
}

impl TlsCredentials {
    /// Reads the files.
    ///
    /// # Errors
    ///
    /// When a file can't be read or the three don't fit together.
    pub fn load(paths: Paths) -> Result<Self, Error> {
        let configs = Configs::read(&paths)?;
        Ok(Self {
            paths,
            current: watch::Sender::new(Arc::new(configs)),
        })
    }

    /// Reads the files again; new connections use them.
    ///
    /// # Errors
    ///
    /// As [`TlsCredentials::load`]; what was read before stays in force.
    pub fn reload(&self) -> Result<(), Error> {
        let configs = Configs::read(&self.paths)?;
        self.current.send_replace(Arc::new(configs));
        Ok(())
    }

    /// Reads the files again each period until `stop`.
    pub async fn reload_periodically(self, period: Millis, stop: CancellationToken) {
        while stop
            .run_until_cancelled(tokio::time::sleep(period.duration()))
            .await
            .is_some()
        {
            let keys = self.clone();
            // Reading files blocks, so it goes where blocking is allowed.
            let read = tokio::task::spawn_blocking(move || keys.reload()).await;
            if let Ok(Err(error)) = read {
                log::error!("peer: the certificates stay as they were: {error}");
            }
        }
    }

    /// Returns what an accepted connection uses.
    pub(super) fn server(&self) -> Arc<ServerConfig> {
        Arc::clone(&self.current.borrow().server)
    }

    /// Returns what a new connection uses.
    pub(super) fn client(&self) -> Arc<ClientConfig> {
        Arc::clone(&self.current.borrow().client)
    }
}

/// Returns the name that a peer's certificate has to carry.
pub(super) fn node_name() -> ServerName<'static> {
    ServerName::try_from(NODE_NAME).expect("the constant is a DNS name")
}

/// Checks that a certificate, whose authority has been checked, is a node's.
///
/// The authority may sign for other things too. Without this check any of them
/// could give orders to engines through a node.
pub(super) fn check_node(
    certificates: Option<&[CertificateDer<'static>]>,
) -> Result<(), rustls::Error> {
    let own = certificates.and_then(<[_]>::first);
    let own = own.ok_or(rustls::Error::NoCertificatesPresented)?;
    verify_server_name(&ParsedCertificate::try_from(own)?, &node_name())
}

impl Configs {
    fn read(paths: &Paths) -> Result<Self, Error> {
        let chain = certificates(&paths.certificate)?;
        let key = PrivateKeyDer::from_pem_file(&paths.key).map_err(|cause| Error::File {
            path: paths.key.clone(),
            cause,
        })?;
        let mut authorities = RootCertStore::empty();
        for certificate in certificates(&paths.authority)? {
            authorities.add(certificate).map_err(content)?;
        }
        Self::new(chain, key, Arc::new(authorities))
    }

    fn new(
        chain: Vec<CertificateDer<'static>>,
        key: PrivateKeyDer<'static>,
        authorities: Arc<RootCertStore>,
    ) -> Result<Self, Error> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let verifier = WebPkiClientVerifier::builder_with_provider(
            Arc::clone(&authorities),
            Arc::clone(&provider),
        );
        let mut server = ServerConfig::builder_with_provider(Arc::clone(&provider))
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(content)?
            .with_client_cert_verifier(verifier.build().map_err(content)?)
            .with_single_cert(chain.clone(), key.clone_key())
            .map_err(content)?;
        server.alpn_protocols = vec![PROTOCOL.to_vec()];
        let mut client = ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(content)?
            .with_root_certificates(authorities)
            .with_client_auth_cert(chain, key)
            .map_err(content)?;
        client.alpn_protocols = vec![PROTOCOL.to_vec()];
        Ok(Self {
            server: Arc::new(server),
            client: Arc::new(client),
        })
    }
}

fn certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, Error> {
    let read = CertificateDer::pem_file_iter(path).and_then(Iterator::collect);
    read.map_err(|cause| Error::File {
        path: path.to_owned(),
        cause,
    })
}

fn content(error: impl std::fmt::Display) -> Error {
    Error::Content(error.to_string())
}
