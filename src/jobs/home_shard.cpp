// SPDX-License-Identifier: Apache-2.0
// The decisions of a job's home shard: accepting the job, lending its tasks to running shards,
// recording their ends, and cancelling.
#include "jobs/decision_tools.h"

#include <algorithm>
#include <span>

namespace valveshelf {
namespace {

// Delay before the restart of a service task that has ended.
constexpr Milliseconds ServiceRestartPause{500};
// Delay before the next attempt to place a gang.
constexpr Milliseconds GangPause{300};

std::vector<uint32_t> waitingTasks(const HomeJob &Job, TimePoint Now) {
  std::vector<uint32_t> Found;
  if (Job.Waiting == 0)
    return Found;
  for (uint32_t I = 0; I < Job.Tasks.size(); ++I)
    if (Job.Tasks[I].Phase == HomePhase::Waiting && Now >= Job.Tasks[I].NotBefore)
      Found.push_back(I);
  return Found;
}

LendEffect lendEffect(const HomeJob &Job, uint32_t Shard, const std::vector<uint32_t> &Indexes) {
  LendEffect Effect{Shard, Job.Spec, Indexes, {}};
  for (const uint32_t Index : Indexes)
    Effect.NextAttempts.push_back(Job.Tasks[Index].NextAttempt);
  return Effect;
}

void lendJob(ShardState &State, Decision &Out, HomeJob &Job, const ShardChooser &Choose,
             TimePoint Now) {
  const std::vector<uint32_t> Waiting = waitingTasks(Job, Now);
  if (Waiting.empty())
    return;
  size_t Next = 0;
  for (const auto &[Shard, Count] : Choose(*Job.Spec, static_cast<uint32_t>(Waiting.size()))) {
    const size_t End = std::min<size_t>(Next + Count, Waiting.size());
    const std::span<const uint32_t> Share(Waiting.data() + Next, End - Next);
    const std::vector<uint32_t> Chosen(Share.begin(), Share.end());
    Next = End;
    if (Chosen.empty())
      continue;
    wire::Record NewRecord;
    wire::TasksLent &Lent = *NewRecord.mutable_tasks_lent();
    Lent.set_job(Job.Spec->Id);
    Lent.set_shard(Shard);
    for (const uint32_t Index : Chosen)
      Lent.add_index(Index);
    Recorder(State, Out, Now).add(std::move(NewRecord));
    Out.Lends.push_back(lendEffect(Job, Shard, Chosen));
  }
}

void resendLends(Decision &Out, HomeJob &Job, const DecisionLimits &Limits, TimePoint Now) {
  std::map<uint32_t, std::vector<uint32_t>> Due;
  for (uint32_t I = 0; I < Job.Tasks.size(); ++I) {
    HomeTask &Task = Job.Tasks[I];
    if (Task.Phase != HomePhase::Lent || Task.Adopted || Now - Task.LentAt < Limits.ResendInterval)
      continue;
    Task.LentAt = Now;
    Due[Task.Shard].push_back(I);
  }
  for (const auto &[Shard, Indexes] : Due)
    Out.Lends.push_back(lendEffect(Job, Shard, Indexes));
}

void reclaim(ShardState &State, Decision &Out, const wire::PartStatus &Status, TimePoint Now) {
  wire::Record NewRecord;
  wire::TasksReclaimed &Reclaimed = *NewRecord.mutable_tasks_reclaimed();
  Reclaimed.set_job(Status.key().job());
  Reclaimed.add_index(Status.key().index());
  // Above every attempt known to that shard, so that it ignores late copies of the old lend.
  Reclaimed.add_next_attempt(Status.attempt() + 1);
  Recorder(State, Out, Now).add(std::move(NewRecord));
}

void recordTaskEnd(ShardState &State, Decision &Out, const TaskKey &Key, TaskOutcome Outcome,
                   const std::string &Detail, WallTime When, TimePoint Now) {
  wire::Record NewRecord;
  wire::TaskEnded &Ended = *NewRecord.mutable_task_ended();
  *Ended.mutable_key() = wireKey(Key);
  Ended.set_outcome(static_cast<int>(Outcome));
  Ended.set_detail(Detail);
  Ended.set_ended_ms(When.time_since_epoch().count());
  Recorder(State, Out, Now).add(std::move(NewRecord));
  Out.Notices.push_back(
      {&events::TaskEnded, toString(Key), std::string(outcomeName(Outcome)) + " " + Detail});
}

void onTaskStatus(ShardState &State, Decision &Out, HomeJob &Job, HomeTask &Task,
                  const wire::PartStatus &Status, TimePoint Now, WallTime Wall) {
  const auto Phase = static_cast<AssignedPhase>(Status.phase());
  const TaskKey Key{Status.key().job(), Status.key().index()};
  Task.Adopted = true;
  Task.ReportedPhase = std::string(phaseName(Phase));
  Task.Worker = Status.worker();
  Task.Started = WallTime(Milliseconds(Status.started_ms()));
  if (Phase != AssignedPhase::Ended && Phase != AssignedPhase::Returned)
    return;
  const auto Outcome = static_cast<TaskOutcome>(Status.outcome());
  const bool RunsAgain = Phase == AssignedPhase::Returned ||
                         (Job.Spec->Kind == JobKind::Service && Outcome != TaskOutcome::Cancelled);
  if (RunsAgain && Job.Cancelled)
    return recordTaskEnd(State, Out, Key, TaskOutcome::Cancelled, "cancelled while it moved", Wall,
                         Now);
  if (!RunsAgain)
    return recordTaskEnd(State, Out, Key, Outcome, Status.detail(),
                         WallTime(Milliseconds(Status.ended_ms())), Now);
  reclaim(State, Out, Status, Now);
  if (Phase == AssignedPhase::Ended)
    Task.NotBefore = Now + ServiceRestartPause;
}

} // namespace

Decision acceptJob(ShardState &State, const JobSpec &Spec, TimePoint Now) {
  Decision Out;
  wire::Record NewRecord;
  *NewRecord.mutable_job_accepted()->mutable_spec() = specToWire(Spec);
  Recorder(State, Out, Now).add(std::move(NewRecord));
  return Out;
}

Decision lendWaiting(ShardState &State, const ShardChooser &Choose, bool Resend,
                     const DecisionLimits &Limits, TimePoint Now) {
  Decision Out;
  for (const std::string &Id : State.OpenJobs) {
    HomeJob &Job = State.Jobs.at(Id);
    const bool Gang = Job.Spec->Kind == JobKind::Gang;
    if (Job.Waiting > 0 && !Job.Cancelled && (!Gang || Now >= Job.GangNotBefore)) {
      Job.GangNotBefore = Now + GangPause;
      lendJob(State, Out, Job, Choose, Now);
    }
    if (Resend && Job.Lent > 0)
      resendLends(Out, Job, Limits, Now);
  }
  return Out;
}

Decision forgetEndedJobs(ShardState &State, const DecisionLimits &Limits, TimePoint Now,
                         WallTime Wall) {
  Decision Out;
  Recorder Record(State, Out, Now);
  std::vector<std::string> Old;
  for (const auto &[Id, Job] : State.Jobs) {
    WallTime Last = Job.Spec->Accepted;
    for (const HomeTask &Task : Job.Tasks)
      Last = std::max(Last, Task.Ended);
    if (Job.Ended == Job.Tasks.size() && Wall - Last >= Limits.EndedJobRetention)
      Old.push_back(Id);
  }
  for (const std::string &Id : Old) {
    wire::Record NewRecord;
    NewRecord.mutable_job_forgotten()->set_job(Id);
    Record.add(std::move(NewRecord));
  }
  return Out;
}

Decision lendOne(ShardState &State, const std::string &Job, const ShardChooser &Choose,
                 TimePoint Now) {
  Decision Out;
  const auto Found = State.Jobs.find(Job);
  if (Found != State.Jobs.end() && !Found->second.Cancelled)
    lendJob(State, Out, Found->second, Choose, Now);
  return Out;
}

void onAdopted(ShardState &State, const LendEffect &Lent) {
  const auto Found = State.Jobs.find(Lent.Spec->Id);
  if (Found == State.Jobs.end())
    return;
  for (size_t I = 0; I < Lent.Indexes.size(); ++I) {
    HomeTask &Task = Found->second.Tasks[Lent.Indexes[I]];
    const bool Same = Task.Phase == HomePhase::Lent && Task.Shard == Lent.Shard &&
                      Task.NextAttempt == Lent.NextAttempts[I];
    if (Same)
      Task.Adopted = true;
  }
}

Decision onReport(ShardState &State, const wire::ReportRequest &Report, TimePoint Now,
                  WallTime Wall) {
  Decision Out;
  for (const wire::PartStatus &Status : Report.status()) {
    const auto Found = State.Jobs.find(Status.key().job());
    if (Found == State.Jobs.end() || Status.key().index() >= Found->second.Tasks.size())
      continue;
    HomeJob &Job = Found->second;
    HomeTask &Task = Job.Tasks[Status.key().index()];
    // A status of an earlier lend is acknowledged and otherwise ignored.
    if (Task.Phase != HomePhase::Lent || Task.Shard != Report.from() ||
        Status.attempt() < Task.NextAttempt)
      continue;
    onTaskStatus(State, Out, Job, Task, Status, Now, Wall);
    if (Job.Ended == Job.Tasks.size())
      Out.Notices.push_back({&events::JobEnded, Job.Spec->Id, ""});
  }
  return Out;
}

Decision cancelJob(ShardState &State, const std::string &Job) {
  Decision Out;
  const auto Found = State.Jobs.find(Job);
  if (Found == State.Jobs.end() || Found->second.Cancelled)
    return Out;
  wire::Record NewRecord;
  NewRecord.mutable_job_cancelled()->set_job(Job);
  Recorder(State, Out, TimePoint{}).add(std::move(NewRecord));
  Out.Notices.push_back({&events::JobCancelled, Job, ""});
  Out.Cancels = pendingCancels(State);
  std::erase_if(Out.Cancels,
                [&](const CancelEffect &Effect) { return Effect.Keys.front().Job != Job; });
  return Out;
}

std::vector<CancelEffect> pendingCancels(const ShardState &State) {
  std::vector<CancelEffect> Due;
  for (const std::string &Id : State.OpenJobs) {
    const HomeJob &Job = State.Jobs.at(Id);
    if (!Job.Cancelled || Job.Lent == 0)
      continue;
    std::map<uint32_t, CancelEffect> ByShard;
    for (uint32_t I = 0; I < Job.Tasks.size(); ++I) {
      const HomeTask &Task = Job.Tasks[I];
      if (Task.Phase != HomePhase::Lent)
        continue;
      ByShard[Task.Shard].Shard = Task.Shard;
      ByShard[Task.Shard].Keys.push_back({Id, I});
    }
    for (auto &[Shard, Effect] : ByShard)
      Due.push_back(std::move(Effect));
  }
  return Due;
}

} // namespace valveshelf
