// SPDX-License-Identifier: Apache-2.0
// Applies journal records to the state of a shard, and builds the snapshot that restores it.
#include "valveshelf/shard_state.h"

#include <array>

namespace valveshelf {
namespace {

// Queue position, lowest first: time of acceptance plus a delay by class, or the latest start for
// the deadline if that is earlier. Later arrivals get higher positions, so that no task starves.
double queueKeyOf(const JobSpec &Spec) {
  constexpr std::array<double, 4> ClassDelaySeconds{-3600.0, 0.0, 10.0, 600.0};
  const double Accepted = std::chrono::duration<double>(Spec.Accepted.time_since_epoch()).count();
  const double Usual = Accepted + ClassDelaySeconds.at(static_cast<size_t>(Spec.Class));
  if (Spec.FinishBy == WallTime{})
    return Usual;
  // Allows for run times up to twice the estimate.
  const auto LatestStart = Spec.FinishBy - 2 * Spec.RunTime;
  const double Latest = std::chrono::duration<double>(LatestStart.time_since_epoch()).count();
  return std::min(Usual, Latest);
}

// Adds a booking to the usage of its team and partner, or subtracts it if \p Sign is negative.
void countUse(ShardState &State, const JobSpec &Spec, const Resources &Amount, int Sign) {
  for (const std::string &Key : {teamKey(Spec), Spec.Partner}) {
    Resources &Use = State.TeamUse[Key];
    if (Sign > 0)
      Use += Amount;
    else
      Use -= Amount;
    if (Use == Resources{})
      State.TeamUse.erase(Key);
  }
}

void unbook(ShardState &State, AssignedTask &Task) {
  if (Task.Worker.empty())
    return;
  countUse(State, *Task.Spec, Task.Booked, -1);
  const auto Found = State.Workers.find(Task.Worker);
  if (Found != State.Workers.end()) {
    Found->second->Booked -= Task.Booked;
    Found->second->AssignedTasks.erase(Task.Key);
    refreshCandidate(State, *Found->second);
  }
  Task.Worker.clear();
  Task.Booked = {};
}

WorkerState &workerOf(ShardState &State, const std::string &WorkerName) {
  auto &Worker = State.Workers[WorkerName];
  if (!Worker) {
    Worker = std::make_unique<WorkerState>();
    Worker->Box.Name = WorkerName;
    Worker->CandidateIndex = static_cast<uint32_t>(State.Candidates.size());
    State.Candidates.push_back({{}, {}, Worker.get(), false});
    State.SelectorCache.clear();
  }
  return *Worker;
}

void book(ShardState &State, AssignedTask &Task, const std::string &WorkerName) {
  unbook(State, Task);
  Task.Worker = WorkerName;
  Task.Booked = Task.Spec->Size;
  WorkerState &Worker = workerOf(State, WorkerName);
  Worker.Booked += Task.Booked;
  Worker.AssignedTasks.insert(Task.Key);
  countUse(State, *Task.Spec, Task.Booked, 1);
  refreshCandidate(State, Worker);
}

void enqueue(ShardState &State, AssignedTask &Task, TimePoint Now) {
  Task.Phase = AssignedPhase::Queued;
  Task.Uncertainty = StartUncertainty::None;
  Task.CallInFlight = false;
  Task.QueuedSince = Now;
  State.Dirty.insert(Task.Key);
  Task.QueueKey = queueKeyOf(*Task.Spec);
  State.Queue.insert({Task.QueueKey, Task.Key});
}

AssignedTask *findAssignedTask(ShardState &State, const wire::TaskKey &Key) {
  const auto Found = State.AssignedTasks.find({Key.job(), Key.index()});
  return Found == State.AssignedTasks.end() ? nullptr : &Found->second;
}

HomeTask *findTask(ShardState &State, const std::string &Job, uint32_t Index) {
  const auto Found = State.Jobs.find(Job);
  if (Found == State.Jobs.end() || Index >= Found->second.Tasks.size())
    return nullptr;
  return &Found->second.Tasks[Index];
}

void setPhase(HomeJob &Job, HomeTask &Task, HomePhase Phase) {
  const auto Count = [&](HomePhase P) -> uint32_t & {
    return P == HomePhase::Waiting ? Job.Waiting : P == HomePhase::Lent ? Job.Lent : Job.Ended;
  };
  --Count(Task.Phase);
  ++Count(Phase);
  Task.Phase = Phase;
}

// Updates OpenJobs from the job's counts.
void updateOpenJobs(ShardState &State, const HomeJob &Job) {
  if (Job.Ended == Job.Tasks.size())
    State.OpenJobs.erase(Job.Spec->Id);
  else
    State.OpenJobs.insert(Job.Spec->Id);
}

void endTask(HomeJob &Job, HomeTask &Task, TaskOutcome Outcome, std::string Detail, WallTime When) {
  if (Task.Phase == HomePhase::Ended)
    return;
  setPhase(Job, Task, HomePhase::Ended);
  Task.Outcome = Outcome;
  Task.Detail = std::move(Detail);
  Task.Ended = When;
}

void apply(ShardState &State, const wire::JobAccepted &Record, TimePoint) {
  const auto Spec = std::make_shared<const JobSpec>(specFromWire(Record.spec()));
  if (State.Jobs.count(Spec->Id))
    return;
  HomeJob &Job = State.Jobs[Spec->Id];
  Job.Spec = Spec;
  Job.Tasks.resize(Spec->Count);
  Job.Waiting = Spec->Count;
  updateOpenJobs(State, Job);
}

void apply(ShardState &State, const wire::TasksLent &Record, TimePoint Now) {
  for (const uint32_t Index : Record.index()) {
    HomeTask *Task = findTask(State, Record.job(), Index);
    if (!Task || Task->Phase != HomePhase::Waiting)
      continue;
    setPhase(State.Jobs[Record.job()], *Task, HomePhase::Lent);
    Task->Shard = Record.shard();
    Task->Adopted = false;
    Task->LentAt = Now;
    Task->ReportedPhase = "lent";
  }
}

void apply(ShardState &State, const wire::TasksReclaimed &Record, TimePoint) {
  for (int I = 0; I < Record.index_size(); ++I) {
    HomeTask *Task = findTask(State, Record.job(), Record.index(I));
    if (!Task || Task->Phase != HomePhase::Lent)
      continue;
    setPhase(State.Jobs[Record.job()], *Task, HomePhase::Waiting);
    Task->NextAttempt = std::max(Task->NextAttempt, Record.next_attempt(I));
    Task->Adopted = false;
    Task->Worker.clear();
    Task->ReportedPhase = "waiting";
  }
}

void apply(ShardState &State, const wire::TaskEnded &Record, TimePoint) {
  HomeTask *Task = findTask(State, Record.key().job(), Record.key().index());
  if (!Task)
    return;
  HomeJob &Job = State.Jobs[Record.key().job()];
  endTask(Job, *Task, static_cast<TaskOutcome>(Record.outcome()), Record.detail(),
          WallTime(Milliseconds(Record.ended_ms())));
  updateOpenJobs(State, Job);
}

void apply(ShardState &State, const wire::JobCancelled &Record, TimePoint) {
  const auto Found = State.Jobs.find(Record.job());
  if (Found == State.Jobs.end() || Found->second.Cancelled)
    return;
  HomeJob &Job = Found->second;
  Job.Cancelled = true;
  for (HomeTask &Task : Job.Tasks)
    if (Task.Phase == HomePhase::Waiting)
      endTask(Job, Task, TaskOutcome::Cancelled, "cancelled before it was placed", {});
  updateOpenJobs(State, Job);
}

void apply(ShardState &State, const wire::JobResized &Record, TimePoint) {
  const auto Found = State.Jobs.find(Record.job());
  if (Found == State.Jobs.end() || Record.count() <= Found->second.Tasks.size())
    return;
  HomeJob &Job = Found->second;
  auto Spec = std::make_shared<JobSpec>(*Job.Spec);
  Spec->Count = Record.count();
  Job.Spec = Spec;
  Job.Waiting += Record.count() - static_cast<uint32_t>(Job.Tasks.size());
  Job.Tasks.resize(Record.count());
  updateOpenJobs(State, Job);
}

void apply(ShardState &State, const wire::JobForgotten &Record, TimePoint) {
  State.Jobs.erase(Record.job());
  State.OpenJobs.erase(Record.job());
}

void apply(ShardState &State, const wire::PartsAdopted &Record, TimePoint Now) {
  const auto Spec = std::make_shared<const JobSpec>(specFromWire(Record.spec()));
  for (int I = 0; I < Record.index_size(); ++I) {
    const TaskKey Key{Spec->Id, Record.index(I)};
    if (State.AssignedTasks.count(Key))
      continue;
    AssignedTask &Task = State.AssignedTasks[Key];
    Task.Key = Key;
    Task.Spec = Spec;
    Task.Home = Record.home();
    Task.Attempt = Record.next_attempt(I);
    Task.Tries = I < Record.tries_size() ? Record.tries(I) : 0;
    enqueue(State, Task, Now);
  }
}

void apply(ShardState &State, const wire::StartIntent &Record, TimePoint) {
  AssignedTask *Task = findAssignedTask(State, Record.key());
  if (!Task || Task->Phase != AssignedPhase::Queued)
    return;
  State.Queue.erase({Task->QueueKey, Task->Key});
  Task->Phase = AssignedPhase::Starting;
  Task->Attempt = Record.attempt();
  Task->Started = WallTime(Milliseconds(Record.intent_ms()));
  book(State, *Task, Record.worker());
  State.Dirty.insert(Task->Key);
}

void apply(ShardState &State, const wire::StartVoid &Record, TimePoint Now) {
  AssignedTask *Task = findAssignedTask(State, Record.key());
  const bool Open =
      Task && (Task->Phase == AssignedPhase::Starting || Task->Phase == AssignedPhase::Running);
  if (!Open || Task->Attempt != Record.attempt())
    return;
  unbook(State, *Task);
  Task->Attempt = Record.attempt() + 1;
  Task->Tries += Record.counts_as_try() ? 1 : 0;
  Task->Detail = Record.why();
  enqueue(State, *Task, Now);
}

void apply(ShardState &State, const wire::PartEnded &Record, TimePoint) {
  AssignedTask *Task = findAssignedTask(State, Record.key());
  if (!Task || Task->Phase == AssignedPhase::Ended || Task->Phase == AssignedPhase::Returned)
    return;
  State.Queue.erase({Task->QueueKey, Task->Key});
  // A later attempt must not reuse the number of one that may have been started.
  if (Task->Phase != AssignedPhase::Queued)
    ++Task->Attempt;
  unbook(State, *Task);
  Task->Outcome = static_cast<TaskOutcome>(Record.outcome());
  Task->Phase = Task->Outcome == TaskOutcome::None ? AssignedPhase::Returned : AssignedPhase::Ended;
  Task->Detail = Record.detail();
  Task->Ended = WallTime(Milliseconds(Record.ended_ms()));
  State.Dirty.insert(Task->Key);
}

void apply(ShardState &State, const wire::PartDropped &Record, TimePoint Now) {
  AssignedTask *Task = findAssignedTask(State, Record.key());
  if (!Task)
    return;
  State.Queue.erase({Task->QueueKey, Task->Key});
  unbook(State, *Task);
  State.Dirty.erase(Task->Key);
  State.Tombstones[Task->Key] = {Task->Attempt, Now};
  State.AssignedTasks.erase(TaskKey(Task->Key));
}

void apply(ShardState &State, const wire::ShardReset &, TimePoint) {
  State.Jobs.clear();
  State.OpenJobs.clear();
  State.Dirty.clear();
  State.Queue.clear();
  for (auto &[Key, Task] : State.AssignedTasks)
    unbook(State, Task);
  State.AssignedTasks.clear();
  State.TeamUse.clear();
}

void apply(ShardState &, const wire::ShardReleased &, TimePoint) {}

wire::TaskKey keyToWire(const TaskKey &Key) {
  wire::TaskKey Wire;
  Wire.set_job(Key.Job);
  Wire.set_index(Key.Index);
  return Wire;
}

// Appends the records that rebuild one job of this home shard.
void snapshotJob(uint32_t Shard, const HomeJob &Job, std::vector<wire::Record> &Out) {
  const auto Add = [&]() -> wire::Record & {
    Out.emplace_back().set_shard(Shard);
    return Out.back();
  };
  *Add().mutable_job_accepted()->mutable_spec() = specToWire(*Job.Spec);
  std::map<uint32_t, wire::TasksLent> ByShard;
  wire::TasksReclaimed Attempts;
  for (uint32_t I = 0; I < Job.Tasks.size(); ++I) {
    const HomeTask &Task = Job.Tasks[I];
    if (Task.NextAttempt > 1) {
      Attempts.add_index(I);
      Attempts.add_next_attempt(Task.NextAttempt);
    }
    if (Task.Phase == HomePhase::Lent)
      ByShard[Task.Shard].add_index(I);
    if (Task.Phase == HomePhase::Ended) {
      wire::TaskEnded &Ended = *Add().mutable_task_ended();
      *Ended.mutable_key() = keyToWire({Job.Spec->Id, I});
      Ended.set_outcome(static_cast<int>(Task.Outcome));
      Ended.set_detail(Task.Detail);
      Ended.set_ended_ms(Task.Ended.time_since_epoch().count());
    }
  }
  if (Attempts.index_size() > 0) {
    // Only lent tasks can be reclaimed, so they are lent first.
    wire::TasksLent &Lent = *Add().mutable_tasks_lent();
    Lent.set_job(Job.Spec->Id);
    *Lent.mutable_index() = Attempts.index();
    Attempts.set_job(Job.Spec->Id);
    *Add().mutable_tasks_reclaimed() = Attempts;
  }
  for (auto &[To, Lent] : ByShard) {
    Lent.set_job(Job.Spec->Id);
    Lent.set_shard(To);
    *Add().mutable_tasks_lent() = Lent;
  }
  if (Job.Cancelled)
    Add().mutable_job_cancelled()->set_job(Job.Spec->Id);
}

void snapshotAssignedTask(uint32_t Shard, const AssignedTask &Task,
                          std::vector<wire::Record> &Out) {
  const auto Add = [&]() -> wire::Record & {
    Out.emplace_back().set_shard(Shard);
    return Out.back();
  };
  wire::PartsAdopted &Adopted = *Add().mutable_parts_adopted();
  *Adopted.mutable_spec() = specToWire(*Task.Spec);
  Adopted.set_home(Task.Home);
  Adopted.add_index(Task.Key.Index);
  Adopted.add_next_attempt(Task.Attempt);
  Adopted.add_tries(Task.Tries);
  if (!Task.Worker.empty()) {
    wire::StartIntent &Intent = *Add().mutable_start_intent();
    *Intent.mutable_key() = keyToWire(Task.Key);
    Intent.set_worker(Task.Worker);
    Intent.set_attempt(Task.Attempt);
    Intent.set_intent_ms(Task.Started.time_since_epoch().count());
  }
  if (Task.Phase == AssignedPhase::Ended || Task.Phase == AssignedPhase::Returned) {
    wire::PartEnded &Ended = *Add().mutable_part_ended();
    *Ended.mutable_key() = keyToWire(Task.Key);
    Ended.set_outcome(static_cast<int>(Task.Outcome));
    Ended.set_detail(Task.Detail);
    Ended.set_ended_ms(Task.Ended.time_since_epoch().count());
  }
}

} // namespace

std::string teamKey(const JobSpec &Spec) { return Spec.Partner + "/" + Spec.Team; }

std::string_view phaseName(AssignedPhase Value) {
  constexpr std::array<std::string_view, 5> Names{"queued", "starting", "running", "ended",
                                                  "returned"};
  return Names.at(static_cast<size_t>(Value));
}

std::string_view healthName(WorkerHealth Value) {
  constexpr std::array<std::string_view, 6> Names{"unseen",  "ready",   "lost",
                                                  "suspect", "leaving", "gone"};
  return Names.at(static_cast<size_t>(Value));
}

void applyRecord(ShardState &State, const wire::Record &Record, TimePoint Now) {
  switch (Record.what_case()) {
  case wire::Record::kJobAccepted:
    return apply(State, Record.job_accepted(), Now);
  case wire::Record::kTasksLent:
    return apply(State, Record.tasks_lent(), Now);
  case wire::Record::kTasksReclaimed:
    return apply(State, Record.tasks_reclaimed(), Now);
  case wire::Record::kTaskEnded:
    return apply(State, Record.task_ended(), Now);
  case wire::Record::kJobCancelled:
    return apply(State, Record.job_cancelled(), Now);
  case wire::Record::kJobResized:
    return apply(State, Record.job_resized(), Now);
  case wire::Record::kJobForgotten:
    return apply(State, Record.job_forgotten(), Now);
  case wire::Record::kPartsAdopted:
    return apply(State, Record.parts_adopted(), Now);
  case wire::Record::kStartIntent:
    return apply(State, Record.start_intent(), Now);
  case wire::Record::kStartVoid:
    return apply(State, Record.start_void(), Now);
  case wire::Record::kPartEnded:
    return apply(State, Record.part_ended(), Now);
  case wire::Record::kPartDropped:
    return apply(State, Record.part_dropped(), Now);
  case wire::Record::kShardReset:
    return apply(State, Record.shard_reset(), Now);
  case wire::Record::kShardReleased:
    return apply(State, Record.shard_released(), Now);
  case wire::Record::WHAT_NOT_SET:
    return;
  }
}

std::vector<wire::Record> snapshotOf(const ShardState &State) {
  std::vector<wire::Record> Out;
  Out.emplace_back().set_shard(State.Id);
  Out.back().mutable_shard_reset();
  for (const auto &[Id, Job] : State.Jobs)
    snapshotJob(State.Id, Job, Out);
  for (const auto &[Key, Task] : State.AssignedTasks)
    snapshotAssignedTask(State.Id, Task, Out);
  return Out;
}

void setWorker(ShardState &State, const BoxInfo &Box) {
  WorkerState &Worker = workerOf(State, Box.Name);
  if (Worker.Box == Box)
    return;
  Worker.Box = Box;
  State.SelectorCache.clear();
  refreshCandidate(State, Worker);
}

void setHealth(ShardState &State, WorkerState &Worker, WorkerHealth Health) {
  Worker.Health = Health;
  refreshCandidate(State, Worker);
}

void refreshCandidate(ShardState &State, WorkerState &Worker) {
  PlacementCandidate &Candidate = State.Candidates[Worker.CandidateIndex];
  Candidate.Capacity = Worker.Box.Capacity;
  Candidate.Free = Worker.Box.Capacity - Worker.Booked - Worker.HeldForGangs - Worker.OrphanUsage;
  Candidate.Usable = Worker.Health == WorkerHealth::Ready && !Worker.Box.Leaving;
}

void increaseBooking(ShardState &State, AssignedTask &Task, const Resources &Size) {
  const auto Found = State.Workers.find(Task.Worker);
  if (Found == State.Workers.end())
    return;
  const Resources Grown = componentMax(Task.Booked, Size);
  const Resources More = Grown - Task.Booked;
  Task.Booked = Grown;
  Found->second->Booked += More;
  countUse(State, *Task.Spec, More, 1);
  refreshCandidate(State, *Found->second);
}

wire::Resources resourcesToWire(const Resources &Value) {
  wire::Resources Wire;
  Wire.set_milli_cores(Value.MilliCores);
  Wire.set_memory_mb(Value.MemoryMb);
  Wire.set_accelerators(Value.Accelerators);
  return Wire;
}

Resources resourcesFromWire(const wire::Resources &Value) {
  return {Value.milli_cores(), Value.memory_mb(), Value.accelerators()};
}

JobSpec specFromWire(const wire::JobSpec &Wire) {
  JobSpec Spec;
  Spec.Id = Wire.id();
  Spec.Partner = Wire.partner();
  Spec.Team = Wire.team();
  Spec.Kind = static_cast<JobKind>(Wire.kind());
  Spec.Class = static_cast<JobClass>(Wire.priority());
  Spec.Count = Wire.count();
  Spec.Size = resourcesFromWire(Wire.size());
  Spec.BoxSelector = Wire.selector();
  Spec.Labels = {Wire.labels().begin(), Wire.labels().end()};
  Spec.Repeatable = Wire.repeatable();
  Spec.RunTime = Milliseconds(Wire.run_time_ms());
  Spec.FinishBy = WallTime(Milliseconds(Wire.finish_by_ms()));
  Spec.MaxTries = Wire.max_tries();
  Spec.Checkpointable = Wire.checkpointable();
  Spec.Accepted = WallTime(Milliseconds(Wire.accepted_ms()));
  return Spec;
}

wire::JobSpec specToWire(const JobSpec &Spec) {
  wire::JobSpec Wire;
  Wire.set_id(Spec.Id);
  Wire.set_partner(Spec.Partner);
  Wire.set_team(Spec.Team);
  Wire.set_kind(static_cast<int>(Spec.Kind));
  Wire.set_priority(static_cast<int>(Spec.Class));
  Wire.set_count(Spec.Count);
  *Wire.mutable_size() = resourcesToWire(Spec.Size);
  Wire.set_selector(Spec.BoxSelector);
  for (const auto &[Key, Value] : Spec.Labels)
    (*Wire.mutable_labels())[Key] = Value;
  Wire.set_repeatable(Spec.Repeatable);
  Wire.set_run_time_ms(Spec.RunTime.count());
  Wire.set_finish_by_ms(Spec.FinishBy.time_since_epoch().count());
  Wire.set_max_tries(Spec.MaxTries);
  Wire.set_checkpointable(Spec.Checkpointable);
  Wire.set_accepted_ms(Spec.Accepted.time_since_epoch().count());
  return Wire;
}

} // namespace valveshelf
