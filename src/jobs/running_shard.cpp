// SPDX-License-Identifier: Apache-2.0
// The decisions of the shard that runs tasks: adopting lent tasks, starting them on workers, and
// tracking them through the workers' reports until they end.
#include "jobs/decision_tools.h"
#include "placement/fit.h"

#include <algorithm>
#include <charconv>

namespace valveshelf {
namespace {

bool isOpen(const AssignedTask &Task) {
  return Task.Phase == AssignedPhase::Starting || Task.Phase == AssignedPhase::Running;
}

AssignedTask *findAssignedTask(ShardState &State, const TaskKey &Key) {
  const auto Found = State.AssignedTasks.find(Key);
  return Found == State.AssignedTasks.end() ? nullptr : &Found->second;
}

WorkerState *findWorker(ShardState &State, const std::string &WorkerName) {
  const auto Found = State.Workers.find(WorkerName);
  return Found == State.Workers.end() ? nullptr : Found->second.get();
}

// Ends or requeues a task that is known not to run any more and left no result.
void resolveLostTask(ShardState &State, Decision &Out, AssignedTask &Task, const std::string &Why,
                     TimePoint Now, WallTime Wall) {
  Recorder Record(State, Out, Now);
  if (Task.CancelWanted)
    return Record.taskEnded(Task, TaskOutcome::Cancelled, Why, Wall);
  if (!Task.Spec->Repeatable)
    return Record.taskEnded(Task, TaskOutcome::Unknown, Why, Wall);
  Record.startVoid(Task, Why, false);
}

// True if few workers fail tasks repeatedly, so that the worker and not the tasks is at fault.
bool mostWorkersHealthy(const ShardState &State, const DecisionLimits &Limits) {
  size_t Ready = 0;
  size_t Failing = 0;
  for (const auto &[Name, Worker] : State.Workers) {
    Ready += Worker->Health == WorkerHealth::Ready ? 1 : 0;
    Failing += Worker->RecentFailures >= Limits.FailuresUntilSuspect ? 1 : 0;
  }
  return Failing <= std::max<size_t>(1, (Ready + Failing) / 3);
}

void markSuspect(ShardState &State, Decision &Out, WorkerState &Worker,
                 const DecisionLimits &Limits, TimePoint Now) {
  if (Worker.Health != WorkerHealth::Ready)
    return;
  setHealth(State, Worker, WorkerHealth::Suspect);
  Worker.ProbeNotBefore = Now + Limits.ProbeInterval;
  Out.Notices.push_back({&events::WorkerSuspected, Worker.Box.Name,
                         std::to_string(Worker.RecentFailures) + " tasks failed in a row"});
}

void onFailed(ShardState &State, Decision &Out, AssignedTask &Task, WorkerState &Worker,
              const std::string &Detail, const DecisionLimits &Limits, TimePoint Now,
              WallTime Wall) {
  ++Worker.RecentFailures;
  Task.FailedOn = Worker.Box.Name;
  const bool BlameWorker =
      Worker.RecentFailures >= Limits.FailuresUntilSuspect && mostWorkersHealthy(State, Limits);
  if (BlameWorker)
    markSuspect(State, Out, Worker, Limits, Now);
  Recorder Record(State, Out, Now);
  if (Task.CancelWanted)
    return Record.taskEnded(Task, TaskOutcome::Cancelled, Detail, Wall);
  const bool TriesLeft = BlameWorker || Task.Tries + 1 < Task.Spec->MaxTries;
  if (!Task.Spec->Repeatable || !TriesLeft)
    return Record.taskEnded(Task, TaskOutcome::Failed, Detail, Wall);
  Record.startVoid(Task, Detail, !BlameWorker);
}

void onSucceeded(ShardState &State, Decision &Out, AssignedTask &Task, WorkerState &Worker,
                 const std::string &Detail, TimePoint Now, WallTime When) {
  Worker.RecentFailures = 0;
  if (Worker.Health == WorkerHealth::Suspect) {
    setHealth(State, Worker, WorkerHealth::Ready);
    Out.Notices.push_back({&events::WorkerCleared, Worker.Box.Name, "a probe succeeded"});
  }
  Recorder(State, Out, Now).taskEnded(Task, TaskOutcome::Succeeded, Detail, When);
}

// Increases the booking of a task that exceeds it if the worker has free capacity; otherwise
// throttles the task, so that other tasks on the worker are not affected.
void enforceBooking(ShardState &State, Decision &Out, AssignedTask &Task, WorkerState &Worker,
                    const TaskReport &Listed) {
  if (fits(Listed.Usage, Task.Booked))
    return;
  const Resources More = componentMax(Task.Booked, Listed.Usage) - Task.Booked;
  if (fits(More, State.Candidates[Worker.CandidateIndex].Free))
    return increaseBooking(State, Task, Listed.Usage);
  Out.Controls.push_back(
      {Worker.Box.Name, Worker.Box.Address, Listed.Id, ControlEffect::Action::Throttle});
  Out.Notices.push_back({&events::TaskContained, toString(Task.Key),
                         "uses " + std::to_string(Listed.Usage.MilliCores) + " milli-cores and " +
                             std::to_string(Listed.Usage.MemoryMb) + " MB"});
}

void onListedRunning(ShardState &State, Decision &Out, AssignedTask &Task, WorkerState &Worker,
                     const TaskReport &Listed, const DecisionLimits &Limits, TimePoint Now) {
  if (Task.Phase == AssignedPhase::Starting) {
    Task.Phase = AssignedPhase::Running;
    State.Dirty.insert(Task.Key);
    // The start request may have arrived just now, long after it was sent.
    Task.LeaseEnds = std::max(Task.LeaseEnds, Now + Limits.TaskLease);
    ++State.Starts;
    Out.Notices.push_back({&events::TaskStarted, toString(Task.Key), Worker.Box.Name});
  }
  Task.Uncertainty = StartUncertainty::None;
  Task.Usage = Listed.Usage;
  enforceBooking(State, Out, Task, Worker, Listed);
  if (Task.CancelWanted)
    Out.Controls.push_back({Worker.Box.Name, Worker.Box.Address, Listed.Id});
}

void onListedEnded(ShardState &State, Decision &Out, AssignedTask &Task, WorkerState &Worker,
                   const TaskReport &Listed, const DecisionLimits &Limits, TimePoint Now,
                   WallTime Wall) {
  Out.Forgets.push_back({Worker.Box.Name, Listed.Id});
  const WallTime When = Listed.Ended == WallTime{} ? Wall : Listed.Ended;
  switch (Listed.Status) {
  case TaskReport::State::Succeeded:
    return onSucceeded(State, Out, Task, Worker, Listed.Detail, Now, When);
  case TaskReport::State::Failed:
    return onFailed(State, Out, Task, Worker, Listed.Detail, Limits, Now, When);
  default:
    return resolveLostTask(State, Out, Task, "stopped on the worker: " + Listed.Detail, Now, When);
  }
}

// Handles one listed task. Tasks that this shard did not start are stopped; until they end, their
// usage reduces the free capacity of the worker.
void onListed(ShardState &State, Decision &Out, WorkerState &Worker, const TaskReport &Listed,
              std::set<TaskKey> &Seen, const DecisionLimits &Limits, TimePoint Now, WallTime Wall) {
  const bool Runs = Listed.Status == TaskReport::State::Running;
  const auto Id = parseWorkerTaskId(Listed.Id);
  AssignedTask *Task = Id ? findAssignedTask(State, Id->first) : nullptr;
  const bool Ours =
      Task && isOpen(*Task) && Task->Attempt == Id->second && Task->Worker == Worker.Box.Name;
  if (Ours) {
    Seen.insert(Task->Key);
    if (Runs)
      return onListedRunning(State, Out, *Task, Worker, Listed, Limits, Now);
    return onListedEnded(State, Out, *Task, Worker, Listed, Limits, Now, Wall);
  }
  if (!Runs) {
    Out.Forgets.push_back({Worker.Box.Name, Listed.Id});
    return;
  }
  Worker.OrphanUsage += componentMax(Listed.Size, Listed.Usage);
  Out.Controls.push_back({Worker.Box.Name, Worker.Box.Address, Listed.Id});
}

// A worker that did not respond may still have a start request in its socket. Only lists requested
// from now on can show that a start was lost.
void resetUncertainty(ShardState &State, const WorkerState &Worker, TimePoint Now) {
  for (const TaskKey &Key : Worker.AssignedTasks) {
    AssignedTask &Task = State.AssignedTasks.at(Key);
    Task.UncertainSince = std::max(Task.UncertainSince, Now);
    Task.ListsWithoutTask = 0;
  }
}

// Handles a task that is booked on the worker but missing from its list.
void onNotListed(ShardState &State, Decision &Out, AssignedTask &Task, bool Restarted,
                 const DecisionLimits &Limits, TimePoint AskedAt, TimePoint Now, WallTime Wall) {
  if (Task.Phase == AssignedPhase::Running) {
    const std::string Why = Restarted ? "the worker restarted and lost it" : "the worker lost it";
    return resolveLostTask(State, Out, Task, Why, Now, Wall);
  }
  const bool IsUncertain =
      Task.Uncertainty == StartUncertainty::Unanswered ||
      (Task.Uncertainty == StartUncertainty::Predecessor && State.PredecessorGone);
  if (!IsUncertain || Task.CallInFlight || AskedAt < Task.UncertainSince + Limits.SettleTime)
    return;
  // Requires two lists from a responding worker after the last byte of the request could have
  // arrived.
  if (++Task.ListsWithoutTask < 2)
    return;
  resolveLostTask(State, Out, Task, "no list of its worker shows the start", Now, Wall);
}

bool mayPlace(const ShardState &State, const AssignedTask &Task, const CellConfig &Config,
              bool StoreUp, const UsedElsewhere &Elsewhere) {
  if (!StoreUp && !Task.Spec->Repeatable)
    return false;
  return !isHeldBack(*Task.Spec, Config) && withinQuota(State, *Task.Spec, Config, Elsewhere);
}

// Returns a suspect worker that is due for a probe and fits the task, or null. Only repeatable
// batch tasks are used as probes.
WorkerState *findWorkerToProbe(ShardState &State, const AssignedTask &Task,
                               const CellConfig &Config, TimePoint Now) {
  if (!Task.Spec->Repeatable || Task.Spec->Class != JobClass::Batch)
    return nullptr;
  const std::vector<char> &Allowed = selectedCandidates(State, *Task.Spec, Config);
  for (size_t I = 0; I < State.Candidates.size(); ++I) {
    WorkerState &Worker = *State.Candidates[I].Worker;
    const bool Due = Worker.Health == WorkerHealth::Suspect && Worker.AssignedTasks.empty() &&
                     Now >= Worker.ProbeNotBefore;
    if (Due && Allowed[I] && fits(Task.Spec->Size, State.Candidates[I].Free))
      return &Worker;
  }
  return nullptr;
}

// Requirements that could not be placed in this round; later tasks with the same ones are skipped.
struct UnplaceableShapes {
  std::set<std::tuple<std::string, std::string, int64_t, int64_t, int64_t>> Shapes;

  static auto shapeOf(const JobSpec &Spec) {
    return std::tuple(Spec.BoxSelector, Spec.Partner, Spec.Size.MilliCores, Spec.Size.MemoryMb,
                      Spec.Size.Accelerators);
  }
};

void recordStart(ShardState &State, Decision &Out, AssignedTask &Task, WorkerState &Worker,
                 const DecisionLimits &Limits, TimePoint Now, WallTime Wall) {
  wire::Record NewRecord;
  wire::StartIntent &Intent = *NewRecord.mutable_start_intent();
  *Intent.mutable_key() = wireKey(Task.Key);
  Intent.set_worker(Worker.Box.Name);
  Intent.set_attempt(Task.Attempt);
  Intent.set_intent_ms(Wall.time_since_epoch().count());
  Recorder(State, Out, Now).add(std::move(NewRecord));
  Task.CallInFlight = true;
  Task.Uncertainty = StartUncertainty::None;
  Task.ListsWithoutTask = 0;
  Task.LeaseEnds = Now + Limits.TaskLease;
  if (Worker.Health == WorkerHealth::Suspect)
    Worker.ProbeNotBefore = Now + Limits.ProbeInterval;
  Out.Starts.push_back({Task.Key, Task.Attempt, Worker.Box.Name, Worker.Box.Address, Task.Spec});
}

} // namespace

std::string workerTaskId(const TaskKey &Key, uint32_t Attempt) {
  return toString(Key) + "#" + std::to_string(Attempt);
}

std::optional<std::pair<TaskKey, uint32_t>> parseWorkerTaskId(std::string_view Id) {
  const auto Slash = Id.rfind('/');
  const auto Hash = Id.rfind('#');
  if (Slash == std::string_view::npos || Hash == std::string_view::npos || Hash < Slash)
    return std::nullopt;
  TaskKey Key{std::string(Id.substr(0, Slash)), 0};
  uint32_t Attempt = 0;
  const auto IndexEnd = std::from_chars(Id.data() + Slash + 1, Id.data() + Hash, Key.Index);
  const auto AttemptEnd = std::from_chars(Id.data() + Hash + 1, Id.data() + Id.size(), Attempt);
  if (IndexEnd.ec != std::errc() || IndexEnd.ptr != Id.data() + Hash)
    return std::nullopt;
  if (AttemptEnd.ec != std::errc() || AttemptEnd.ptr != Id.data() + Id.size())
    return std::nullopt;
  return std::pair(Key, Attempt);
}

Decision adoptTasks(ShardState &State, const wire::LendRequest &Lend, TimePoint Now) {
  Decision Out;
  Recorder Record(State, Out, Now);
  wire::Record NewRecord;
  wire::PartsAdopted &Adopted = *NewRecord.mutable_parts_adopted();
  *Adopted.mutable_spec() = Lend.spec();
  Adopted.set_home(Lend.home());
  for (int I = 0; I < Lend.index_size(); ++I) {
    const TaskKey Key{Lend.spec().id(), Lend.index(I)};
    const uint32_t Attempt = Lend.next_attempt(I);
    const auto Dropped = State.Tombstones.find(Key);
    if (Dropped != State.Tombstones.end() && Attempt <= Dropped->second.Attempt)
      continue;
    if (const AssignedTask *Held = findAssignedTask(State, Key)) {
      // A higher attempt shows that the home shard has recorded the end or return.
      const bool Settled =
          Held->Phase == AssignedPhase::Ended || Held->Phase == AssignedPhase::Returned;
      if (!Settled || Attempt <= Held->Attempt)
        continue;
      wire::Record Drop;
      *Drop.mutable_part_dropped()->mutable_key() = wireKey(Key);
      Record.add(std::move(Drop));
    }
    Adopted.add_index(Key.Index);
    Adopted.add_next_attempt(Attempt);
  }
  if (Adopted.index_size() > 0)
    Record.add(std::move(NewRecord));
  return Out;
}

bool withinQuota(const ShardState &State, const JobSpec &Spec, const CellConfig &Config,
                 const UsedElsewhere &Elsewhere) {
  const auto Partner = Config.Partners.find(Spec.Partner);
  if (Partner == Config.Partners.end())
    return true;
  const auto Fits = [&](const std::string &Key, const Resources &Most) {
    const auto Here = State.TeamUse.find(Key);
    const Resources Used = Here == State.TeamUse.end() ? Resources{} : Here->second;
    return fits(Used + Elsewhere(Key) + Spec.Size, Most);
  };
  const auto Team = Partner->second.TeamQuotas.find(Spec.Team);
  if (Team != Partner->second.TeamQuotas.end() && !Fits(teamKey(Spec), Team->second.Limit))
    return false;
  return Partner->second.Total.Limit == QuotaConfig{}.Limit ||
         Fits(Spec.Partner, Partner->second.Total.Limit);
}

Decision placeQueued(ShardState &State, const CellConfig &Config, bool StoreUp,
                     const UsedElsewhere &Elsewhere, const DecisionLimits &Limits, TimePoint Now,
                     WallTime Wall) {
  Decision Out;
  UnplaceableShapes Unplaceable;
  size_t Scanned = 0;
  for (auto Next = State.Queue.begin(); Next != State.Queue.end();) {
    if (Out.Starts.size() >= Limits.MaxStartsPerRound || ++Scanned > Limits.MaxScannedPerRound)
      break;
    // A start removes only its own entry from the queue.
    const TaskKey Key = Next->second;
    ++Next;
    AssignedTask &Task = State.AssignedTasks.at(Key);
    const auto Shape = UnplaceableShapes::shapeOf(*Task.Spec);
    if (Unplaceable.Shapes.count(Shape) || !mayPlace(State, Task, Config, StoreUp, Elsewhere))
      continue;
    WorkerState *Best = findWorkerToProbe(State, Task, Config, Now);
    if (!Best)
      Best = bestWorker(State, *Task.Spec, Config, Task.FailedOn);
    if (Best)
      recordStart(State, Out, Task, *Best, Limits, Now, Wall);
    else
      Unplaceable.Shapes.insert(Shape);
  }
  return Out;
}

Decision onStartAnswer(ShardState &State, const TaskKey &Key, uint32_t Attempt, StartAnswer Answer,
                       const DecisionLimits &Limits, TimePoint Now) {
  Decision Out;
  AssignedTask *Task = findAssignedTask(State, Key);
  if (!Task || Task->Attempt != Attempt || !isOpen(*Task))
    return Out;
  Task->CallInFlight = false;
  switch (Answer) {
  case StartAnswer::Accepted:
    Task->LeaseEnds = std::max(Task->LeaseEnds, Now + Limits.TaskLease);
    if (Task->Phase == AssignedPhase::Starting) {
      Task->Phase = AssignedPhase::Running;
      State.Dirty.insert(Key);
      ++State.Starts;
      Out.Notices.push_back({&events::TaskStarted, toString(Key), Task->Worker});
    }
    break;
  case StartAnswer::NotSent:
    Recorder(State, Out, Now).startVoid(*Task, "the start was not sent", false);
    break;
  case StartAnswer::Unanswered:
    if (Task->Phase != AssignedPhase::Starting)
      break;
    Task->Uncertainty = StartUncertainty::Unanswered;
    Task->UncertainSince = Now;
    Task->ListsWithoutTask = 0;
    Out.Notices.push_back({&events::TaskUncertain, toString(Key), Task->Worker});
    break;
  }
  return Out;
}

Decision onWorkerReport(ShardState &State, const std::string &WorkerName,
                        const WorkerReport &Report, bool Renewed, const DecisionLimits &Limits,
                        TimePoint AskedAt, TimePoint Now, WallTime Wall) {
  Decision Out;
  WorkerState *Worker = findWorker(State, WorkerName);
  if (!Worker)
    return Out;
  const bool Restarted = !Worker->Incarnation.empty() && Worker->Incarnation != Report.Incarnation;
  const bool WasAway = Worker->Health == WorkerHealth::Unseen ||
                       Worker->Health == WorkerHealth::Lost || Worker->Health == WorkerHealth::Gone;
  if (WasAway || Worker->FailedCalls > 0)
    resetUncertainty(State, *Worker, Now);
  Worker->Incarnation = Report.Incarnation;
  Worker->FailedCalls = 0;
  Worker->LastAnswer = Now;
  Worker->OrphanUsage = {};
  std::set<TaskKey> Seen;
  for (const TaskReport &Listed : Report.Tasks)
    onListed(State, Out, *Worker, Listed, Seen, Limits, Now, Wall);
  const std::vector<TaskKey> Held(Worker->AssignedTasks.begin(), Worker->AssignedTasks.end());
  for (const TaskKey &Key : Held) {
    AssignedTask &Task = State.AssignedTasks.at(Key);
    if (Seen.count(Key)) {
      if (Renewed)
        Task.LeaseEnds = std::max(Task.LeaseEnds, Now + Limits.TaskLease);
      continue;
    }
    // A start confirmed after the list was requested may be missing from it.
    const bool StartedSince = Task.LeaseEnds >= AskedAt + Limits.TaskLease;
    if (!(Task.Phase == AssignedPhase::Running && StartedSince))
      onNotListed(State, Out, Task, Restarted, Limits, AskedAt, Now, Wall);
  }
  if (WasAway) {
    setHealth(State, *Worker, WorkerHealth::Ready);
    Out.Notices.push_back(
        {&events::WorkerBack, WorkerName, std::to_string(Report.Tasks.size()) + " tasks listed"});
  }
  refreshCandidate(State, *Worker);
  return Out;
}

Decision onWorkerCallFailed(ShardState &State, const std::string &WorkerName, bool Renewed,
                            const DecisionLimits &Limits) {
  Decision Out;
  WorkerState *Worker = findWorker(State, WorkerName);
  if (!Worker)
    return Out;
  // The worker may read the lost renewal just before the lease ends, which extends it by one more
  // period. No further renewal is sent until a call without one has succeeded.
  if (Renewed)
    for (const TaskKey &Key : Worker->AssignedTasks)
      State.AssignedTasks.at(Key).LeaseEnds += Limits.TaskLease;
  if (++Worker->FailedCalls < Limits.FailedCallsUntilLost)
    return Out;
  if (Worker->Health == WorkerHealth::Ready || Worker->Health == WorkerHealth::Suspect) {
    setHealth(State, *Worker, WorkerHealth::Lost);
    Out.Notices.push_back({&events::WorkerLost, WorkerName,
                           std::to_string(Worker->AssignedTasks.size()) + " tasks assigned"});
  }
  return Out;
}

Decision onBoxList(ShardState &State, const BoxList &Workers, TimePoint Now, WallTime Wall) {
  Decision Out;
  std::set<std::string> Listed;
  for (const BoxInfo &Box : Workers) {
    Listed.insert(Box.Name);
    setWorker(State, Box);
    WorkerState &Worker = *State.Workers.at(Box.Name);
    if (Worker.Health == WorkerHealth::Gone)
      setHealth(State, Worker, WorkerHealth::Unseen);
    refreshCandidate(State, Worker);
  }
  for (auto &[Name, Worker] : State.Workers) {
    if (Listed.count(Name) || Worker->Health == WorkerHealth::Gone)
      continue;
    // The list lags; a worker that still responds is not gone.
    if (Worker->Health == WorkerHealth::Ready || Worker->Health == WorkerHealth::Suspect)
      continue;
    setHealth(State, *Worker, WorkerHealth::Gone);
    const std::vector<TaskKey> Held(Worker->AssignedTasks.begin(), Worker->AssignedTasks.end());
    for (const TaskKey &Key : Held)
      resolveLostTask(State, Out, State.AssignedTasks.at(Key), "its box is gone", Now, Wall);
  }
  return Out;
}

Decision onTick(ShardState &State, const DecisionLimits &Limits,
                const std::function<bool(const JobSpec &)> &RoomElsewhere, TimePoint Now,
                WallTime Wall) {
  Decision Out;
  std::vector<TaskKey> Lapsed;
  for (const auto &[Name, Worker] : State.Workers) {
    if (Worker->Health != WorkerHealth::Lost || !State.PredecessorGone)
      continue;
    for (const TaskKey &Key : Worker->AssignedTasks) {
      const AssignedTask &Task = State.AssignedTasks.at(Key);
      // An uncertain start may still arrive and begin a new lease, so only confirmed ones expire.
      if (Task.Phase == AssignedPhase::Running && Now >= Task.LeaseEnds + Limits.LeaseMargin)
        Lapsed.push_back(Key);
    }
  }
  for (const TaskKey &Key : Lapsed)
    resolveLostTask(State, Out, State.AssignedTasks.at(Key),
                    "its worker is lost and its lease lapsed", Now, Wall);
  std::vector<TaskKey> Back;
  std::map<decltype(UnplaceableShapes::shapeOf(JobSpec())), bool> Elsewhere;
  size_t Scanned = 0;
  for (const auto &[QueueKey, Key] : State.Queue) {
    if (Back.size() >= Limits.MaxStartsPerRound || ++Scanned > Limits.MaxScannedPerRound)
      break;
    const AssignedTask &Task = State.AssignedTasks.at(Key);
    if (Now - Task.QueuedSince < Limits.ReturnTimeout)
      continue;
    const auto [Known, New] = Elsewhere.try_emplace(UnplaceableShapes::shapeOf(*Task.Spec), false);
    if (New)
      Known->second = RoomElsewhere(*Task.Spec);
    if (Known->second)
      Back.push_back(Key);
  }
  for (const TaskKey &Key : Back)
    Recorder(State, Out, Now)
        .taskEnded(State.AssignedTasks.at(Key), TaskOutcome::None, "no room on this shard", Wall);
  std::vector<std::string> ExpiredHolds;
  for (const auto &[Job, Hold] : State.Holds)
    if (Now >= Hold.ExpiresAt)
      ExpiredHolds.push_back(Job);
  for (const std::string &Job : ExpiredHolds)
    releaseHeldCapacity(State, Job);
  std::erase_if(State.Tombstones, [&](const auto &Entry) {
    return Now - Entry.second.Dropped > Limits.TombstoneRetention;
  });
  return Out;
}

Decision onCancelTasks(ShardState &State, const std::vector<TaskKey> &Keys, WallTime Wall) {
  Decision Out;
  Recorder Record(State, Out, TimePoint{});
  for (const TaskKey &Key : Keys) {
    AssignedTask *Task = findAssignedTask(State, Key);
    if (!Task || Task->Phase == AssignedPhase::Ended || Task->Phase == AssignedPhase::Returned)
      continue;
    if (Task->Phase == AssignedPhase::Queued) {
      Record.taskEnded(*Task, TaskOutcome::Cancelled, "cancelled before it was started", Wall);
      continue;
    }
    Task->CancelWanted = true;
    const WorkerState *Worker = findWorker(State, Task->Worker);
    if (Worker && Task->Phase == AssignedPhase::Running)
      Out.Controls.push_back({Task->Worker, Worker->Box.Address, workerTaskId(Key, Task->Attempt)});
  }
  return Out;
}

Decision dropTasks(ShardState &State, const std::vector<TaskKey> &Keys, TimePoint Now) {
  Decision Out;
  Recorder Record(State, Out, Now);
  for (const TaskKey &Key : Keys) {
    const AssignedTask *Task = findAssignedTask(State, Key);
    if (!Task || (Task->Phase != AssignedPhase::Ended && Task->Phase != AssignedPhase::Returned))
      continue;
    wire::Record NewRecord;
    *NewRecord.mutable_part_dropped()->mutable_key() = wireKey(Key);
    Record.add(std::move(NewRecord));
  }
  return Out;
}

uint32_t holdCapacity(ShardState &State, const JobSpec &Spec, uint32_t Count,
                      const CellConfig &Config, TimePoint ExpiresAt) {
  GangHold Hold{Spec.Size, {}, ExpiresAt};
  uint32_t Held = 0;
  while (Held < Count) {
    WorkerState *Best = bestWorker(State, Spec, Config, "");
    if (!Best)
      break;
    Best->HeldForGangs += Spec.Size;
    ++Hold.Workers[Best->Box.Name];
    refreshCandidate(State, *Best);
    ++Held;
  }
  if (Held > 0)
    State.Holds[Spec.Id] = std::move(Hold);
  return Held;
}

void releaseHeldCapacity(ShardState &State, const std::string &Job) {
  const auto Found = State.Holds.find(Job);
  if (Found == State.Holds.end())
    return;
  for (const auto &[WorkerName, Count] : Found->second.Workers) {
    WorkerState *Worker = findWorker(State, WorkerName);
    if (!Worker)
      continue;
    for (uint32_t I = 0; I < Count; ++I)
      Worker->HeldForGangs -= Found->second.Size;
    refreshCandidate(State, *Worker);
  }
  State.Holds.erase(Found);
}

void onPredecessorGone(ShardState &State, const DecisionLimits &Limits, TimePoint Now) {
  State.PredecessorGone = true;
  for (auto &[Key, Task] : State.AssignedTasks) {
    if (Task.Uncertainty == StartUncertainty::Predecessor)
      Task.UncertainSince = Now;
    // A worker may read the predecessor's last renewal just before the lease ends.
    Task.LeaseEnds = std::max(Task.LeaseEnds, Now + 2 * Limits.TaskLease);
  }
}

void markTakenOver(ShardState &State, bool PredecessorGone, const DecisionLimits &Limits,
                   TimePoint Now) {
  State.PredecessorGone = PredecessorGone;
  for (auto &[Key, Task] : State.AssignedTasks) {
    Task.LeaseEnds = Now + 2 * Limits.TaskLease;
    Task.QueuedSince = Now;
    State.Dirty.insert(Key);
    Task.CallInFlight = false;
    if (Task.Phase != AssignedPhase::Starting)
      continue;
    Task.Uncertainty = StartUncertainty::Predecessor;
    Task.UncertainSince = Now;
    Task.ListsWithoutTask = 0;
  }
  for (auto &[Id, Job] : State.Jobs)
    for (HomeTask &Task : Job.Tasks)
      Task.Adopted = false;
}

namespace {
void addStatus(ShardState &State, const AssignedTask &Task,
               std::map<uint32_t, wire::ReportRequest> &Due) {
  wire::ReportRequest &Report = Due[Task.Home];
  Report.set_home(Task.Home);
  Report.set_from(State.Id);
  wire::PartStatus &Status = *Report.add_status();
  *Status.mutable_key() = wireKey(Task.Key);
  Status.set_phase(static_cast<int>(Task.Phase));
  Status.set_outcome(static_cast<int>(Task.Outcome));
  Status.set_detail(Task.Detail);
  Status.set_worker(Task.Worker);
  Status.set_attempt(Task.Attempt);
  Status.set_ended_ms(Task.Ended.time_since_epoch().count());
  Status.set_started_ms(Task.Started.time_since_epoch().count());
  Status.set_returned(Task.Phase == AssignedPhase::Returned);
}
} // namespace

std::map<uint32_t, wire::ReportRequest> pendingReports(ShardState &State, bool Resend) {
  std::map<uint32_t, wire::ReportRequest> Due;
  if (Resend)
    for (const auto &[Key, Task] : State.AssignedTasks)
      if (Task.Phase == AssignedPhase::Ended || Task.Phase == AssignedPhase::Returned)
        State.Dirty.insert(Key);
  for (const TaskKey &Key : State.Dirty)
    if (const AssignedTask *Task = findAssignedTask(State, Key))
      addStatus(State, *Task, Due);
  State.Dirty.clear();
  return Due;
}

FilterCounts countFilters(ShardState &State, const JobSpec &Spec, const CellConfig &Config) {
  FilterCounts Counts;
  const std::vector<char> &Allowed = selectedCandidates(State, Spec, Config);
  for (size_t I = 0; I < State.Candidates.size(); ++I) {
    const PlacementCandidate &Candidate = State.Candidates[I];
    ++Counts.Workers;
    if (!Allowed[I])
      ++Counts.NotSelected;
    else if (!fits(Spec.Size, Candidate.Capacity))
      ++Counts.TooSmall;
    else if (!Candidate.Usable)
      ++Counts.NotUsable;
    else if (!fits(Spec.Size, Candidate.Free))
      ++Counts.NoRoom;
    else
      ++Counts.Fit;
  }
  return Counts;
}

} // namespace valveshelf
