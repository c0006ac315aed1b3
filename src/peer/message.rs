//! The prost messages of the peer protocol.
//!
//! They are written by hand with prost's derive macros, so that the build needs no generator. A
//! field number is never reused.
#![expect(
    clippy::derive_partial_eq_without_eq,
    reason = "prost derives PartialEq only"
)]

use prost::{Message, Oneof};

use super::{AllowanceUsage, SuspectPart};

/// A frame, the unit of transmission on a link.
#[derive(Clone, PartialEq, Message)]
pub struct PeerFrame {
    /// The stream of the call or request that the frame belongs to; zero for the link itself.
    #[prost(uint64, tag = "1")]
    pub stream: u64,
    /// The message; `None` for a kind that this build does not know.
    #[prost(oneof = "frame::Body", tags = "2, 3, 4, 5, 6, 7, 8, 9")]
    pub body: Option<frame::Body>,
}

/// Kinds of messages in a [`PeerFrame`].
pub mod frame {
    use super::{CallChunk, CallOpen, HeartbeatBody, Oneof, PeerHello, PeerReply, PeerRequest};

    /// A message on a link.
    #[derive(Clone, PartialEq, Oneof)]
    pub enum Body {
        /// Handshake message; the first frame in each direction.
        #[prost(message, tag = "2")]
        Hello(PeerHello),
        /// State of the sender, sent at the heartbeat interval.
        #[prost(message, tag = "3")]
        Heartbeat(HeartbeatBody),
        /// Opens a forwarded request.
        #[prost(message, tag = "4")]
        Open(CallOpen),
        /// Part of the answer to a forwarded request.
        #[prost(message, tag = "5")]
        Chunk(CallChunk),
        /// Ends a call early, from either side; the text is the reason.
        #[prost(string, tag = "6")]
        Cancel(String),
        /// A request of the sender itself, with a single reply.
        #[prost(message, tag = "7")]
        Ask(PeerRequest),
        /// The reply to a request.
        #[prost(message, tag = "8")]
        Reply(PeerReply),
        /// Flow-control credit: the number of consumed bytes by which the window of an answer is
        /// restored.
        #[prost(uint32, tag = "9")]
        Credit(u32),
    }
}

/// Handshake message that identifies an instance on a new link.
#[derive(Clone, PartialEq, Message)]
pub struct PeerHello {
    /// Protocol version of the sender; both sides must use the same one.
    #[prost(uint32, tag = "1")]
    pub protocol: u32,
    /// Name of the sender, unique in the fleet.
    #[prost(string, tag = "2")]
    pub instance: String,
    /// Random number drawn at the start of the process; distinguishes it from its predecessors.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Failure domain of the sender.
    #[prost(string, tag = "4")]
    pub domain: String,
    /// Random bytes that the other side's proof must cover.
    #[prost(bytes = "vec", tag = "5")]
    pub nonce: Vec<u8>,
    /// Keyed digest that covers the other side's nonce; empty in the first hello of the dialling
    /// side and without a shared secret.
    #[prost(bytes = "vec", tag = "6")]
    pub proof: Vec<u8>,
}

/// State of an instance; on a link, only what changed since the previous heartbeat.
#[derive(Clone, PartialEq, Message)]
pub struct HeartbeatBody {
    /// Number of heartbeats with content that the process has sent to this peer on any link; zero
    /// for a keep-alive without content.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Revision of the configuration tables that the sender uses.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Whether the sender is shutting down.
    #[prost(bool, tag = "3")]
    pub is_draining: bool,
    /// Changes since the previous heartbeat to the upstreams that the sender owns.
    #[prost(message, repeated, tag = "4")]
    pub residency: Vec<ResidencyItem>,
    /// Fingerprints of requests that were in flight at an upstream crash, with the crash count;
    /// only changed entries.
    #[prost(btree_map = "uint64, uint32", tag = "5")]
    pub suspects: std::collections::BTreeMap<u64, u32>,
    /// Failure domains that the sender reaches, including its own; empty if unchanged.
    #[prost(string, repeated, tag = "6")]
    pub reachable: Vec<String>,
    /// Whether the receiver discards the state of earlier heartbeats; set on the first heartbeat of
    /// a link.
    #[prost(bool, tag = "7")]
    pub is_first: bool,
}

/// State of one upstream as reported by its owner.
#[derive(Clone, PartialEq, Message)]
pub struct ResidencyItem {
    /// Name of the upstream; empty in later items with the same `number`.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Epoch of the ownership; zero in later items with the same `number`.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Number of running requests.
    #[prost(uint32, tag = "3")]
    pub running: u32,
    /// Number of queued requests by rank.
    #[prost(uint32, repeated, tag = "4")]
    pub queued: Vec<u32>,
    /// Adapters that became resident, or all resident ones if `is_full` is set.
    #[prost(string, repeated, tag = "5")]
    pub added: Vec<String>,
    /// Adapters that were evicted.
    #[prost(string, repeated, tag = "6")]
    pub removed: Vec<String>,
    /// Whether `added` is the complete list of resident adapters.
    #[prost(bool, tag = "7")]
    pub is_full: bool,
    /// Whether the upstream responds to its owner.
    #[prost(bool, tag = "8")]
    pub is_healthy: bool,
    /// Identifies the upstream and the epoch in later items on the same link.
    #[prost(uint32, tag = "9")]
    pub number: u32,
    /// Whether the sender no longer owns the upstream.
    #[prost(bool, tag = "10")]
    pub is_dropped: bool,
}

/// Forwards a request to the owner of an upstream.
#[derive(Clone, PartialEq, Message)]
pub struct CallOpen {
    /// The request id, 16 bytes in big-endian order.
    #[prost(bytes = "vec", tag = "1")]
    pub request: Vec<u8>,
    /// Number of the attempt, starting at 1.
    #[prost(uint32, tag = "2")]
    pub attempt: u32,
    /// Name of the upstream that the request is sent to.
    #[prost(string, tag = "3")]
    pub upstream: String,
    /// The adapter as `name@version`; empty for plain services.
    #[prost(string, tag = "4")]
    pub adapter: String,
    /// Name of the caller that sent the request.
    #[prost(string, tag = "5")]
    pub caller: String,
    /// Position of the request's rank, starting with the most urgent.
    #[prost(uint32, tag = "6")]
    pub rank: u32,
    /// Time left until the deadline, in milliseconds.
    #[prost(uint64, tag = "7")]
    pub time_left_ms: u64,
    /// The HTTP method; plain services only.
    #[prost(string, tag = "8")]
    pub method: String,
    /// The path and query; plain services only.
    #[prost(string, tag = "9")]
    pub path: String,
    /// The content type of the body.
    #[prost(string, tag = "10")]
    pub content_type: String,
    /// The request body.
    #[prost(bytes = "vec", tag = "11")]
    pub body: Vec<u8>,
    /// Whether the request may be sent to an upstream a second time, although it may already have
    /// run.
    #[prost(bool, tag = "12")]
    pub is_repeatable: bool,
    /// Name of the route, for fingerprints, logs and metrics.
    #[prost(string, tag = "13")]
    pub route: String,
    /// Revision of the configuration tables that the forwarding instance routed by.
    #[prost(uint64, tag = "14")]
    pub revision: u64,
    /// Position of the first token to return; above zero when a broken stream is resumed.
    #[prost(uint64, tag = "15")]
    pub from_token: u64,
    /// Maximum length of the answer in tokens; zero if the caller set none.
    #[prost(uint32, tag = "16")]
    pub tokens: u32,
}

/// Part of the answer to a forwarded request.
#[derive(Clone, PartialEq, Message)]
pub struct CallChunk {
    /// The message; `None` for a kind that this build does not know.
    #[prost(oneof = "chunk::Body", tags = "1, 2, 3, 4, 5")]
    pub body: Option<chunk::Body>,
}

/// Kinds of messages in a [`CallChunk`].
pub mod chunk {
    use super::{Message, Oneof, RefusalBody};

    /// A part of an answer.
    #[derive(Clone, PartialEq, Oneof)]
    pub enum Body {
        /// The owner is about to send the request to the upstream.
        #[prost(message, tag = "1")]
        Started(StartedBody),
        /// A token of a completion.
        #[prost(message, tag = "2")]
        Token(TokenBody),
        /// The head and body of a plain service's answer.
        #[prost(message, tag = "3")]
        Plain(PlainBody),
        /// End marker of a complete answer.
        #[prost(message, tag = "4")]
        End(EndBody),
        /// The request failed.
        #[prost(message, tag = "5")]
        Refused(RefusalBody),
    }

    /// Names the upstream that runs the request.
    #[derive(Clone, PartialEq, Message)]
    pub struct StartedBody {
        /// Name of the upstream.
        #[prost(string, tag = "1")]
        pub upstream: String,
        /// Name of the adapter at the engine.
        #[prost(string, tag = "2")]
        pub engine_name: String,
    }

    /// A token as sent by the engine.
    #[derive(Clone, PartialEq, Message)]
    pub struct TokenBody {
        /// Attempt id that the engine returned.
        #[prost(string, tag = "1")]
        pub attempt: String,
        /// Adapter that the engine returned, as `name@version`.
        #[prost(string, tag = "2")]
        pub adapter: String,
        /// Position of the token in the answer, starting at 0.
        #[prost(uint64, tag = "3")]
        pub token: u64,
        /// Text of the token.
        #[prost(string, tag = "4")]
        pub text: String,
    }

    /// The answer of a plain service.
    #[derive(Clone, PartialEq, Message)]
    pub struct PlainBody {
        /// HTTP status of the answer.
        #[prost(uint32, tag = "1")]
        pub status: u32,
        /// Content type of the answer.
        #[prost(string, tag = "2")]
        pub content_type: String,
        /// Body of the answer.
        #[prost(bytes = "vec", tag = "3")]
        pub body: Vec<u8>,
        /// Attempt id that the service returned; empty if it returned none.
        #[prost(string, tag = "4")]
        pub attempt: String,
    }

    /// End marker of an answer.
    #[derive(Clone, PartialEq, Message)]
    pub struct EndBody {
        /// Finish reason that the engine returned.
        #[prost(string, tag = "1")]
        pub finish: String,
        /// Number of tokens in the whole answer.
        #[prost(uint64, tag = "2")]
        pub tokens: u64,
    }
}

/// An [`Error`](crate::Error) in transferable form.
#[derive(Clone, PartialEq, Message)]
pub struct RefusalBody {
    /// Code of the error kind.
    #[prost(string, tag = "1")]
    pub code: String,
    /// Description of the error.
    #[prost(string, tag = "2")]
    pub detail: String,
    /// Whether the request ran: `not_run`, `ran` or `unknown`.
    #[prost(string, tag = "3")]
    pub run_state: String,
    /// Time after which the request may be retried, in milliseconds; zero if unknown.
    #[prost(uint64, tag = "4")]
    pub retry_after_ms: u64,
}

/// A request of an instance to a peer, with a single reply.
///
/// Requests of callers are forwarded by [`CallOpen`] instead.
#[derive(Clone, PartialEq, Message)]
pub struct PeerRequest {
    /// The message; `None` for a kind that this build does not know.
    #[prost(oneof = "ask::Body", tags = "1, 2, 3, 4, 5, 6, 7")]
    pub body: Option<ask::Body>,
}

/// Kinds of messages in a [`PeerRequest`].
pub mod ask {
    use super::{
        AdapterRequest, ChangeRequest, ConfigPull, LoadGossip, Oneof, OwnerHandover, PermitBid,
        PermitRelease,
    };

    /// The content of a request.
    #[derive(Clone, PartialEq, Oneof)]
    pub enum Body {
        /// Requests newer configuration tables.
        #[prost(message, tag = "1")]
        Pull(ConfigPull),
        /// Requests a load permit.
        #[prost(message, tag = "2")]
        Bid(PermitBid),
        /// Releases a load permit.
        #[prost(message, tag = "3")]
        Done(PermitRelease),
        /// Transfers the ownership of upstreams.
        #[prost(message, tag = "4")]
        Handover(OwnerHandover),
        /// Requests that an adapter is loaded.
        #[prost(message, tag = "5")]
        Want(AdapterRequest),
        /// Reports the load and the owned upstreams and failure domains of the sender.
        #[prost(message, tag = "6")]
        Share(LoadGossip),
        /// Requests changes of objects in the store.
        #[prost(message, tag = "7")]
        Changes(ChangeRequest),
    }
}

/// The reply to a [`PeerRequest`].
#[derive(Clone, PartialEq, Message)]
pub struct PeerReply {
    /// The message; `None` for a kind that this build does not know.
    #[prost(oneof = "reply::Body", tags = "1, 2, 3, 4, 5, 6, 7")]
    pub body: Option<reply::Body>,
}

/// Kinds of messages in a [`PeerReply`].
pub mod reply {
    use super::{
        AdapterReply, ChangeReply, ConfigDelta, GossipReply, Oneof, PermitGrant, RefusalBody,
    };

    /// The content of a reply.
    #[derive(Clone, PartialEq, Oneof)]
    pub enum Body {
        /// Newer configuration tables.
        #[prost(message, tag = "1")]
        Delta(ConfigDelta),
        /// The outcome of a permit bid.
        #[prost(message, tag = "2")]
        Grant(PermitGrant),
        /// The request was accepted.
        #[prost(bool, tag = "3")]
        Done(bool),
        /// The request was refused.
        #[prost(message, tag = "4")]
        Refused(RefusalBody),
        /// The requested adapter is resident.
        #[prost(message, tag = "5")]
        Resident(AdapterReply),
        /// The reported load was received.
        #[prost(message, tag = "6")]
        Shared(GossipReply),
        /// Changes of objects in the store.
        #[prost(message, tag = "7")]
        Changes(ChangeReply),
    }
}

/// Requests configuration tables newer than a revision.
#[derive(Clone, PartialEq, Message)]
pub struct ConfigPull {
    /// Revision that the requesting instance holds.
    #[prost(uint64, tag = "1")]
    pub base: u64,
}

/// The difference between two revisions of the configuration tables.
#[derive(Clone, PartialEq, Message)]
pub struct ConfigDelta {
    /// Revision that the delta applies to; zero if `rows` is the complete set.
    #[prost(uint64, tag = "1")]
    pub base: u64,
    /// Revision after the delta is applied.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Added or changed rows: key and JSON.
    #[prost(btree_map = "string, string", tag = "3")]
    pub rows: std::collections::BTreeMap<String, String>,
    /// Keys of removed rows.
    #[prost(string, repeated, tag = "4")]
    pub removed: Vec<String>,
    /// Digest of all rows after the delta is applied.
    #[prost(uint64, tag = "5")]
    pub digest: u64,
}

/// Requests a load permit; the bids with the highest value are granted first.
#[derive(Clone, PartialEq, Message)]
pub struct PermitBid {
    /// Name of the weight store; empty if the receiver grants permits from a single pool.
    #[prost(string, tag = "1")]
    pub store: String,
    /// Name of the upstream that loads the adapter; empty like `store`.
    #[prost(string, tag = "2")]
    pub upstream: String,
    /// The adapter, as `name@version`; empty like `store`.
    #[prost(string, tag = "3")]
    pub adapter: String,
    /// Value of the requests that wait for the load.
    #[prost(double, tag = "4")]
    pub value: f64,
}

/// Reply to a [`PermitBid`].
#[derive(Clone, PartialEq, Message)]
pub struct PermitGrant {
    /// Id of the permit; zero if none was granted.
    #[prost(uint64, tag = "1")]
    pub permit: u64,
    /// Time until an unused permit expires, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub valid_ms: u64,
}

/// Releases a permit after its load has ended, or without use.
#[derive(Clone, PartialEq, Message)]
pub struct PermitRelease {
    /// Name of the weight store; empty as in the [`PermitBid`].
    #[prost(string, tag = "1")]
    pub store: String,
    /// Id of the permit.
    #[prost(uint64, tag = "2")]
    pub permit: u64,
    /// Whether the load was started.
    #[prost(bool, tag = "3")]
    pub is_used: bool,
}

/// Transfers the ownership of upstreams to their next owner.
#[derive(Clone, PartialEq, Message)]
pub struct OwnerHandover {
    /// The upstreams to transfer.
    #[prost(message, repeated, tag = "1")]
    pub items: Vec<HandoverItem>,
}

/// The state of one upstream in an [`OwnerHandover`].
#[derive(Clone, PartialEq, Message)]
pub struct HandoverItem {
    /// Name of the upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Epoch of the ownership that ends.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Whether no request of that epoch is running or will be started.
    #[prost(bool, tag = "3")]
    pub is_released: bool,
}

/// Requests that the owner of an upstream loads an adapter there.
#[derive(Clone, PartialEq, Message)]
pub struct AdapterRequest {
    /// Name of the upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Name of the base model.
    #[prost(string, tag = "2")]
    pub model: String,
    /// Name of the adapter; empty for the base model itself.
    #[prost(string, tag = "3")]
    pub adapter: String,
    /// Minimum version of the adapter; zero for any.
    #[prost(uint64, tag = "4")]
    pub min_version: u64,
    /// Milliseconds after which the adapter is no longer useful to the sender.
    #[prost(uint32, tag = "5")]
    pub useful_ms: u32,
    /// Value of serving the waiting request before its deadline, in thousandths.
    #[prost(uint32, tag = "6")]
    pub value: u32,
    /// Milliseconds within which the adapter must be loaded for an answer before the deadline.
    #[prost(uint32, tag = "7")]
    pub on_time_ms: u32,
}

/// Confirms that an adapter is resident.
#[derive(Clone, PartialEq, Message)]
pub struct AdapterReply {
    /// Loaded version of the adapter; zero if it is not known.
    #[prost(uint64, tag = "1")]
    pub version: u64,
}

/// A report of the requests in flight, and of the upstreams and failure domains that the sender
/// owns. Tags 3 and 15 stand for fields of earlier builds.
#[derive(Clone, PartialEq, Message)]
pub struct LoadGossip {
    /// Requests in flight, by upstream.
    #[prost(message, repeated, tag = "1")]
    pub in_flight: Vec<InFlightItem>,
    /// Upstreams that the sender owns, with their resident adapters.
    #[prost(message, repeated, tag = "2")]
    pub owned: Vec<OwnedUpstream>,
    /// Failure domains that the sender owns.
    #[prost(message, repeated, tag = "4")]
    pub owned_domains: Vec<OwnedDomain>,
    /// Adapters that the sender has used since its previous message.
    #[prost(message, repeated, tag = "5")]
    pub used: Vec<AdapterUsage>,
    /// Newest revision of the configuration that the sender has seen.
    #[prost(uint64, tag = "7")]
    pub config_revision: u64,
    /// Newest revision among the upstreams that the sender has seen.
    #[prost(uint64, tag = "8")]
    pub upstream_revision: u64,
    /// Newest revision among the adapter versions that the sender has seen.
    #[prost(uint64, tag = "9")]
    pub version_revision: u64,
    /// Newest revision among the instances that the sender has seen.
    #[prost(uint64, tag = "10")]
    pub instance_revision: u64,
    /// Number of instances that `in_flight` covers; zero means the sender alone.
    #[prost(uint32, tag = "11")]
    pub instances: u32,
    /// Whether `in_flight` is left out because the receiver gets it from other instances.
    #[prost(bool, tag = "12")]
    pub is_without_load: bool,
    /// Whether the receiver is the sender's parent, which forwards the sender's load and sends it
    /// the load of all other instances.
    #[prost(bool, tag = "13")]
    pub is_child: bool,
    /// Whether the message contains only the load and the revisions; all other state stays as
    /// reported before.
    #[prost(bool, tag = "14")]
    pub is_load_only: bool,
    /// Parts of prompts, and whole requests, that may crash upstreams, as far as the sender's view of
    /// them has changed.
    #[prost(message, repeated, tag = "16")]
    pub suspect_parts: Vec<SuspectPart>,
    /// Incarnation of the receiver, if the sender knows which requests and parts of prompts are refused
    /// and has told this process all of them with this message; zero otherwise.
    #[prost(uint64, tag = "17")]
    pub informed_incarnation: u64,
    /// Version of the configuration that is in force at the sender; zero if it has none.
    #[prost(uint64, tag = "30")]
    pub config_version: u64,
    /// Use of the allowances of workspaces by the instances that `in_flight` covers; empty without
    /// such workspaces.
    #[prost(message, repeated, tag = "18")]
    pub allowances: Vec<AllowanceUsage>,
}

/// A failure domain that an instance owns.
#[derive(Clone, PartialEq, Message)]
pub struct OwnedDomain {
    /// Name of the failure domain.
    #[prost(string, tag = "1")]
    pub domain: String,
    /// Epoch of the ownership.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// Revision of the record of the ownership in the store; zero if the sender does not know it.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// Incarnation of the receiver, if the sender knows that the receiver has not owned the domain
    /// since the epoch began; zero otherwise. A message may reach a later process of the receiver.
    #[prost(uint64, tag = "4")]
    pub vouched_incarnation: u64,
}

/// Reply to a [`LoadGossip`].
#[derive(Clone, PartialEq, Message)]
pub struct GossipReply {
    /// Failure domains whose ownership by the sender of the request is not acknowledged, because
    /// the replying instance owns them or is taking them over.
    #[prost(string, repeated, tag = "1")]
    pub contested: Vec<String>,
    /// Upstreams that were marked as unchanged and are unknown to the replying instance.
    #[prost(string, repeated, tag = "2")]
    pub unknown: Vec<String>,
    /// Failure domains whose ownership by the sender of the request is not acknowledged, because
    /// the replying instance has started again and may have owned them later.
    #[prost(string, repeated, tag = "3")]
    pub unverified: Vec<String>,
}

impl GossipReply {
    /// Returns whether the ownership of a failure domain by the sender of the request is
    /// acknowledged.
    #[must_use]
    pub fn acknowledges(&self, domain: &str) -> bool {
        let mut refused = self.contested.iter().chain(&self.unverified);
        refused.all(|name| name != domain)
    }
}

/// Requests changes of objects in the store that the replying instance watches.
#[derive(Clone, PartialEq, Message)]
pub struct ChangeRequest {
    /// Kind of the objects, as its index among all kinds.
    #[prost(uint32, tag = "1")]
    pub kind: u32,
    /// Revision of the store up to which the requesting instance has read this kind.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Maximum time to wait for a change, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub wait_ms: u32,
}

/// Changes of objects in the store; empty if the wait ended without one.
#[derive(Clone, PartialEq, Message)]
pub struct ChangeReply {
    /// Objects that were created or replaced.
    #[prost(message, repeated, tag = "1")]
    pub objects: Vec<ChangedObject>,
    /// Names of deleted objects.
    #[prost(string, repeated, tag = "2")]
    pub deleted: Vec<String>,
    /// Revision of the store that the reply covers; later changes follow from here.
    #[prost(uint64, tag = "3")]
    pub covered: u64,
    /// Time in milliseconds since the replying instance sent the last call that the store answered.
    #[prost(uint32, optional, tag = "4")]
    pub call_age_ms: Option<u32>,
    /// Time in milliseconds since the response to that call arrived.
    #[prost(uint32, optional, tag = "5")]
    pub answer_age_ms: Option<u32>,
}

/// An object that was created or replaced in the store.
#[derive(Clone, PartialEq, Message)]
pub struct ChangedObject {
    /// Name of the object.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Revision of the last change that is relevant to instances.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Relevant part of the content, in the encoding of the store.
    #[prost(bytes = "vec", tag = "3")]
    pub payload: Vec<u8>,
}

/// Requests in flight at one upstream.
#[derive(Clone, PartialEq, Message)]
pub struct InFlightItem {
    /// Name of the upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Number of requests that were sent and have not ended.
    #[prost(uint32, tag = "2")]
    pub requests: u32,
    /// Prompt tokens of requests whose first event has not arrived.
    #[prost(uint32, tag = "3")]
    pub prompt_tokens: u32,
    /// Memory that the requests occupy when they end, in tokens.
    #[prost(uint32, tag = "4")]
    pub memory_tokens: u32,
}

/// An upstream as reported by its owner.
#[derive(Clone, PartialEq, Message)]
pub struct OwnedUpstream {
    /// Name of the upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Start time of the upstream, as reported by the upstream.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Resident base models.
    #[prost(string, repeated, tag = "3")]
    pub models: Vec<String>,
    /// Resident adapters, as `model/adapter@version`.
    #[prost(string, repeated, tag = "4")]
    pub adapters: Vec<String>,
    /// Time that queued and running loads at the upstream take, in milliseconds.
    #[prost(uint32, tag = "5")]
    pub backlog_ms: u32,
    /// Whether models and adapters are left out because the receiver has acknowledged them.
    #[prost(bool, tag = "6")]
    pub is_unchanged: bool,
    /// Versions of the resident base models, in their order.
    #[prost(uint64, repeated, tag = "7")]
    pub model_versions: Vec<u64>,
}

/// Use of one adapter at one upstream.
#[derive(Clone, PartialEq, Message)]
pub struct AdapterUsage {
    /// Name of the upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// The adapter, as `model/adapter`.
    #[prost(string, tag = "2")]
    pub adapter: String,
    /// Number of requests that were sent since the previous message.
    #[prost(uint32, tag = "3")]
    pub count: u32,
    /// Number of requests in flight.
    #[prost(uint32, tag = "4")]
    pub running: u32,
}
