// SPDX-License-Identifier: Apache-2.0
// The decisions of the shard that runs tasks: adoption, starts, evidence, ends.
#include "jobs/decision_tools.h"
#include "placement/fit.h"

#include <algorithm>
#include <charconv>

namespace valveshelf {
namespace {

bool isOpen(const Part &Task) {
  return Task.Phase == PartPhase::Starting || Task.Phase == PartPhase::Running;
}

Part *findPart(ShardState &State, const TaskKey &Key) {
  const auto Found = State.Parts.find(Key);
  return Found == State.Parts.end() ? nullptr : &Found->second;
}

WorkerBook *findBook(ShardState &State, const std::string &Worker) {
  const auto Found = State.Workers.find(Worker);
  return Found == State.Workers.end() ? nullptr : Found->second.get();
}

// The task surely does not run any more and left no result.
void settleLost(ShardState &State, Decision &Out, Part &Task, const std::string &Why, TimePoint Now,
                WallTime Wall) {
  Recorder Record(State, Out, Now);
  if (Task.CancelWanted)
    return Record.partEnded(Task, TaskOutcome::Cancelled, Why, Wall);
  if (!Task.Spec->Repeatable)
    return Record.partEnded(Task, TaskOutcome::Unknown, Why, Wall);
  Record.startVoid(Task, Why, false);
}

// True if most workers are fine, so that a row of failures speaks against this one.
bool othersRunWell(const ShardState &State, const DecisionLimits &Limits) {
  size_t Ready = 0;
  size_t Failing = 0;
  for (const auto &[Name, Book] : State.Workers) {
    Ready += Book->Health == WorkerHealth::Ready ? 1 : 0;
    Failing += Book->RecentFailures >= Limits.FailuresToSuspect ? 1 : 0;
  }
  return Failing <= std::max<size_t>(1, (Ready + Failing) / 3);
}

void suspect(ShardState &State, Decision &Out, WorkerBook &Book, const DecisionLimits &Limits,
             TimePoint Now) {
  if (Book.Health != WorkerHealth::Ready)
    return;
  setHealth(State, Book, WorkerHealth::Suspect);
  Book.ProbeNotBefore = Now + Limits.ProbeEvery;
  Out.Notices.push_back({&events::WorkerSuspected, Book.Box.Name,
                         std::to_string(Book.RecentFailures) + " tasks failed in a row"});
}

void onFailed(ShardState &State, Decision &Out, Part &Task, WorkerBook &Book,
              const std::string &Detail, const DecisionLimits &Limits, TimePoint Now,
              WallTime Wall) {
  ++Book.RecentFailures;
  Task.FailedOn = Book.Box.Name;
  const bool BlameWorker =
      Book.RecentFailures >= Limits.FailuresToSuspect && othersRunWell(State, Limits);
  if (BlameWorker)
    suspect(State, Out, Book, Limits, Now);
  Recorder Record(State, Out, Now);
  if (Task.CancelWanted)
    return Record.partEnded(Task, TaskOutcome::Cancelled, Detail, Wall);
  const bool TriesLeft = BlameWorker || Task.Tries + 1 < Task.Spec->MaxTries;
  if (!Task.Spec->Repeatable || !TriesLeft)
    return Record.partEnded(Task, TaskOutcome::Failed, Detail, Wall);
  Record.startVoid(Task, Detail, !BlameWorker);
}

void onSucceeded(ShardState &State, Decision &Out, Part &Task, WorkerBook &Book,
                 const std::string &Detail, TimePoint Now, WallTime When) {
  Book.RecentFailures = 0;
  if (Book.Health == WorkerHealth::Suspect) {
    setHealth(State, Book, WorkerHealth::Ready);
    Out.Notices.push_back({&events::WorkerCleared, Book.Box.Name, "a probe ran well"});
  }
  Recorder(State, Out, Now).partEnded(Task, TaskOutcome::Succeeded, Detail, When);
}

// A task that outgrew its booking gets more room if the box has it; if not, it is the one that
// is held to its size, and not its neighbours.
void contain(ShardState &State, Decision &Out, Part &Task, WorkerBook &Book,
             const TaskReport &Listed) {
  if (fits(Listed.Usage, Task.Booked))
    return;
  const Resources More = componentMax(Task.Booked, Listed.Usage) - Task.Booked;
  if (fits(More, State.Rooms[Book.Slot].Free))
    return growBooking(State, Task, Listed.Usage);
  Out.Controls.push_back(
      {Book.Box.Name, Book.Box.Address, Listed.Id, ControlEffect::Action::Throttle});
  Out.Notices.push_back({&events::TaskContained, toString(Task.Key),
                         "uses " + std::to_string(Listed.Usage.MilliCores) + " milli-cores and " +
                             std::to_string(Listed.Usage.MemoryMb) + " MB"});
}

void onListedRunning(ShardState &State, Decision &Out, Part &Task, WorkerBook &Book,
                     const TaskReport &Listed, const DecisionLimits &Limits, TimePoint Now) {
  if (Task.Phase == PartPhase::Starting) {
    Task.Phase = PartPhase::Running;
    State.Dirty.insert(Task.Key);
    // It may have arrived only now, long after it was sent.
    Task.LeaseEnds = std::max(Task.LeaseEnds, Now + Limits.TaskLease);
    ++State.Starts;
    Out.Notices.push_back({&events::TaskStarted, toString(Task.Key), Book.Box.Name});
  }
  Task.Doubt = StartDoubt::None;
  Task.Usage = Listed.Usage;
  contain(State, Out, Task, Book, Listed);
  if (Task.CancelWanted)
    Out.Controls.push_back({Book.Box.Name, Book.Box.Address, Listed.Id});
}

void onListedEnded(ShardState &State, Decision &Out, Part &Task, WorkerBook &Book,
                   const TaskReport &Listed, const DecisionLimits &Limits, TimePoint Now,
                   WallTime Wall) {
  Out.Forgets.push_back({Book.Box.Name, Listed.Id});
  const WallTime When = Listed.Ended == WallTime{} ? Wall : Listed.Ended;
  switch (Listed.What) {
  case TaskReport::State::Succeeded:
    return onSucceeded(State, Out, Task, Book, Listed.Detail, Now, When);
  case TaskReport::State::Failed:
    return onFailed(State, Out, Task, Book, Listed.Detail, Limits, Now, When);
  default:
    return settleLost(State, Out, Task, "stopped on the worker: " + Listed.Detail, Now, When);
  }
}

// Takes in one listed task. Tasks that are not ours are stopped; until they end, their room
// counts as taken.
void onListed(ShardState &State, Decision &Out, WorkerBook &Book, const TaskReport &Listed,
              std::set<TaskKey> &Seen, const DecisionLimits &Limits, TimePoint Now, WallTime Wall) {
  const bool Runs = Listed.What == TaskReport::State::Running;
  const auto Id = parseWorkerTaskId(Listed.Id);
  Part *Task = Id ? findPart(State, Id->first) : nullptr;
  const bool Ours =
      Task && isOpen(*Task) && Task->Attempt == Id->second && Task->Worker == Book.Box.Name;
  if (Ours) {
    Seen.insert(Task->Key);
    if (Runs)
      return onListedRunning(State, Out, *Task, Book, Listed, Limits, Now);
    return onListedEnded(State, Out, *Task, Book, Listed, Limits, Now, Wall);
  }
  if (!Runs) {
    Out.Forgets.push_back({Book.Box.Name, Listed.Id});
    return;
  }
  Book.Orphans += componentMax(Listed.Size, Listed.Usage);
  Out.Controls.push_back({Book.Box.Name, Book.Box.Address, Listed.Id});
}

// A worker that was away may still have a start in its socket. What its lists do not show
// counts from now on only.
void restartDoubts(ShardState &State, const WorkerBook &Book, TimePoint Now) {
  for (const TaskKey &Key : Book.Parts) {
    Part &Task = State.Parts.at(Key);
    Task.DoubtSince = std::max(Task.DoubtSince, Now);
    Task.ListsWithout = 0;
  }
}

// Judges a part that holds room on the worker but is not in its list.
void onNotListed(ShardState &State, Decision &Out, Part &Task, bool Restarted,
                 const DecisionLimits &Limits, TimePoint AskedAt, TimePoint Now, WallTime Wall) {
  if (Task.Phase == PartPhase::Running) {
    const std::string Why = Restarted ? "the worker restarted and lost it" : "the worker lost it";
    return settleLost(State, Out, Task, Why, Now, Wall);
  }
  const bool Doubted = Task.Doubt == StartDoubt::Unanswered ||
                       (Task.Doubt == StartDoubt::Predecessor && State.PredecessorGone);
  if (!Doubted || Task.CallInFlight || AskedAt < Task.DoubtSince + Limits.Settle)
    return;
  // Two lists after the last byte could have arrived, from a worker that answers.
  if (++Task.ListsWithout < 2)
    return;
  settleLost(State, Out, Task, "no list of its worker shows the start", Now, Wall);
}

bool mayPlace(const ShardState &State, const Part &Task, const CellConfig &Config, bool StoreUp,
              const UsedElsewhere &Elsewhere) {
  if (!StoreUp && !Task.Spec->Repeatable)
    return false;
  return !isHeldBack(*Task.Spec, Config) && withinQuota(State, *Task.Spec, Config, Elsewhere);
}

// A worker that is due for a probe, for a task that may be repeated.
WorkerBook *probeFor(ShardState &State, const Part &Task, const CellConfig &Config, TimePoint Now) {
  if (!Task.Spec->Repeatable || Task.Spec->Class != JobClass::Batch)
    return nullptr;
  const std::vector<char> &Allowed = selectedRooms(State, *Task.Spec, Config);
  for (size_t I = 0; I < State.Rooms.size(); ++I) {
    WorkerBook &Book = *State.Rooms[I].Book;
    const bool Due =
        Book.Health == WorkerHealth::Suspect && Book.Parts.empty() && Now >= Book.ProbeNotBefore;
    if (Due && Allowed[I] && fits(Task.Spec->Size, State.Rooms[I].Free))
      return &Book;
  }
  return nullptr;
}

// What could not be placed in this round; equal tasks behind it are not tried again.
struct RoundMisses {
  std::set<std::tuple<std::string, std::string, int64_t, int64_t, int64_t>> Shapes;

  static auto shapeOf(const JobSpec &Spec) {
    return std::tuple(Spec.BoxSelector, Spec.Partner, Spec.Size.MilliCores, Spec.Size.MemoryMb,
                      Spec.Size.Accelerators);
  }
};

void start(ShardState &State, Decision &Out, Part &Task, WorkerBook &Book,
           const DecisionLimits &Limits, TimePoint Now, WallTime Wall) {
  wire::Record What;
  wire::StartIntent &Intent = *What.mutable_start_intent();
  *Intent.mutable_key() = wireKey(Task.Key);
  Intent.set_worker(Book.Box.Name);
  Intent.set_attempt(Task.Attempt);
  Intent.set_intent_ms(Wall.time_since_epoch().count());
  Recorder(State, Out, Now).add(std::move(What));
  Task.CallInFlight = true;
  Task.Doubt = StartDoubt::None;
  Task.ListsWithout = 0;
  Task.LeaseEnds = Now + Limits.TaskLease;
  if (Book.Health == WorkerHealth::Suspect)
    Book.ProbeNotBefore = Now + Limits.ProbeEvery;
  Out.Starts.push_back({Task.Key, Task.Attempt, Book.Box.Name, Book.Box.Address, Task.Spec});
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

Decision adoptParts(ShardState &State, const wire::LendRequest &Lend, TimePoint Now) {
  Decision Out;
  Recorder Record(State, Out, Now);
  wire::Record What;
  wire::PartsAdopted &Adopted = *What.mutable_parts_adopted();
  *Adopted.mutable_spec() = Lend.spec();
  Adopted.set_home(Lend.home());
  for (int I = 0; I < Lend.index_size(); ++I) {
    const TaskKey Key{Lend.spec().id(), Lend.index(I)};
    const uint32_t Attempt = Lend.next_attempt(I);
    const auto Dropped = State.Tombstones.find(Key);
    if (Dropped != State.Tombstones.end() && Attempt <= Dropped->second.Attempt)
      continue;
    if (const Part *Held = findPart(State, Key)) {
      // A higher attempt says that the home has recorded the end or return held here.
      const bool Settled = Held->Phase == PartPhase::Ended || Held->Phase == PartPhase::Returned;
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
    Record.add(std::move(What));
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
  RoundMisses Misses;
  size_t Scanned = 0;
  for (auto Next = State.Queue.begin(); Next != State.Queue.end();) {
    if (Out.Starts.size() >= Limits.StartsPerRound || ++Scanned > Limits.ScannedPerRound)
      break;
    // A start takes its own entry out of the queue and no other.
    const TaskKey Key = Next->second;
    ++Next;
    Part &Task = State.Parts.at(Key);
    const auto Shape = RoundMisses::shapeOf(*Task.Spec);
    if (Misses.Shapes.count(Shape) || !mayPlace(State, Task, Config, StoreUp, Elsewhere))
      continue;
    WorkerBook *Best = probeFor(State, Task, Config, Now);
    if (!Best)
      Best = bestRoom(State, *Task.Spec, Config, Task.FailedOn);
    if (Best)
      start(State, Out, Task, *Best, Limits, Now, Wall);
    else
      Misses.Shapes.insert(Shape);
  }
  return Out;
}

Decision onStartAnswer(ShardState &State, const TaskKey &Key, uint32_t Attempt, StartAnswer Answer,
                       const DecisionLimits &Limits, TimePoint Now) {
  Decision Out;
  Part *Task = findPart(State, Key);
  if (!Task || Task->Attempt != Attempt || !isOpen(*Task))
    return Out;
  Task->CallInFlight = false;
  switch (Answer) {
  case StartAnswer::Accepted:
    Task->LeaseEnds = std::max(Task->LeaseEnds, Now + Limits.TaskLease);
    if (Task->Phase == PartPhase::Starting) {
      Task->Phase = PartPhase::Running;
      State.Dirty.insert(Key);
      ++State.Starts;
      Out.Notices.push_back({&events::TaskStarted, toString(Key), Task->Worker});
    }
    break;
  case StartAnswer::NotSent:
    Recorder(State, Out, Now).startVoid(*Task, "the start was not sent", false);
    break;
  case StartAnswer::Unanswered:
    if (Task->Phase != PartPhase::Starting)
      break;
    Task->Doubt = StartDoubt::Unanswered;
    Task->DoubtSince = Now;
    Task->ListsWithout = 0;
    Out.Notices.push_back({&events::TaskUncertain, toString(Key), Task->Worker});
    break;
  }
  return Out;
}

Decision onWorkerReport(ShardState &State, const std::string &Worker, const WorkerReport &Report,
                        bool Renewed, const DecisionLimits &Limits, TimePoint AskedAt,
                        TimePoint Now, WallTime Wall) {
  Decision Out;
  WorkerBook *Book = findBook(State, Worker);
  if (!Book)
    return Out;
  const bool Restarted = !Book->Incarnation.empty() && Book->Incarnation != Report.Incarnation;
  const bool WasAway = Book->Health == WorkerHealth::Unseen || Book->Health == WorkerHealth::Lost ||
                       Book->Health == WorkerHealth::Gone;
  if (WasAway || Book->FailedCalls > 0)
    restartDoubts(State, *Book, Now);
  Book->Incarnation = Report.Incarnation;
  Book->FailedCalls = 0;
  Book->LastAnswer = Now;
  Book->Orphans = {};
  std::set<TaskKey> Seen;
  for (const TaskReport &Listed : Report.Tasks)
    onListed(State, Out, *Book, Listed, Seen, Limits, Now, Wall);
  const std::vector<TaskKey> Held(Book->Parts.begin(), Book->Parts.end());
  for (const TaskKey &Key : Held) {
    Part &Task = State.Parts.at(Key);
    if (Seen.count(Key)) {
      if (Renewed)
        Task.LeaseEnds = std::max(Task.LeaseEnds, Now + Limits.TaskLease);
      continue;
    }
    // A start that was answered after the list was asked for can't be in it.
    const bool StartedSince = Task.LeaseEnds >= AskedAt + Limits.TaskLease;
    if (!(Task.Phase == PartPhase::Running && StartedSince))
      onNotListed(State, Out, Task, Restarted, Limits, AskedAt, Now, Wall);
  }
  if (WasAway) {
    setHealth(State, *Book, WorkerHealth::Ready);
    Out.Notices.push_back(
        {&events::WorkerBack, Worker, std::to_string(Report.Tasks.size()) + " tasks listed"});
  }
  refreshRoom(State, *Book);
  return Out;
}

Decision onWorkerSilent(ShardState &State, const std::string &Worker, bool Renewed,
                        const DecisionLimits &Limits) {
  Decision Out;
  WorkerBook *Book = findBook(State, Worker);
  if (!Book)
    return Out;
  // The lost renewal may be read as late as the lease still runs, and then extends it once more.
  // No other is sent until a call without one was answered, so once is all.
  if (Renewed)
    for (const TaskKey &Key : Book->Parts)
      State.Parts.at(Key).LeaseEnds += Limits.TaskLease;
  if (++Book->FailedCalls < Limits.FailedCallsToLose)
    return Out;
  if (Book->Health == WorkerHealth::Ready || Book->Health == WorkerHealth::Suspect) {
    setHealth(State, *Book, WorkerHealth::Lost);
    Out.Notices.push_back(
        {&events::WorkerLost, Worker, std::to_string(Book->Parts.size()) + " tasks were there"});
  }
  return Out;
}

Decision onBoxList(ShardState &State, const BoxList &Workers, TimePoint Now, WallTime Wall) {
  Decision Out;
  std::set<std::string> Listed;
  for (const BoxInfo &Box : Workers) {
    Listed.insert(Box.Name);
    setWorker(State, Box);
    WorkerBook &Book = *State.Workers.at(Box.Name);
    if (Book.Health == WorkerHealth::Gone)
      setHealth(State, Book, WorkerHealth::Unseen);
    refreshRoom(State, Book);
  }
  for (auto &[Name, Book] : State.Workers) {
    if (Listed.count(Name) || Book->Health == WorkerHealth::Gone)
      continue;
    // A box that still answers is not gone, whatever the lagging list says.
    if (Book->Health == WorkerHealth::Ready || Book->Health == WorkerHealth::Suspect)
      continue;
    setHealth(State, *Book, WorkerHealth::Gone);
    const std::vector<TaskKey> Held(Book->Parts.begin(), Book->Parts.end());
    for (const TaskKey &Key : Held)
      settleLost(State, Out, State.Parts.at(Key), "its box is gone", Now, Wall);
  }
  return Out;
}

Decision onTick(ShardState &State, const DecisionLimits &Limits,
                const std::function<bool(const JobSpec &)> &RoomElsewhere, TimePoint Now,
                WallTime Wall) {
  Decision Out;
  std::vector<TaskKey> Lapsed;
  for (const auto &[Name, Book] : State.Workers) {
    if (Book->Health != WorkerHealth::Lost || !State.PredecessorGone)
      continue;
    for (const TaskKey &Key : Book->Parts) {
      const Part &Task = State.Parts.at(Key);
      // Only a task that surely was started has a lease that can lapse; a start in doubt may
      // still arrive and begin a new one.
      if (Task.Phase == PartPhase::Running && Now >= Task.LeaseEnds + Limits.LeaseMargin)
        Lapsed.push_back(Key);
    }
  }
  for (const TaskKey &Key : Lapsed)
    settleLost(State, Out, State.Parts.at(Key), "its worker is lost and its lease lapsed", Now,
               Wall);
  std::vector<TaskKey> Back;
  std::map<decltype(RoundMisses::shapeOf(JobSpec())), bool> Elsewhere;
  size_t Scanned = 0;
  for (const auto &[Order, Key] : State.Queue) {
    if (Back.size() >= Limits.StartsPerRound || ++Scanned > Limits.ScannedPerRound)
      break;
    const Part &Task = State.Parts.at(Key);
    if (Now - Task.QueuedSince < Limits.ReturnAfter)
      continue;
    const auto [Known, New] = Elsewhere.try_emplace(RoundMisses::shapeOf(*Task.Spec), false);
    if (New)
      Known->second = RoomElsewhere(*Task.Spec);
    if (Known->second)
      Back.push_back(Key);
  }
  for (const TaskKey &Key : Back)
    Recorder(State, Out, Now)
        .partEnded(State.Parts.at(Key), TaskOutcome::None, "no room on this shard", Wall);
  std::vector<std::string> LapsedHolds;
  for (const auto &[Job, Hold] : State.Holds)
    if (Now >= Hold.Lapses)
      LapsedHolds.push_back(Job);
  for (const std::string &Job : LapsedHolds)
    releaseHold(State, Job);
  std::erase_if(State.Tombstones, [&](const auto &Entry) {
    return Now - Entry.second.Dropped > Limits.TombstoneLife;
  });
  return Out;
}

Decision onCancelParts(ShardState &State, const std::vector<TaskKey> &Keys, WallTime Wall) {
  Decision Out;
  Recorder Record(State, Out, TimePoint{});
  for (const TaskKey &Key : Keys) {
    Part *Task = findPart(State, Key);
    if (!Task || Task->Phase == PartPhase::Ended || Task->Phase == PartPhase::Returned)
      continue;
    if (Task->Phase == PartPhase::Queued) {
      Record.partEnded(*Task, TaskOutcome::Cancelled, "cancelled before it was started", Wall);
      continue;
    }
    Task->CancelWanted = true;
    const WorkerBook *Book = findBook(State, Task->Worker);
    if (Book && Task->Phase == PartPhase::Running)
      Out.Controls.push_back({Task->Worker, Book->Box.Address, workerTaskId(Key, Task->Attempt)});
  }
  return Out;
}

Decision dropParts(ShardState &State, const std::vector<TaskKey> &Keys, TimePoint Now) {
  Decision Out;
  Recorder Record(State, Out, Now);
  for (const TaskKey &Key : Keys) {
    const Part *Task = findPart(State, Key);
    if (!Task || (Task->Phase != PartPhase::Ended && Task->Phase != PartPhase::Returned))
      continue;
    wire::Record What;
    *What.mutable_part_dropped()->mutable_key() = wireKey(Key);
    Record.add(std::move(What));
  }
  return Out;
}

uint32_t placeHold(ShardState &State, const JobSpec &Spec, uint32_t Count, const CellConfig &Config,
                   TimePoint Lapses) {
  GangHold Hold{Spec.Size, {}, Lapses};
  uint32_t Held = 0;
  while (Held < Count) {
    WorkerBook *Best = bestRoom(State, Spec, Config, "");
    if (!Best)
      break;
    Best->Held += Spec.Size;
    ++Hold.Workers[Best->Box.Name];
    refreshRoom(State, *Best);
    ++Held;
  }
  if (Held > 0)
    State.Holds[Spec.Id] = std::move(Hold);
  return Held;
}

void releaseHold(ShardState &State, const std::string &Job) {
  const auto Found = State.Holds.find(Job);
  if (Found == State.Holds.end())
    return;
  for (const auto &[Worker, Count] : Found->second.Workers) {
    WorkerBook *Book = findBook(State, Worker);
    if (!Book)
      continue;
    for (uint32_t I = 0; I < Count; ++I)
      Book->Held -= Found->second.Size;
    refreshRoom(State, *Book);
  }
  State.Holds.erase(Found);
}

void onPredecessorGone(ShardState &State, const DecisionLimits &Limits, TimePoint Now) {
  State.PredecessorGone = true;
  for (auto &[Key, Task] : State.Parts) {
    if (Task.Doubt == StartDoubt::Predecessor)
      Task.DoubtSince = Now;
    // Its last renewal may be read as late as the lease still runs.
    Task.LeaseEnds = std::max(Task.LeaseEnds, Now + 2 * Limits.TaskLease);
  }
}

void markTakenOver(ShardState &State, bool PredecessorGone, const DecisionLimits &Limits,
                   TimePoint Now) {
  State.PredecessorGone = PredecessorGone;
  for (auto &[Key, Task] : State.Parts) {
    Task.LeaseEnds = Now + 2 * Limits.TaskLease;
    Task.QueuedSince = Now;
    State.Dirty.insert(Key);
    Task.CallInFlight = false;
    if (Task.Phase != PartPhase::Starting)
      continue;
    Task.Doubt = StartDoubt::Predecessor;
    Task.DoubtSince = Now;
    Task.ListsWithout = 0;
  }
  for (auto &[Id, Job] : State.Jobs)
    for (HomeTask &Task : Job.Tasks)
      Task.Adopted = false;
}

namespace {
void addStatus(ShardState &State, const Part &Task, std::map<uint32_t, wire::ReportRequest> &Due) {
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
  Status.set_returned(Task.Phase == PartPhase::Returned);
}
} // namespace

std::map<uint32_t, wire::ReportRequest> reportsDue(ShardState &State, bool Again) {
  std::map<uint32_t, wire::ReportRequest> Due;
  if (Again)
    for (const auto &[Key, Task] : State.Parts)
      if (Task.Phase == PartPhase::Ended || Task.Phase == PartPhase::Returned)
        State.Dirty.insert(Key);
  for (const TaskKey &Key : State.Dirty)
    if (const Part *Task = findPart(State, Key))
      addStatus(State, *Task, Due);
  State.Dirty.clear();
  return Due;
}

FilterCounts countFilters(ShardState &State, const JobSpec &Spec, const CellConfig &Config) {
  FilterCounts Counts;
  const std::vector<char> &Allowed = selectedRooms(State, Spec, Config);
  for (size_t I = 0; I < State.Rooms.size(); ++I) {
    const WorkerRoom &Room = State.Rooms[I];
    ++Counts.Workers;
    if (!Allowed[I])
      ++Counts.NotSelected;
    else if (!fits(Spec.Size, Room.Capacity))
      ++Counts.TooSmall;
    else if (!Room.Usable)
      ++Counts.NotUsable;
    else if (!fits(Spec.Size, Room.Free))
      ++Counts.NoRoom;
    else
      ++Counts.Fit;
  }
  return Counts;
}

} // namespace valveshelf
