// What routers say to each other. Generated code is committed in gen-cpp/; make it again with
// scripts/generate after a change here.
namespace cpp gentianloom.wire

/** Standing of a router as another one sees it. Higher overrides lower at the same generation. */
enum Standing {
  ALIVE = 0,
  SUSPECT = 1,
  LEAVING = 2,
  DEAD = 3,
}

/** One piece of news about a router, carried along with probes. */
struct MemberNews {
  1: required string name;
  2: required string incarnation;      // identifier of the run, never used again
  3: required i64 startedMs;           // wall clock at its start; orders runs of one name
  4: required i64 generation;          // raised by the router itself to refute suspicion
  5: required Standing standing;
  6: required string callerAddress;
  7: required string peerAddress;
  8: required string zone;
  9: required i32 loadPermille;        // share of its connections in use
  10: required i64 configurationVersion;
}

/** News about a request that crashes endpoints. */
struct CrashNews {
  1: required string fingerprint;      // of organisation and content
  2: required string endpoint;         // endpoint that went down while it ran
  3: required i64 ageMs;               // age of the observation
  4: required string observation;      // identifier, so that one is counted once
  5: required i32 neighbours;          // other requests on the endpoint at that time
}

/** News that an endpoint is leaving or gone. */
struct EndpointNews {
  1: required string endpoint;
  2: required string state;            // "leaving", "gone" or "back"
  3: required i64 ageMs;
}

/** What goes along with every probe and its answer. */
struct Gossip {
  1: required list<MemberNews> members;
  2: required list<CrashNews> crashes;
  3: required list<EndpointNews> endpoints;
  4: required i64 configurationVersion;
  5: required string configurationDigest;
}

struct ProbeRequest {
  1: required string sender;
  2: required i64 sequence;
  3: required Gossip gossip;
}

struct ProbeAnswer {
  1: required string sender;
  2: required i64 sequence;
  3: required bool reached;            // for a probe on behalf of another: whether it was answered
  4: required Gossip gossip;
}

/** A request for rights to spend of a budget. Idempotent by transferId. */
struct RightsRequest {
  1: required string transferId;
  2: required string budget;
  3: required string takerIncarnation;
  4: required i64 tokens;              // wanted
  5: required i64 least;               // fewer are of no use
}

struct RightsAnswer {
  1: required string transferId;
  2: required string giverIncarnation;
  3: required i64 tokens;              // given; the giver deducted them before it answered
  4: required i64 stillFree;           // what the giver has left, so that the taker may ask elsewhere
}

struct ConfigurationRequest {
  1: required i64 haveVersion;
  2: required list<string> haveChunks; // digests of chunks that the asker holds
}

struct ConfigurationChunk {
  1: required string digest;
  2: required binary content;
}

struct ConfigurationAnswer {
  1: required i64 version;
  2: required string head;             // the head record as stored
  3: required list<ConfigurationChunk> chunks; // those the asker does not hold
}

/** A copy of a bill kept by a peer in another zone until the key-value service has it. */
struct BillCopy {
  1: required string requestId;
  2: required string budget;
  3: required string organisation;
  4: required string model;
  5: required string holderIncarnation;
  6: required i64 promptTokens;
  7: required i64 outputTokens;
  8: required i64 reservedTokens;
}

/** A call that the peer refuses; carries the stable number of the error. */
exception PeerError {
  1: required i32 code;
  2: required string text;
}

service Peer {
  ProbeAnswer Probe(1: ProbeRequest request) throws (1: PeerError error),
  ProbeAnswer ProbeFor(1: ProbeRequest request, 2: string target) throws (1: PeerError error),
  RightsAnswer AskRights(1: RightsRequest request) throws (1: PeerError error),
  ConfigurationAnswer FetchConfiguration(1: ConfigurationRequest request) throws (1: PeerError error),
  void KeepBills(1: list<BillCopy> bills) throws (1: PeerError error),
  list<BillCopy> FindBills(1: list<string> requestIds) throws (1: PeerError error),
}
