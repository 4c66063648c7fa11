@0xb8f1d0c26a3e9547;
# Parts of a query that one instance hands to another one near their replicas, and what comes back.
# Times are milliseconds; a deadline travels as the time that remains, since clocks are not shared.

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
  # When to come back with what there is by then.
  timeLeftMs @12 :Float32;
  dataCentre @13 :Text;
  # Of the instances that the parts are handed to; all of them keep to the same replicas.
  again @14 :Bool;
  # Another of them may have sent the parts before: one send each is left.
  bound @15 :Bool;
  regions @16 :List(Text);
  # Where bound, the only regions whose replicas may get the parts.
}

struct Answer {
  records @0 :Data;
  # The greatest of all answered shards.
  answered @1 :List(Signed);
  failed @2 :List(Failed);
  # Shards in neither list come in a later answer of the same batch.
  spentMs @3 :Float32;
  first @4 :Bool;
}

struct Signed { shard @0 :UInt16; signature @1 :Data; }
struct Failed { shard @0 :UInt16; reason @1 :Text; mayHaveRun @2 :Bool; }
