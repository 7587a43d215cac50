//! Nodes and claims, and their representation in the key-value service.

use std::net::SocketAddr;

use prost::Message;
use smallvec::SmallVec;

use crate::membership::fleet::Owner;
use crate::name::Name;
use crate::ports::LeaseId;
use crate::schema::peer;

/// Names of a node's witnesses.
pub type Witnesses = SmallVec<[Name; 9]>;

/// Identity and addresses of a node; constant for one incarnation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// The node's name.
    pub name: Name,
    /// Number of this start of the node; unique among its starts.
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

/// A node's record in the key-value service, or the tombstone of one that has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// The node.
    pub identity: Identity,
    /// The lease that the record is attached to.
    pub lease: LeaseId,
    /// Peers that may extend the node's ownership while the service is unavailable.
    pub witnesses: Witnesses,
    /// Whether the node is draining and takes no upstreams.
    pub draining: bool,
    /// Revision of the service at which the record was written, or ended.
    pub revision: u64,
    /// Whether this is a tombstone.
    pub gone: bool,
}

impl Record {
    /// Decodes a record from its message; `None` if an address is invalid.
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

    /// Encodes the record as a message.
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

    /// Decodes a record from a stored value that was written at `revision`.
    #[must_use]
    pub fn from_value(value: &[u8], revision: u64) -> Option<Self> {
        let message = peer::NodeRecord::decode(value).ok()?;
        let mut record = Self::from_message(&message)?;
        record.revision = revision;
        Some(record)
    }

    /// Encodes the record as a value to store.
    #[must_use]
    pub fn to_value(&self) -> bytes::Bytes {
        self.to_message().encode_to_vec().into()
    }
}

/// A node's claim to own an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// The upstream.
    pub upstream: Name,
    /// The owner's name.
    pub node: Name,
    /// The owner's incarnation.
    pub incarnation: u64,
    /// Fencing token: the revision of the service at which the claim was written.
    pub token: u64,
    /// Where the owner listens for peers.
    pub peer: SocketAddr,
}

impl Claim {
    /// Decodes a claim from its message; `None` if the address is invalid.
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

    /// Encodes the claim as a message.
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

    /// Decodes a claim from a stored value that was written at `revision`.
    #[must_use]
    pub fn from_value(value: &[u8], revision: u64) -> Option<Self> {
        let message = peer::Claim::decode(value).ok()?;
        let mut claim = Self::from_message(&message)?;
        claim.token = revision;
        Some(claim)
    }

    /// Encodes the claim as a value to store.
    #[must_use]
    pub fn to_value(&self) -> bytes::Bytes {
        self.to_message().encode_to_vec().into()
    }

    /// Returns the claim without an owner, as written on release.
    #[must_use]
    pub fn into_free(self) -> Self {
        Self {
            node: Name::from(""),
            incarnation: 0,
            ..self
        }
    }

    /// Whether the upstream has no owner.
    #[must_use]
    pub fn is_free(&self) -> bool {
        self.node.is_empty()
    }

    /// Whether it belongs to this incarnation of a node.
    #[must_use]
    pub fn is_owned_by(&self, identity: &Identity) -> bool {
        self.node == identity.name && self.incarnation == identity.incarnation
    }

    /// Returns the owner in the form that requests are routed by.
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

/// Keys of membership in the key-value service, below the deployment's prefix.
#[derive(Debug, Clone)]
pub struct Keys {
    prefix: Name,
}

/// What a key of membership holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Key<'a> {
    /// A live node's record; deleted when the node's lease ends.
    Node(&'a str),
    /// The record as last written by one incarnation of a node; outlives the lease.
    Registration(&'a str, u64),
    /// The claim on an upstream.
    Claim(&'a str),
}

impl Keys {
    /// Creates the keys below a deployment's prefix.
    #[must_use]
    pub fn new(prefix: &str) -> Self {
        Self {
            prefix: Name::from(format!("{prefix}membership/")),
        }
    }

    /// Returns the common prefix, by which one call reads or watches all keys.
    #[must_use]
    pub fn prefix(&self) -> &Name {
        &self.prefix
    }

    /// Returns the key of a live node's record.
    #[must_use]
    pub fn node(&self, name: &str) -> String {
        format!("{}nodes/{name}", self.prefix)
    }

    /// Returns the key of the registration of one incarnation of a node.
    #[must_use]
    pub fn registration(&self, name: &str, incarnation: u64) -> String {
        format!("{}registrations/{name}/{incarnation}", self.prefix)
    }

    /// Returns the key of an upstream's claim.
    #[must_use]
    pub fn claim(&self, upstream: &str) -> String {
        format!("{}claims/{upstream}", self.prefix)
    }

    /// Parses a key; `None` if it isn't one of membership.
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
