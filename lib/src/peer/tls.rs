//! Mutual TLS between nodes, with certificates of one authority that are read from files.
//!
//! The files are read again periodically, and each new connection uses what was read last, so
//! that certificates can be renewed without a restart. If the new files can't be read, the
//! old certificates stay in use and an error is logged. See docs/operators/access.md.

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

/// DNS name in the certificate of every node.
///
/// All nodes share one name because their addresses change; whoever holds a certificate for
/// this name that the authority has signed is accepted as a node.
pub const NODE_NAME: &str = "chivevalve-node";

/// ALPN protocol of connections between nodes.
const ALPN_PROTOCOL: &[u8] = b"h2";

/// An error while loading certificates.
#[derive(Debug, Error)]
pub enum Error {
    /// A file can't be read, or isn't PEM.
    #[error("{path}: {cause}")]
    File {
        /// The file.
        path: PathBuf,
        /// Why it can't be read.
        cause: rustls::pki_types::pem::Error,
    },
    /// The certificate, the key and the authority are invalid or don't match.
    #[error("the certificate, key and authority don't fit together: {0}")]
    Content(String),
}

/// Paths of the PEM files.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Paths {
    /// The node's certificate, followed by any intermediate certificates.
    pub certificate: PathBuf,
    /// The private key of the node's certificate.
    pub key: PathBuf,
    /// Certificates of the authority that signs the nodes' certificates.
    pub authority: PathBuf,
}

/// The TLS configurations for accepted and for opened connections.
#[derive(Debug)]
struct TlsConfigs {
    server: Arc<ServerConfig>,
    client: Arc<ClientConfig>,
}

/// Whether and how connections between nodes are encrypted and authenticated.
#[derive(Debug, Clone)]
pub enum Security {
    /// Neither encrypted nor authenticated; only by an explicit setting.
    Plaintext,
    /// Mutual TLS: both sides present a certificate that the authority has signed.
    Mutual(TlsCredentials),
}

/// A node's certificate, its key and the authority, which can be reloaded from their files.
#[derive(Debug, Clone)]
pub struct TlsCredentials {
    paths: Paths,
    current: watch::Sender<Arc<TlsConfigs>>,
}

impl TlsCredentials {
    /// Reads the files.
    ///
    /// # Errors
    ///
    /// Returns an error when a file can't be read or the files don't match each other.
    pub fn load(paths: Paths) -> Result<Self, Error> {
        let configs = TlsConfigs::read(&paths)?;
        Ok(Self {
            paths,
            current: watch::Sender::new(Arc::new(configs)),
        })
    }

    /// Reads the files again; new connections use them.
    ///
    /// # Errors
    ///
    /// As [`TlsCredentials::load`]; the credentials read before stay in use.
    pub fn reload(&self) -> Result<(), Error> {
        let configs = TlsConfigs::read(&self.paths)?;
        self.current.send_replace(Arc::new(configs));
        Ok(())
    }

    /// Reads the files again every `period` until `stop` is cancelled.
    pub async fn reload_periodically(self, period: Millis, stop: CancellationToken) {
        while stop
            .run_until_cancelled(tokio::time::sleep(period.duration()))
            .await
            .is_some()
        {
            let credentials = self.clone();
            // Reading files blocks the thread.
            let result = tokio::task::spawn_blocking(move || credentials.reload()).await;
            if let Ok(Err(error)) = result {
                log::error!("peer: the certificates stay as they were: {error}");
            }
        }
    }

    /// Returns the TLS configuration for an accepted connection.
    pub(super) fn server_config(&self) -> Arc<ServerConfig> {
        Arc::clone(&self.current.borrow().server)
    }

    /// Returns the TLS configuration for an opened connection.
    pub(super) fn client_config(&self) -> Arc<ClientConfig> {
        Arc::clone(&self.current.borrow().client)
    }
}

/// Returns the name for which a peer's certificate has to be valid.
pub(super) fn node_server_name() -> ServerName<'static> {
    ServerName::try_from(NODE_NAME).expect("the constant is a DNS name")
}

/// Checks that a client certificate, already verified against the authority, is a node's.
///
/// The authority may also sign certificates for others. Without this check, any of their
/// holders could control engines through a node.
pub(super) fn check_node_certificate(
    certificates: Option<&[CertificateDer<'static>]>,
) -> Result<(), rustls::Error> {
    let leaf = certificates.and_then(<[_]>::first);
    let leaf = leaf.ok_or(rustls::Error::NoCertificatesPresented)?;
    verify_server_name(&ParsedCertificate::try_from(leaf)?, &node_server_name())
}

impl TlsConfigs {
    fn read(paths: &Paths) -> Result<Self, Error> {
        let chain = read_certificates(&paths.certificate)?;
        let key = PrivateKeyDer::from_pem_file(&paths.key).map_err(|cause| Error::File {
            path: paths.key.clone(),
            cause,
        })?;
        let mut authorities = RootCertStore::empty();
        for certificate in read_certificates(&paths.authority)? {
            authorities.add(certificate).map_err(content_error)?;
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
            .map_err(content_error)?
            .with_client_cert_verifier(verifier.build().map_err(content_error)?)
            .with_single_cert(chain.clone(), key.clone_key())
            .map_err(content_error)?;
        server.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
        let mut client = ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(content_error)?
            .with_root_certificates(authorities)
            .with_client_auth_cert(chain, key)
            .map_err(content_error)?;
        client.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
        Ok(Self {
            server: Arc::new(server),
            client: Arc::new(client),
        })
    }
}

fn read_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, Error> {
    let certificates = CertificateDer::pem_file_iter(path).and_then(Iterator::collect);
    certificates.map_err(|cause| Error::File {
        path: path.to_owned(),
        cause,
    })
}

fn content_error(error: impl std::fmt::Display) -> Error {
    Error::Content(error.to_string())
}
