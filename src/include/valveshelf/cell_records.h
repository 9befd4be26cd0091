// SPDX-License-Identifier: Apache-2.0
// Layout of the cell's records in the platform's store: keys, and encoding and decoding of values.
// Used by the scheduler, the roster and the intake of jobs.
#pragma once

#include "valveshelf/cell_state.h"
#include "valveshelf/errors.h"

#include <string>
#include <utility>
#include <vector>

namespace valveshelf::sched {

/// Prefix of all keys of the cell.
inline constexpr std::string_view CellPrefix = "vs/";
/// Watched by every process: the current scheduler and the roster.
inline constexpr std::string_view ViewPrefix = "vs/cell/";
inline constexpr std::string_view LeaderKey = "vs/cell/leader";
inline constexpr std::string_view RosterKey = "vs/cell/roster";
/// Watched by the scheduler: one entry per process.
inline constexpr std::string_view MemberPrefix = "vs/member/";
/// The highest scheduler term so far. Never removed, so that terms are not reused.
inline constexpr std::string_view TermKey = "vs/term";
/// Watched by the scheduler: jobs and cancellations submitted by callers.
inline constexpr std::string_view IntakePrefix = "vs/in/";
inline constexpr std::string_view JobPrefix = "vs/in/job/";
inline constexpr std::string_view CancelPrefix = "vs/in/cancel/";
/// Cancellations of jobs that did not exist, several in a record. Sorts behind `JobPrefix`: a read
/// of all of `IntakePrefix` that finds a job also finds the revocations that were written before.
inline constexpr std::string_view RevocationPrefix = "vs/in/revoked/";
/// Marks of refused jobs. They expire; nothing reads or watches them.
inline constexpr std::string_view RefusalPrefix = "vs/refused/";
/// Written by the scheduler; read by its successor at a takeover.
inline constexpr std::string_view RunPrefix = "vs/run/";
inline constexpr std::string_view ProgressPrefix = "vs/run/progress/";
inline constexpr std::string_view WorkerRecordPrefix = "vs/run/worker/";
/// The snapshot of learned run times.
inline constexpr std::string_view RunTimesKey = "vs/run/runtimes";
/// What a scheduler that ends its term tells the next one of workers that it can't reach.
inline constexpr std::string_view LeaseEndsKey = "vs/run/leases";

/// Returns \p Key without its first `Prefix.size()` characters.
std::string keySuffix(const std::string &Key, std::string_view Prefix);
std::string jobKey(JobId Id);
std::string cancelKey(JobId Id);
std::string refusalKey(JobId Id);
/// Of a record that \p Member writes; \p Number and \p WrittenAt, in milliseconds, make it unique.
std::string revocationKey(const std::string &Member, int64_t WrittenAt, uint64_t Number);
std::string progressKey(JobId Id);
std::string workerKey(const std::string &Id);
std::string memberKey(const std::string &Name);
/// Parses the job id that follows \p Prefix; empty if \p Key has another prefix or no valid id.
std::optional<JobId> jobIdFromKey(std::string_view Key, std::string_view Prefix);

/// A stored job. A live job has its full specification; an ended one only its id, queue,
/// organisation, phase and end time.
struct StoredJob {
  JobSpec Spec;
  JobPhase Phase = JobPhase::Live;
  WallTime EndedAt{};
};
std::string encodeJob(const JobSpec &Spec);
std::string encodeEndedJob(const JobSpec &Spec, JobPhase Phase, WallTime EndedAt);
Result<StoredJob> decodeJob(const std::string &Bytes);

/// The progress of a job, as the scheduler saves it.
struct SavedProgress {
  std::vector<std::pair<StepKey, std::vector<SavedTask>>> Steps;
  SavedServices Services;
};
std::string encodeProgress(const Job &Of);
Result<SavedProgress> decodeProgress(JobId Id, const std::string &Bytes);

/// A process of the cell.
struct Member {
  std::string Name;
  Endpoint Peers; ///< Listens for the other processes of the cell.
  std::string Zone;
  double Power = 0; ///< Cores that it may use; members with more are preferred as scheduler.
  friend bool operator==(const Member &, const Member &) = default;
};
std::string encodeMember(const Member &Value);
Result<Member> decodeMember(const std::string &Bytes);

/// Members that every process of the cell can contact. Written by the scheduler.
struct Roster {
  std::vector<Member> Members;
  uint32_t Processes = 0; ///< Approximate number in the cell; 0: not counted yet.
};
std::string encodeRoster(const Roster &Value);
Result<Roster> decodeRoster(const std::string &Bytes);

/// The current scheduler. Its term is the fencing token that workers check.
struct Leader {
  std::string Name;
  Endpoint Peers;
  uint64_t Term = 0;
};
std::string encodeLeader(const Leader &Value);
Result<Leader> decodeLeader(const std::string &Bytes);

/// Describes a live job as JSON for operators: its steps, what they wait for and for how long,
/// how many workers each placement condition excludes, and the state of each task. Empty if there
/// is no such live job.
std::string explainJob(const CellState &Cell, JobId Id, TimePoint Now);

/// Bound of the snapshot of learned run times.
inline constexpr size_t MaxRunTimesBytes = 64 * 1024;
/// The snapshot has at most `MaxRunTimesBytes`; the workers that deviate least are left out first.
std::string encodeRunTimes(const RunTimeModel &Model, TimePoint Now);
/// Fails if the snapshot can't be decoded or holds impossible values.
Result<RunTimeModel> decodeRunTimes(const std::string &Bytes, TimePoint Now);
/// At most \p Most of the workers learned as slow, slowest first, as a JSON array for operators.
std::string slowestWorkers(const CellState &Cell, size_t Most);

/// Workers that a scheduler could not reach as it ended its term, and for how long after the write
/// of this record their runs may go on at most.
struct LeaseEnds {
  uint64_t Term = 0; ///< Of the scheduler that wrote it.
  std::map<std::string, Milliseconds> Left;
};
/// Bounds the record; the next scheduler waits for the full time for further workers.
inline constexpr size_t MaxLeaseEnds = 2000;
std::string encodeLeaseEnds(const LeaseEnds &Value);
Result<LeaseEnds> decodeLeaseEnds(const std::string &Bytes);

std::string encodeRevocations(const std::vector<Revocation> &Revocations);
Result<std::vector<Revocation>> decodeRevocations(const std::string &Bytes);

std::string encodeWorkerRecord(const WorkerInfo &Info);
Result<WorkerInfo> decodeWorkerRecord(const std::string &Id, const std::string &Bytes);

} // namespace valveshelf::sched
