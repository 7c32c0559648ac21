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
}

struct Load {
  worker @0 :Text;
  online @1 :UInt16;
  batch @2 :UInt16;
}

struct Mark {
  fingerprint @0 :UInt64;
  worker @1 :Text;
}
