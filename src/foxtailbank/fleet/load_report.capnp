@0xc2d4e1f07a9b3358;
# Datagrams between the entry VMs of one deployment. Fields are only ever appended.

struct LoadReport {
  vmId @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;      # increases within an incarnation
  stopping @3 :Bool;
  loads @4 :List(Load);     # only workers with requests in flight
  marks @5 :List(Mark);     # recent crash reports
  zone @6 :Text;
  restoring @7 :Bool;       # false in reports of earlier releases
  completions @8 :List(Completion);
  limits @9 :List(Limit);   # only workers that name one
  streams @10 :List(Origin);
  questions @11 :List(UInt64); # streams whose origin the sender asks for
  lostServices @12 :List(Text); # of which the sender reaches no worker
  draining @13 :List(Draining);
  customers @14 :List(CustomerLoad); # those with the most requests in flight
  readsTexts @15 :Bool;     # false in reports of earlier releases
  configuration @16 :UInt32; # mark of the version that was read; 0 if unknown
  configurationAgeMs @17 :UInt16; # since that version was the newest
}

struct Load {
  worker @0 :Text;
  online @1 :UInt16;
  batch @2 :UInt16;
  speed @3 :UInt8;          # see worker_speed; 0 if unknown, as in earlier releases
}

struct Mark {
  fingerprint @0 :UInt64;
  worker @1 :Text;
  crashedWallMs @2 :UInt64; # 0 in reports of earlier releases
  answered @3 :Bool;
  parts @4 :List(UInt64);   # of the prompt, by digest
}

struct Limit {
  worker @0 :Text;
  perS @1 :Float64;         # negative if the worker names no limit any more
  ageMs @2 :UInt32;         # since the answer that said so
  sentCount @3 :UInt64;     # of this incarnation
}

struct Origin {
  service @0 :Text;
  softwareVersion @1 :Text; # empty if unknown
  process @2 :Text;         # only if the version is unknown
  streams @3 :List(UInt64); # that this software began
}

struct Draining {
  process @0 :Text;
  ageMs @1 :UInt32;         # since it first said so
}

struct CustomerLoad {
  key @0 :UInt32;           # digest of service and customer
  online @1 :UInt16;
  batch @2 :UInt16;
}

struct Completion {
  part @0 :UInt64;
  wallMs @1 :UInt64;
}
