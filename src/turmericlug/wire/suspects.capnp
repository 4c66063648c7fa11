@0xd2e86b1f94a7c053;
# Requests under which replicas ended, as one instance tells them to another. Times are ages in
# milliseconds, since clocks are not shared.

struct Suspects {
  requests @0 :List(Suspect);
  wantsAll @1 :Bool;
  # The sender asks for all that the receiver holds back.
}

struct Suspect {
  content @0 :Data;
  # The request's fingerprint.
  ends @1 :List(End);
  answeredAgeMs @2 :UInt32 = 0xffffffff;
  # The greatest value: never.
  quarantinedAgeMs @3 :UInt32 = 0xffffffff;
  quarantines @4 :UInt16;
  trialLeftMs @5 :UInt32;
  # For how long a trial under way keeps out others.
}

struct End { replica @0 :Text; ageMs @1 :UInt32; }
