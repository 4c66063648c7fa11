@0xd1c7b0a5f3e84261;
# Messages between daemons. Each frame contains one Envelope. Times are in milliseconds unless the
# name has another unit; deadlines are sent as remaining time, since clocks are not synchronised.

struct Envelope {
  requestId @0 :UInt64;
  # Set by the sender of a request, strictly increasing on a connection; echoed in its replies.
  union {
    challenge @1 :Challenge;
    hello @2 :Hello;
    welcome @3 :Text;
    rejected @4 :Text;
    ping @5 :Stamp;
    pong @6 :Stamp;
    probe @7 :Probe;
    probeReply @8 :ProbeReply;
    parts @9 :PartsRequest;
    partsReply @10 :PartsReply;
    cancel @11 :Void;
    spread @12 :Spread;
    spreadReply @13 :SpreadReply;
    documents @14 :List(Text);
    documentsReply @15 :List(Document);
    claim @16 :Claim;
    claimReply @17 :ClaimReply;
    status @18 :Void;
    statusReply @19 :Text;
    fault @20 :Text;
    targetLeaving @21 :Text;
    # A target that accepts no new work; sent to the next owners of its service, no reply.
    suspects @22 :Data;
    # Requests that were in flight when targets crashed, encoded as in suspects.capnp; no reply.
  }
}

struct Challenge { protocol @0 :UInt16; nonce @1 :Data; instance @2 :Text; }
struct Hello { protocol @0 :UInt16; proof @1 :Data; instance @2 :Text; incarnation @3 :UInt64; }

struct Stamp {
  # The revisions in force at the sender, and the age of the evidence that they are the newest.
  rulesRevision @0 :UInt64;
  catalogRevision @1 :UInt64;
  evidenceAgeMs @2 :UInt32;
  loadPermille @3 :UInt16;
  storeEra @4 :UInt64;
  # Number of restores of the store from a backup that the sender knows of; 0: unknown.
}

struct Member {
  instance @0 :Text;
  state @1 :State;
  incarnation @2 :UInt64;
  host @3 :Text;
  peersPort @4 :UInt16;
  callersPort @5 :UInt16;
  dataCentre @6 :Text;
  loadPermille @7 :UInt16;
  ready @8 :Bool;
  # Whether it has the newest configuration and may serve callers and own services.
  enum State { alive @0; suspect @1; leaving @2; dead @3; }
}

struct Probe { stamp @0 :Stamp; about @1 :Text; whole @2 :Bool; news @3 :List(Member); }
# With an empty "about" the receiver itself is probed, otherwise it probes the named instance.
struct ProbeReply { stamp @0 :Stamp; reached @1 :Bool; news @2 :List(Member); }

struct PartsRequest {
  queryId @0 :Text;
  snapshot @1 :Text;
  remainingMs @2 :Float32;
  priority @3 :UInt8;
  repeatable @4 :Bool;
  hedge @5 :Bool;
  retries @6 :UInt8;
  caller @7 :Text;
  rulesRevision @8 :UInt64;
  body @9 :Data;
  parts @10 :List(Part);
}

struct Part { number @0 :UInt16; service @1 :Text; shard @2 :Text; }

struct PartsReply { queryId @0 :Text; replies @1 :List(PartReply); }

struct PartReply {
  number @0 :UInt16;
  outcome @1 :Outcome;
  reason @2 :Text;
  snapshot @3 :Text;
  comeBackMs @4 :UInt32;
  body @5 :Data;
  attempts @6 :UInt8;
  waitMs @7 :Float32;
  # Current queueing delay at the owner for a new part of the same caller and priority.
  enum Outcome { answered @0; refused @1; failed @2; snapshotAbsent @3; }
}

struct Document { name @0 :Text; revision @1 :UInt64; text @2 :Text; }

struct Spread {
  stamp @0 :Stamp;
  documents @1 :List(Document);
  members @2 :List(Text);
  remainingMs @3 :UInt32;
  # Time within which the sender expects the confirmations of all members.
}
struct SpreadReply { unconfirmed @0 :List(Text); }

struct Claim {
  operation @0 :Operation;
  key @1 :Text;
  attempt @2 :Text;
  fingerprint @3 :Text;
  createdAtS @4 :UInt64;
  outcome @5 :Text;
  remainingMs @6 :UInt32;
  enum Operation { claim @0; settle @1; release @2; }
}

struct ClaimReply { outcome @0 :Outcome; detail @1 :Text;
  enum Outcome { granted @0; settled @1; open @2; mismatch @3; expired @4; unavailable @5; }
}
