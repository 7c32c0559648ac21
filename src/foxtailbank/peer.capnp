@0xb5a1c7d2e93f4068;
# Messages between entry VMs. Fields and union members are only ever appended.

struct Envelope {
  schemaVersion @0 :UInt16;
  correlation @1 :UInt64;   # 0 for a notice
  isReply @2 :Bool;
  union {
    hello @3 :Hello;
    ping @4 :Ping;
    done @5 :Done;
    unsupported @6 :Unsupported;
    refused @7 :Refused;
    heartbeat @8 :Heartbeat;
    catalogueRecords @9 :Records;
    ledgerRecords @10 :Records;
    recordsRequest @11 :RecordsRequest;
    snapshotRequest @12 :SnapshotRequest;
    snapshotPart @13 :SnapshotPart;
    onlineDispatched @14 :OnlineDispatched;
    quarantineMark @15 :QuarantineMark;
    drainNotice @16 :DrainNotice;
    shareRequest @17 :ShareRequest;
    shareGrant @18 :ShareGrant;
    cancelNotice @19 :CancelNotice;
    payloadRequest @20 :PayloadRequest;
    payload @21 :Payload;
    report @22 :Report;
    shareReturn @23 :ShareReturn;
    shareEpochQuery @24 :ShareEpochQuery;
    shareEpochApplied @25 :ShareEpochApplied;
  }
}

struct Hello {
  vmId @0 :Text;
  zone @1 :Text;
  incarnation @2 :UInt64;
  schemaVersion @3 :UInt16;
}
struct Ping {}
struct Done {}
struct Unsupported { schemaVersion @0 :UInt16; }
struct Refused { code @0 :Text; detail @1 :Text; retryAfterMs @2 :UInt32; }

struct MemberRecord {
  vmId @0 :Text;
  zone @1 :Text;
  address @2 :Text;
  incarnation @3 :UInt64;
  revision @4 :UInt32;
  status @5 :UInt8;
}

struct Fact {
  kind @0 :UInt8;
  subject @1 :Text;
  version @2 :UInt64;
  remainingMs @3 :UInt32;
  isCleared @4 :Bool;
}

struct PoolLoad {
  pool @0 :Text;
  inFlight @1 :UInt32;
  capacity @2 :UInt32;
}

struct ZoneDigest {
  zone @0 :Text;
  count @1 :UInt16;
  viewHash @2 :UInt64;
  catalogueOffset @3 :Int64;
}

struct ZoneAge { zone @0 :Text; ageMs @1 :UInt32; }

struct Heartbeat {
  kind @0 :UInt8;
  sender @1 :MemberRecord;
  sequence @2 :UInt64;
  recipient @3 :Text;
  recipientIncarnation @4 :UInt64;
  echo @5 :UInt64;
  subject @6 :MemberRecord;
  updates @7 :List(MemberRecord);
  facts @8 :List(Fact);
  loads @9 :List(PoolLoad);
  digests @10 :List(ZoneDigest);
  contacts @11 :List(ZoneAge);
  catalogueOffset @12 :Int64;
  ledgerOffset @13 :Int64;
  viewZone @14 :Text;
  afterId @15 :Text;
  throughId @16 :Text;
  factsHash @17 :UInt64;
}

struct Record { offset @0 :Int64; data @1 :Data; }
struct Records { fromOffset @0 :Int64; records @1 :List(Record); endOffset @2 :Int64; }
struct RecordsRequest { stream @0 :Text; fromOffset @1 :Int64; maxBytes @2 :UInt32; }
struct SnapshotRequest { stream @0 :Text; index @1 :UInt32; }
struct SnapshotPart {
  stream @0 :Text;
  coversOffset @1 :Int64;
  index @2 :UInt32;
  count @3 :UInt32;
  digest @4 :UInt64;
  content @5 :Data;
}
struct OnlineDispatched { endpointId @0 :Text; count @1 :Int32; }
struct QuarantineMark { fingerprint @0 :Text; remainingMs @1 :UInt32; reason @2 :Text; }
struct DrainNotice { endpointId @0 :Text; remainingMs @1 :UInt32; }
struct ShareRequest {
  limitKey @0 :Text;
  loanId @1 :Text;
  units @2 :UInt64;
  attempt @3 :UInt32;
}
struct ShareGrant {
  limitKey @0 :Text;
  loanId @1 :Text;
  units @2 :UInt64;
  loanMs @3 :UInt32;
  attempt @4 :UInt32;
}
struct ShareReturn { limitKey @0 :Text; loanId @1 :Text; }
struct ShareEpochQuery { epoch @0 :UInt64; }
struct ShareEpochApplied { holderId @0 :Text; epoch @1 :UInt64; }
struct CancelNotice { jobId @0 :Text; }
struct PayloadRequest { offset @0 :Int64; firstByte @1 :UInt64; maxBytes @2 :UInt32; }
struct Payload {
  offset @0 :Int64;
  firstByte @1 :UInt64;
  totalBytes @2 :UInt64;
  isFound @3 :Bool;
  content @4 :Data;
}
struct Report { name @0 :Text; content @1 :Data; }
