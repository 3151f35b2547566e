@0xd1a6f15e1f0a7c55;

# Frames between instances. Field names are the camel case of the
# dataclass fields that codec/peer.py maps them to.

struct Header {
  name @0 :Data;
  value @1 :Data;
}

struct Hello {
  instance @0 :Text;
  incarnation @1 :UInt64;
}

struct Admitted {
  service @0 :Text;
  workspace @1 :Text;
  priority @2 :Text;
  idempotent @3 :Bool;
  shard @4 :Int32;
  upstream @5 :Text;
}

struct Open {
  exchange @0 :UInt64;
  requestId @1 :Text;
  method @2 :Data;
  target @3 :Data;
  headers @4 :List(Header);
  remainingMs @5 :UInt32;
  hasBody @6 :Bool;
  bodyLength @7 :Int64;
  admitted @8 :Admitted;
}

struct Chunk {
  exchange @0 :UInt64;
  data @1 :Data;
}

struct Exchange {
  exchange @0 :UInt64;
}

struct AnswerHead {
  exchange @0 :UInt64;
  status @1 :UInt16;
  reason @2 :Data;
  headers @3 :List(Header);
}

struct Error {
  code @0 :Text;
  message @1 :Text;
  step @2 :Text;
  peer @3 :Text;
  outcome @4 :Text;
  retryAfter @5 :Float64;
}

struct Failed {
  exchange @0 :UInt64;
  error @1 :Error;
}

struct Credit {
  exchange @0 :UInt64;
  size @1 :UInt32;
}

struct Heartbeat {
  instance @0 :Text;
  incarnation @1 :UInt64;
  version @2 :UInt64;
}

struct RenewalRequest {
  dataCentre @0 :Text;
  instance @1 :Text;
  incarnation @2 :UInt64;
  renewal @3 :UInt64;
  leaving @4 :Bool;
  released @5 :UInt64;
}

struct PromiseRequest {
  dataCentre @0 :Text;
  instance @1 :Text;
  incarnation @2 :UInt64;
  session @3 :UInt64;
  generation @4 :UInt64;
  question @5 :UInt64;
}

struct Promise {
  instance @0 :Text;
  incarnation @1 :UInt64;
  session @2 :UInt64;
  generation @3 :UInt64;
  question @4 :UInt64;
}

struct PromiseRelease {
  instance @0 :Text;
  incarnation @1 :UInt64;
  session @2 :UInt64;
}

struct RelayRequest {
  instance @0 :Text;
  position @1 :UInt64;
}

struct RelayedObject {
  kind @0 :Text;
  name @1 :Text;
  version @2 :UInt64;
  value @3 :Data;
  renewal @4 :Bool;
}

struct RelayedState {
  instance @0 :Text;
  since @1 :UInt64;
  position @2 :UInt64;
  ageMs @3 :UInt32;
  objects @4 :List(RelayedObject);
}

struct BatchLeft {
  batch @0 :UInt64;
  left @1 :UInt64;
}

struct Borrow {
  workspace @0 :Text;
  ask @1 :UInt64;
  needed @2 :UInt32;
  standing @3 :UInt32;
  claim @4 :UInt64;
  closed @5 :List(BatchLeft);
}

struct Lend {
  workspace @0 :Text;
  ask @1 :UInt64;
  batch @2 :UInt64;
  tokens @3 :UInt64;
  wait @4 :Float64;
  claim @5 :UInt64;
}

struct GiveBack {
  workspace @0 :Text;
  claim @1 :UInt64;
  closed @2 :List(BatchLeft);
}

struct ClaimHomes {
  claim @0 :UInt64;
  version @1 :UInt64;
  workspaces @2 :List(Text);
}

struct HeldTokens {
  workspace @0 :Text;
  tokens @1 :UInt64;
}

struct HomesClaimed {
  claim @0 :UInt64;
  held @1 :List(HeldTokens);
}

struct Frame {
  union {
    hello @0 :Hello;
    open @1 :Open;
    bodyChunk @2 :Chunk;
    bodyEnd @3 :Exchange;
    cancel @4 :Exchange;
    answerHead @5 :AnswerHead;
    answerChunk @6 :Chunk;
    answerEnd @7 :Exchange;
    answerFailed @8 :Failed;
    credit @9 :Credit;
    heartbeat @10 :Heartbeat;
    renewalRequest @11 :RenewalRequest;
    promiseRequest @12 :PromiseRequest;
    promise @13 :Promise;
    promiseRelease @14 :PromiseRelease;
    relayRequest @15 :RelayRequest;
    relayedState @16 :RelayedState;
    borrow @17 :Borrow;
    lend @18 :Lend;
    giveBack @19 :GiveBack;
    claimHomes @20 :ClaimHomes;
    homesClaimed @21 :HomesClaimed;
  }
}
