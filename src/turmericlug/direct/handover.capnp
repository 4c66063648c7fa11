@0xb8f1d0c26a3e9547;
# A batch of a query's parts that one instance hands over to a peer near their replicas, and the
# answers to it. Times are in milliseconds. A deadline is sent as the time left, since instances
# don't share a clock.

struct Header { name @0 :Data; value @1 :Data; }

struct Batch {
  requestId @0 :Data;
  method @1 :Data;
  target @2 :Data;
  headers @3 :List(Header);
  body @4 :Data;
  route @5 :Text;
  goalMs @6 :Float32;
  priority @7 :UInt8;
  maxAttempts @8 :UInt8;
  topRecords @9 :UInt32;
  shards @10 :List(Text);
  answerInMs @11 :Float32;
  # Time after which the peer sends the answers that it has.
  timeLeftMs @12 :Float32;
  dataCentre @13 :Text;
  # Data centre of the peer.
  again @14 :Bool;
  # Another instance there may have sent the parts, which leaves one attempt for each, at one of
  # the shared replicas.
  bound @15 :Bool;
  regions @16 :List(Text);
  # If bound is set, the only regions whose replicas may get the parts.
  organisation @17 :Text;
  # Name of the caller's organisation; empty if it needs none.
  organisationPriority @18 :Int16 = -1;
  # Priority of the organisation; -1: none of its own.
  attemptLimit @19 :UInt8;
  # Largest number of replicas that each part may reach, sent by whichever instance. 0: an earlier
  # build that does not state shared. maxAttempts is for such builds and leaves one replica for
  # the sender, since they ignore shared.
  shared @20 :List(UInt32);
  # Identifiers of the replicas that other instances may send the parts to as well: as many for each
  # shard, in the order of shards. 0: none.
}

struct Answer {
  records @0 :Data;
  # The greatest records of all answered shards.
  answered @1 :List(Signed);
  failed @2 :List(Failed);
  # Shards in neither list follow in a later answer to the same batch.
  spentMs @3 :Float32;
  first @4 :Bool;
  load @5 :Load;
  # Load of the instance that answers.
}

struct Load {
  levelPermille @0 :UInt16 = 1000;
  # Share of all queries that the instance's shards can serve, by the order that all instances use.
  lagMs @1 :UInt16;
  # Delay of a slow iteration of its event loop.
  active @2 :UInt16;
  # Batches and queries that it works on.
  queued @3 :UInt16;
  # Queries and parts that wait there.
}

struct Signed { shard @0 :UInt16; signature @1 :Data; }
struct Failed { shard @0 :UInt16; reason @1 :Text; mayHaveRun @2 :Bool; }
