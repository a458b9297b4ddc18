// Messages between daemons. Regenerate with:
//   thrift --gen py:slots -out sardinewharf/daemons/gen sardinewharf/daemons/sardinewharf.thrift

namespace py wire

struct Member {
  1: string daemon,
  2: string address,
  3: string failure_domain,
  4: i64 started,
  5: i64 heartbeat,
  6: i64 configuration_version,
  7: bool draining,
}

struct Death {
  1: binary fingerprint,
  2: string incarnation,
  3: i32 age_ms,
  4: bool was_alone,
}

struct SuspectState {
  1: binary fingerprint,
  2: i32 seen_age_ms,
  3: optional i32 completed_age_ms,
  4: i32 trials,
  5: optional i32 trial_age_ms,
}

struct Leaving {
  1: string endpoint,
  2: string incarnation,
}

struct Load {
  1: string endpoint,
  2: i32 age_ms,
  3: binary report,
}

struct Dispatch {
  1: string endpoint,
  2: i32 tokens,
  3: i32 age_ms,
  4: list<binary> pieces,
}

struct News {
  1: list<Dispatch> dispatches,
}

struct Digest {
  1: list<Member> members,
  2: list<Leaving> leaving,
  3: list<Death> deaths,
  4: list<Load> loads,
  5: list<SuspectState> suspects,
}

struct Shard {
  1: string name,
  2: binary content,
}

struct FetchConfiguration {
  1: list<string> known,
}

struct Configuration {
  1: binary manifest,
  2: list<Shard> shards,
  3: binary vms,
}

struct ClaimBatch {
  1: i32 shard,
  2: list<binary> operations,
  3: i32 remaining_ms,
}

struct ClaimResults {
  1: list<binary> results,
}

struct Request {
  1: i64 number,
  2: optional Digest digest,
  3: optional FetchConfiguration fetch,
  4: optional ClaimBatch claims,
  5: optional News news,
}

struct Reply {
  1: i64 number,
  2: optional Digest digest,
  3: optional Configuration configuration,
  4: optional ClaimResults claims,
  5: optional string error,
}
