// SPDX-License-Identifier: Apache-2.0
// What the cell keeps in the platform's store: its keys, and its values to and from bytes.
#pragma once

#include "valveshelf/cell_state.h"
#include "valveshelf/errors.h"

#include <string>
#include <utility>
#include <vector>

namespace valveshelf::sched {

/// Everything of the cell lies under this prefix.
inline constexpr std::string_view CellPrefix = "vs/";
/// Watched by every process: the scheduler of the moment and the roster.
inline constexpr std::string_view ViewPrefix = "vs/cell/";
inline constexpr std::string_view LeaderKey = "vs/cell/leader";
inline constexpr std::string_view RosterKey = "vs/cell/roster";
/// Watched by the scheduler: an entry for each process.
inline constexpr std::string_view MemberPrefix = "vs/member/";
/// The highest term any scheduler has had; never removed.
inline constexpr std::string_view TermKey = "vs/term";
/// Watched by the scheduler: what callers handed in.
inline constexpr std::string_view IntakePrefix = "vs/in/";
inline constexpr std::string_view JobPrefix = "vs/in/job/";
inline constexpr std::string_view CancelPrefix = "vs/in/cancel/";
/// Written and, at a takeover, read by the scheduler.
inline constexpr std::string_view RunPrefix = "vs/run/";
inline constexpr std::string_view ProgressPrefix = "vs/run/progress/";
inline constexpr std::string_view WorkerRecordPrefix = "vs/run/worker/";

/// What stands behind the prefix of a key.
std::string keySuffix(const std::string &Key, std::string_view Prefix);
std::string jobKey(JobId Id);
std::string cancelKey(JobId Id);
std::string progressKey(JobId Id);
std::string workerKey(const std::string &Id);
std::string memberKey(const std::string &Name);
/// The job that a key under one of the prefixes belongs to.
std::optional<JobId> jobIdFromKey(std::string_view Key, std::string_view Prefix);

/// A job as the store has it: whole while it is live, only its end afterwards.
struct StoredJob {
  JobSpec Spec;
  JobPhase Phase = JobPhase::Live;
  WallTime EndedAt{};
};
std::string encodeJob(const JobSpec &Spec);
std::string encodeEndedJob(const JobSpec &Spec, JobPhase Phase, WallTime EndedAt);
Result<StoredJob> decodeJob(const std::string &Bytes);

using SavedSteps = std::vector<std::pair<StepKey, std::vector<SavedTask>>>;
std::string encodeProgress(const Job &Of);
Result<SavedSteps> decodeProgress(JobId Id, const std::string &Bytes);

struct Member {
  std::string Name;
  Endpoint Peers;
  std::string Zone;
  double Power = 0; ///< Cores it may use; the strongest schedules.
  friend bool operator==(const Member &, const Member &) = default;
};
std::string encodeMember(const Member &Value);
Result<Member> decodeMember(const std::string &Bytes);

/// The members that all others know; the scheduler writes it.
struct Roster {
  std::vector<Member> Members;
  uint32_t Processes = 0; ///< In the cell, roughly; 0: nobody has counted yet.
};
std::string encodeRoster(const Roster &Value);
Result<Roster> decodeRoster(const std::string &Bytes);

/// The process that schedules, and its term, which is its fence.
struct Leader {
  std::string Name;
  Endpoint Peers;
  uint64_t Term = 0;
};
std::string encodeLeader(const Leader &Value);
Result<Leader> decodeLeader(const std::string &Bytes);

/// What the scheduler knows of a job, as JSON for people: its steps, what they wait for and since
/// when, what advice said, where its tasks are. Empty if there is no such live job.
std::string explainJob(const CellState &Cell, JobId Id, TimePoint Now);

std::string encodeWorkerRecord(const WorkerInfo &Info);
Result<WorkerInfo> decodeWorkerRecord(const std::string &Id, const std::string &Bytes);

} // namespace valveshelf::sched
