@0xa4d3c1f07be25869;
# News of configuration, replicas and instances that one instance passes on to others near by.

struct News {
  changes @0 :List(Change);
  revision @1 :UInt64;
  # Up to which the sender knows the changes.
  sourceAgeMs @2 :UInt32;
  # How long ago the sender last heard from the source.
  lost @3 :Bool;
  # The sender does not know the changes since the position asked for.
  era @4 :UInt64;
  # Of the revision; rises when the source returns from a copy.
}

struct Change {
  key @0 :Text;
  content @1 :Data;
  # The value as the source holds it, by zlib where that is shorter.
  revision @2 :UInt64;
  removed @3 :Bool;
  compressed @4 :Bool;
  era @5 :UInt64;
  lease @6 :UInt64;
  # With which the key ends; 0: none, or not known.
}
