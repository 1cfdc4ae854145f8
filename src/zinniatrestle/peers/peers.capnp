@0xd3c1f0a7b2e49581;

struct Frame {
  id @0 :UInt64;
  union {
    hello @1 :Hello;
    heartbeat @2 :Heartbeat;
    call @3 :Call;
    answer @4 :Answer;
  }
}

struct Hello {
  host @0 :Text;
  domain @1 :Text;
  boot @2 :Text;
  nonce @3 :Data;
  proof @4 :Data;
}

struct Heartbeat {
  revision @0 :UInt64;
  confirmedMs @1 :UInt64;
  leaving @2 :Bool;
  inProgress @3 :UInt32;
  leavingMinions @4 :List(Text);
  freeSlots @5 :List(ServiceSlots);
}

struct ServiceSlots {
  service @0 :Text;
  free @1 :UInt32;
}

enum Duty {
  pull @0;
  evidence @1;
  burn @2;
  forward @3;
}

struct Call {
  duty @0 :Duty;
  body @1 :Data;
}

struct Answer {
  code @0 :UInt32;
  detail @1 :Text;
  body @2 :Data;
}
