@0xa4d3c1f07be25869;
# Changes of configuration, replicas and instances, relayed between the instances of a data centre.

struct News {
  changes @0 :List(Change);
  revision @1 :UInt64;
  # The revision up to which the sender knows all changes.
  sourceAgeMs @2 :UInt32;
  # Time since the source last answered the sender.
  lost @3 :Bool;
  # The sender does not know all changes since the requested position.
  era @4 :UInt64;
  # The era of the revision; increases when the source is restored from a copy.
}

struct Change {
  key @0 :Text;
  content @1 :Data;
  # The raw value as the source holds it, compressed by zlib where that is shorter.
  # Empty for a value that the sender can't read.
  revision @2 :UInt64;
  removed @3 :Bool;
  compressed @4 :Bool;
  era @5 :UInt64;
  lease @6 :UInt64;
  # The lease to which the key is attached; 0: none or unknown.
  refused @7 :Text;
  # Why the sender can't read the value, a keyword; empty if it can. There is no content then.
}
