@0xd2e86b1f94a7c053;
# Requests that crash replicas, as one instance reports them to another. Times are ages in
# milliseconds, since instances have no common clock.

struct Suspects {
  requests @0 :List(Suspect);
  wantsAll @1 :Bool;
  # The sender asks for all requests that the receiver withholds.
}

struct Suspect {
  content @0 :Data;
  # The request's fingerprint.
  ends @1 :List(End);
  # Crashes of replicas that had the request.
  answeredAgeMs @2 :UInt32 = 0xffffffff;
  # The largest value: never.
  quarantinedAgeMs @3 :UInt32 = 0xffffffff;
  quarantines @4 :UInt16;
  trialLeftMs @5 :UInt32;
  # Remaining time for which a trial in progress blocks others.
}

struct End { replica @0 :Text; ageMs @1 :UInt32; }
