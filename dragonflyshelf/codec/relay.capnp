@0xb7c2d0f7f0a9e31c;

# Frames between instances. Field names are the camel case forms of the
# fields of the dataclasses that codec/relay.py maps to these structs.

struct KnownRevision {
  kind @0 :Text;
  revision @1 :UInt64;
}

struct Borrowing {
  workspace @0 :Text;
  tokens @1 :UInt32;
}

struct Borrow {
  borrowings @0 :List(Borrowing);
}

struct Lending {
  workspace @0 :Text;
  tokens @1 :UInt32;
  wait @2 :Float64;
}

struct Lend {
  lendings @0 :List(Lending);
}

struct RangeLoad {
  service @0 :Text;
  first @1 :UInt32;
  rate @2 :Float64;
}

struct Address {
  host @0 :Text;
  port @1 :UInt16;
}

struct Pace {
  life @0 :Text;
  seconds @1 :Float32;
  answers @2 :Float32;
}

struct OutcomeSum {
  service @0 :Text;
  route @1 :Text;
  life @2 :Text;
  sent @3 :UInt32;
  answers @4 :UInt32;
  failures @5 :UInt32;
  times @6 :List(UInt32);
}

struct Ask {
  instance @0 :Text;
  dataCentre @1 :Text;
  address @2 :Address;
  number @3 :UInt64;
  known @4 :List(KnownRevision);
  loads @5 :List(RangeLoad);
  members @6 :List(Text);
  paces @7 :List(Pace);
  acceptsCompressed @8 :Bool;
  receivedCount @9 :Int64 = -1;
  acceptsDeltas @10 :Bool;
  news @11 :List(Change);
  isSmall @12 :Bool;
  outcomes @13 :List(OutcomeSum);
}

struct Change {
  name @0 :Text;
  revision @1 :UInt64;
  removed @2 :Bool;
  spec @3 :Data;
  compressed @4 :Bool;
  isDelta @5 :Bool;
}

struct Kind {
  kind @0 :Text;
  revision @1 :UInt64;
  age @2 :Float64;
  whole @3 :Bool;
  changes @4 :List(Change);
  since @5 :UInt64;
}

struct Update {
  number @0 :UInt64;
  kinds @1 :List(Kind);
  instances @2 :List(Text);
  relay @3 :Address;
  age @4 :Float64 = inf;
  servesSlots @5 :Bool;
}

struct SlotRequest {
  number @0 :UInt64;
  service @1 :Text;
  objective @2 :Float32;
  remaining @3 :Float32;
  shardKey @4 :Int32 = -1;
  priority @5 :UInt8;
  workspace @6 :Text;
  patience @7 :Float32;
  objectiveLeft @8 :Float32;
}

struct SlotAssignment {
  number @0 :UInt64;
  incarnation @1 :Text;
  servesHolders @2 :Bool;
  isQueued @3 :Bool;
  retryAfter @4 :Float32;
}

struct LoadReport {
  running @0 :UInt32;
  waiting @1 :UInt32;
  slots @2 :UInt32;
  slowdown @3 :Float32;
}

struct SlotReport {
  number @0 :UInt64;
  result @1 :Text;
  seconds @2 :Float32;
  report @3 :LoadReport;
  isTurnedAway @4 :Bool;
}

struct SlotInUse {
  number @0 :UInt64;
  service @1 :Text;
  incarnation @2 :Text;
  remaining @3 :Float32;
}

struct Frame {
  union {
    ask @0 :Ask;
    update @1 :Update;
    borrow @2 :Borrow;
    lend @3 :Lend;
    slotRequest @4 :SlotRequest;
    slotAssignment @5 :SlotAssignment;
    slotReport @6 :SlotReport;
    slotInUse @7 :SlotInUse;
  }
}
