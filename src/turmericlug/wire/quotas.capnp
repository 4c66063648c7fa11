@0xb1c7f2d94e5a6830;
# Quotas of organisations: reports of one instance to the holder, and the holder's notices. Times are
# durations, since instances have no common clock.

struct Quotas {
  sender @0 :Text;
  # Name of the instance that sends the message.
  start @1 :UInt64;
  # Random number that identifies the start of the instance.
  sequence @2 :UInt64;
  # Grows with each message of this start.
  reports @3 :List(Report);
  notices @4 :List(Notice);
  held @5 :List(Text);
  # In a request: organisations in use that the sender holds as the first, for which it asks for a
  # lease. In the answer: those of them for which the receiver may grant tokens as well.
  version @6 :UInt64;
  # Version of the sender's configuration. 0: it has none, or doesn't state it.
  leaseMs @7 :UInt32;
  # Time for which the sender relies on leases; in an answer, for which its pledges hold. 0: not
  # stated.
  pledges @8 :List(Text);
  # In a request: organisations for whose rates the sender asks for the receiver's part. In the answer:
  # those of them for which it gets it.
}

struct Report {
  organisation @0 :Text;
  used @1 :UInt64;
  usedInWindow @2 :UInt32;
  unreported @3 :UInt32;
  held @4 :UInt32;
  waiting @5 :UInt32;
  wanted @6 :UInt32;
  knownLevelMilli @7 :Int64;
  knownAgeMs @8 :UInt32 = 0xffffffff;
  # The largest value: no level is known.
  knownOrigin @9 :UInt64;
  ratePerS @10 :Float64;
  # The limit in the sender's configuration, with the burst. 0: not stated.
  burst @11 :Float64;
}

struct Notice {
  organisation @0 :Text;
  granted @1 :UInt32;
  leaseMs @2 :UInt32;
  limitedMs @3 :UInt32;
  refuseMs @4 :UInt32;
  levelMilli @5 :Int64;
  origin @6 :UInt64;
  isUnlimited @7 :Bool;
  # The sender knows that there is no limit. Without it, the largest level means that the sender may
  # not know the organisation.
}
