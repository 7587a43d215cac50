//! Nodes and claims, and how the key-value service holds them.

use std::net::SocketAddr;

use prost::Message;
use smallvec::SmallVec;

use crate::membership::fleet::Owner;
use crate::name::Name;
use crate::ports::LeaseId;
use crate::schema::peer;

/// Names of a node's witnesses.
pub type Witnesses = SmallVec<[Name; 9]>;

/// Who a node is and where it listens; fixed for one start of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// The node's name.
    pub name: Name,
    /// Which start of the node it is; no two starts share one.
    pub incarnation: u64,
    /// Its region.
    pub region: Name,
    /// Its failure domain.
    pub failure_domain: Name,
    /// Where it listens for peers.
    pub peer: SocketAddr,
    /// Where it listens for operators.
    pub operators: SocketAddr,
}

/// A node's record at the service, or the trace of one that has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// The node.
    pub identity: Identity,
    /// The lease that the record lives with.
    pub lease: LeaseId,
    /// Who may keep the node an owner while the service can't be reached.
    pub witnesses: Witnesses,
    /// Whether it takes no upstreams.
    pub draining: bool,
    /// The service's revision of the record's write, or of its end.
    pub revision: u64,
    /// Whether the record has ended.
    pub gone: bool,
}

impl Record {
    /// Reads a record from its message.
    #[must_use]
    pub fn from_message(message: &peer::NodeRecord) -> Option<Self> {
        Some(Self {
            identity: Identity {
                name: Name::from(message.node.as_str()),
                incarnation: message.incarnation,
                region: Name::from(message.region.as_str()),
                failure_domain: Name::from(message.failure_domain.as_str()),
                peer: message.peer_address.parse().ok()?,
                operators: message.operators_address.parse().ok()?,
            },
            lease: LeaseId(message.lease),
            witnesses: message
                .witnesses
                .iter()
                .map(|w| Name::from(w.as_str()))
                .collect(),
            draining: message.draining,
            revision: message.revision,
            gone: message.gone,
        })
    }

    /// Writes the record as a message.
    #[must_use]
    pub fn to_message(&self) -> peer::NodeRecord {
        peer::NodeRecord {
            node: self.identity.name.to_string(),
            incarnation: self.identity.incarnation,
            peer_address: self.identity.peer.to_string(),
            region: self.identity.region.to_string(),
            failure_domain: self.identity.failure_domain.to_string(),
            operators_address: self.identity.operators.to_string(),
            revision: self.revision,
            gone: self.gone,
            draining: self.draining,
            lease: self.lease.0,
            witnesses: self.witnesses.iter().map(ToString::to_string).collect(),
        }
    }

    /// Reads a record from a value of the service, last written at `revision`.
    #[must_use]
    pub fn from_value(value: &[u8], revision: u64) -> Option<Self> {
        let message = peer::NodeRecord::decode(value).ok()?;
        let mut record = Self::from_message(&message)?;
        record.revision = revision;
        Some(record)
    }

    /// Writes the record as a value of the service.
    #[must_use]
    pub fn to_value(&self) -> bytes::Bytes {
        self.to_message().encode_to_vec().into()
    }
}

/// Who owns an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// The upstream.
    pub upstream: Name,
    /// The owner's name.
    pub node: Name,
    /// Which start of the owner.
    pub incarnation: u64,
    /// The service's revision of the claim's write: the fencing token.
    pub token: u64,
    /// Where the owner listens for peers.
    pub peer: SocketAddr,
}

impl Claim {
    /// Reads a claim from its message.
    #[must_use]
    pub fn from_message(message: &peer::Claim) -> Option<Self> {
        Some(Self {
            upstream: Name::from(message.upstream.as_str()),
            node: Name::from(message.node.as_str()),
            incarnation: message.incarnation,
            token: message.token,
            peer: message.peer_address.parse().ok()?,
        })
    }

    /// Writes the claim as a message.
    #[must_use]
    pub fn to_message(&self) -> peer::Claim {
        peer::Claim {
            upstream: self.upstream.to_string(),
            node: self.node.to_string(),
            incarnation: self.incarnation,
            token: self.token,
            peer_address: self.peer.to_string(),
        }
    }

    /// Reads a claim from a value of the service, last written at `revision`.
    #[must_use]
    pub fn from_value(value: &[u8], revision: u64) -> Option<Self> {
        let message = peer::Claim::decode(value).ok()?;
        let mut claim = Self::from_message(&message)?;
        claim.token = revision;
        Some(claim)
    }

    /// Writes the claim as a value of the service.
    #[must_use]
    pub fn to_value(&self) -> bytes::Bytes {
        self.to_message().encode_to_vec().into()
    }

    /// Returns the claim that its owner leaves behind: nobody's.
    #[must_use]
    pub fn into_free(self) -> Self {
        Self {
            node: Name::from(""),
            incarnation: 0,
            ..self
        }
    }

    /// Whether nobody owns the upstream.
    #[must_use]
    pub fn is_free(&self) -> bool {
        self.node.is_empty()
    }

    /// Whether it names this start of a node.
    #[must_use]
    pub fn is_owned_by(&self, identity: &Identity) -> bool {
        self.node == identity.name && self.incarnation == identity.incarnation
    }

    /// Returns the owner, as requests are routed to it.
    #[must_use]
    pub fn owner(&self) -> Owner {
        Owner {
            node: self.node.clone(),
            incarnation: self.incarnation,
            token: self.token,
            peer: self.peer,
        }
    }
}

/// Keys of membership at the service, below the deployment's prefix.
#[derive(Debug, Clone)]
pub struct Keys {
    prefix: Name,
}

/// What a key of membership holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Key<'a> {
    /// A live node's record; it ends with the node's lease.
    Node(&'a str),
    /// The record as last written by one start of a node; it outlives the lease.
    Registration(&'a str, u64),
    /// The claim on an upstream.
    Claim(&'a str),
}

impl Keys {
    /// Makes the keys of a deployment.
    #[must_use]
    pub fn new(prefix: &str) -> Self {
        Self {
            prefix: Name::from(format!("{prefix}membership/")),
        }
    }

    /// Returns what all keys begin with, so that one call reads or watches them.
    #[must_use]
    pub fn prefix(&self) -> &Name {
        &self.prefix
    }

    /// Returns the key of a live node's record.
    #[must_use]
    pub fn node(&self, name: &str) -> String {
        format!("{}nodes/{name}", self.prefix)
    }

    /// Returns the key of the last registration of one start of a node.
    #[must_use]
    pub fn registration(&self, name: &str, incarnation: u64) -> String {
        format!("{}registrations/{name}/{incarnation}", self.prefix)
    }

    /// Returns the key of an upstream's claim.
    #[must_use]
    pub fn claim(&self, upstream: &str) -> String {
        format!("{}claims/{upstream}", self.prefix)
    }

    /// Returns what a key holds.
    #[must_use]
    pub fn parse<'a>(&self, key: &'a str) -> Option<Key<'a>> {
        let (kind, name) = key.strip_prefix(&*self.prefix)?.split_once('/')?;
        match kind {
            "nodes" => Some(Key::Node(name)),
            "registrations" => {
                let (name, incarnation) = name.rsplit_once('/')?;
                Some(Key::Registration(name, incarnation.parse().ok()?))
            }
            "claims" => Some(Key::Claim(name)),
            _ => None,
        }
    }
}
