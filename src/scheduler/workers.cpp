// SPDX-License-Identifier: Apache-2.0
// Workers and the attempts on them: what their reports, answers and silences mean.
#include "scheduler/crashes.h"

#include <algorithm>
#include <utility>

namespace valveshelf::sched {

void tickJobs(CellState &Cell, TimePoint Now);

namespace {
// A stop whose answer is lost is ordered again after this time; a few round trips.
constexpr Milliseconds StopAgain{500};
// How often a start without an answer is sent before it is stopped instead.
constexpr int MaxSends = 2;
// A run that shows the same progress in two reports so far apart stands still: a sixth of its time,
// in which a worker that is eight times slower still shows some.
constexpr Milliseconds LeastStuckTime{2000};
constexpr int StuckPart = 6;
// Without an estimate.
constexpr Milliseconds UnknownStuckTime{10000};
// The members of a gang that is done end within this time, or are stopped.
constexpr Milliseconds GangEndTime{1500};
// Runs that stand still are looked for this often; a fraction of the time above.
constexpr Milliseconds StuckLookEvery{500};
// A run that fails within a tenth of its estimate failed at once. Those that fail by their own
// fault do so somewhere in their work.
constexpr int AtOncePart = 10;
// A worker that is busy or can't be reached is left alone for this time.
constexpr Milliseconds ShortPause{500};

Worker *findWorker(CellState &Cell, const std::string &Id) {
  const auto Found = Cell.Workers.find(Id);
  return Found == Cell.Workers.end() ? nullptr : &Found->second;
}

// Unheard workers keep the old tasks of their service back; with the last one heard they are free.
void heard(CellState &Cell, const std::string &Id, TimePoint Now, Effects &Out) {
  const auto Found = Cell.Unheard.find(Id);
  if (Found == Cell.Unheard.end())
    return;
  const std::string Service = std::move(Found->second);
  Cell.Unheard.erase(Found);
  if (isAwaited(Cell, Service))
    return;
  for (auto &[JobNumber, Of] : Cell.Jobs) {
    if (Of.Spec->Service != Service)
      continue;
    for (auto &[Number, Round] : Of.Rounds)
      for (StepState &Step : Round.Steps) {
        // A gang that an earlier scheduler began in part can't be completed any more.
        const bool Partial = Step.Spec->Gang && Step.Booked > 0 && Step.Booked < Step.Open;
        for (uint32_t I = 0; Partial && I < Step.Tasks.size(); ++I)
          if (Step.Tasks[I].At)
            stopAttempt(Cell, *Step.Tasks[I].At, {{Step.Key, I}, Step.Tasks[I].Run},
                        "the gang is not whole", Now, Out);
        queueStep(Cell, Of, Step, Now);
      }
  }
}

// Counts the attempt against what its organisation may have running.
void charge(Attempt &What, OrganisationState *Owner, const Resources &Amount) {
  What.Owner = Owner;
  What.Charge = Amount;
  if (Owner)
    Owner->Running += Amount;
}

// A run that this scheduler did not start: taken over if the task needs one, else stopped.
void adopt(CellState &Cell, Worker &On, const ActiveRun &Row, TimePoint Now, Effects &Out) {
  StepState *Step = findStep(Cell, Row.Run.Task.Step);
  const bool Known = Step && Row.Run.Task.Index < Step->Tasks.size();
  if (!Known) {
    // Its job has ended, or was never ours. Its size is unknown until it is gone.
    On.Full = true;
    Cell.Strays.insert(Row.Run);
    Attempt &Stray = On.Attempts[Row.Run];
    Stray.Phase = AttemptPhase::Running;
    Stray.StartedAt = Stray.Since = Now;
    // It may be as large as the worker.
    if (const auto Was = Cell.Ended.find(Row.Run.Task.Step.Job); Was != Cell.Ended.end())
      charge(Stray, organisationNamed(Cell, Was->second.Organisation), On.Info.Capacity);
    stopAttempt(Cell, On, Row.Run, "its job has ended", Now, Out);
    return;
  }
  Job &Of = Cell.Jobs.at(Step->Key.Job);
  const TaskState &Task = Step->Tasks[Row.Run.Task.Index];
  const bool Wanted = Of.Phase == JobPhase::Live && !Task.Done && !Task.At;
  if (Wanted) {
    Attempt &Taken =
        book(Cell, *Step, Row.Run.Task.Index, On, Row.Run.Run, AttemptPhase::Running, Of, Now);
    Taken.StartedAt = Taken.PercentChanged = Now;
    settleInherited(Cell, Row.Run.Task, Out);
    noteTrial(Cell, Row.Run.Task, On, Out);
    Of.Begun = true;
    if (Step->Spec->Gang)
      Step->GangRun = std::max(Step->GangRun, Row.Run.Run);
    queueStep(Cell, Of, *Step, Now);
    return;
  }
  Attempt &Extra = On.Attempts[Row.Run];
  Extra.Phase = AttemptPhase::Running;
  Extra.Need = Step->Spec->Need;
  Extra.StartedAt = Extra.Since = Now;
  On.Booked += Extra.Need;
  charge(Extra, Of.Owner, Step->Spec->Need);
  stopAttempt(Cell, On, Row.Run, "the task does not need it", Now, Out);
}

void noteProgress(CellState &Cell, Worker &On, const ActiveRun &Row, Attempt &What,
                  const ReportTimes &When, Effects &Out) {
  const TimePoint Now = When.ReadAt;
  if (What.Phase == AttemptPhase::Starting || What.Phase == AttemptPhase::Uncertain) {
    setPhase(Cell, On, Row.Run, AttemptPhase::Running, Now);
    What.StartedAt = What.PercentChanged = Now;
  }
  if (What.Percent != Row.Percent) {
    What.Percent = Row.Percent;
    What.PercentChanged = Now;
  }
  noteBeginning(Cell, On, Row.Run, What, When, Out);
  StepState *Step = findStep(Cell, Row.Run.Task.Step);
  if (!Step || Row.Run.Task.Index >= Step->Tasks.size())
    return;
  Cell.Jobs.at(Step->Key.Job).Begun = true;
  if (!Row.Checkpoint.empty())
    Step->Tasks[Step->Spec->Gang ? 0 : Row.Run.Task.Index].Checkpoint = Row.Checkpoint;
}

// True if the run failed long before its work could be done, and its task had not failed before: a
// task that fails everywhere says nothing of the worker.
bool failedAtOnce(CellState &Cell, const Worker &On, const RunKey &Run, TimePoint Now) {
  const auto Found = On.Attempts.find(Run);
  const StepState *Step = findStep(Cell, Run.Task.Step);
  if (Found == On.Attempts.end() || !Step || Run.Task.Index >= Step->Tasks.size())
    return false;
  const Attempt &What = Found->second;
  const bool First = Step->Tasks[Run.Task.Index].FailedRuns.empty() && Step->GangFailures.empty();
  return First && What.StartedAt != TimePoint{} &&
         (Now - What.StartedAt) * AtOncePart < What.Estimate;
}

// A worker whose runs all fail is set aside for a while, so that tasks don't use up their
// attempts on it; after one that failed at once, for a short one. Both belong to the rule that a
// task does not go back to where it failed (hasJustFailedOn has the figure).
void judge(CellState &Cell, Worker &On, const EndedRun &End, TimePoint Now) {
  if (End.Outcome == RunOutcome::Done)
    On.FailuresInARow = 0;
  if (End.Outcome != RunOutcome::Failed)
    return;
  if (failedAtOnce(Cell, On, End.Run, Now))
    On.SetAsideUntil = std::max(On.SetAsideUntil, Now + Cell.Limits.NotBackTime);
  if (++On.FailuresInARow < Cell.Limits.MaxFailuresInARow)
    return;
  On.SetAsideUntil = Now + Cell.Limits.SetAside;
  On.FailuresInARow = Cell.Limits.MaxFailuresInARow - 1;
}

void readEnds(CellState &Cell, Worker &On, const WorkerReport &Report, TimePoint Now,
              Effects &Out) {
  for (const EndedRun &End : Report.Ended) {
    if (End.Number <= On.LastEnd)
      continue;
    On.LastEnd = End.Number;
    judge(Cell, On, End, Now);
    noteListedEnd(Cell, End, Out);
    unbook(Cell, On, End.Run);
    runEnded(Cell, End.Run, End.Outcome, End.Checkpoint, &On, Now, Out);
    const auto Of = Cell.Jobs.find(End.Run.Task.Step.Job);
    const uint64_t Save = Of == Cell.Jobs.end() ? 0 : Of->second.NeedsSave;
    if (Save == 0 && On.Unsaved.empty()) {
      On.ForgetThrough = End.Number;
    } else {
      On.Unsaved.emplace_back(End.Number, Save);
      Cell.WithUnsaved.insert(On.Slot);
    }
  }
}

// Runs that were stopped without ever having begun are in no list.
void dropNeverBegun(CellState &Cell, Worker &On, const WorkerReport &Report, TimePoint AskedAt,
                    TimePoint Now, Effects &Out) {
  const auto IsActive = [&](const RunKey &Run) {
    return std::any_of(Report.Active.begin(), Report.Active.end(),
                       [&](const ActiveRun &Row) { return Row.Run == Run; });
  };
  std::vector<RunKey> Gone;
  for (const auto &[Run, What] : On.Attempts)
    if (What.Phase == AttemptPhase::Stopping && What.StopAcked && AskedAt >= What.StopAckedAt &&
        !IsActive(Run))
      Gone.push_back(Run);
  for (const RunKey &Run : Gone) {
    noteNotBegun(Cell, Run.Task, On, Out);
    unbook(Cell, On, Run);
    runEnded(Cell, Run, RunOutcome::Stopped, "", &On, Now, Out);
  }
}

// Gang members of a run that can't be whole are stopped at once, before they have waited in vain.
void stopGang(CellState &Cell, StepState &Step, uint32_t Run, const char *Why, TimePoint Now,
              Effects &Out) {
  for (uint32_t I = 0; I < Step.Tasks.size(); ++I)
    if (Step.Tasks[I].At && Step.Tasks[I].Run == Run)
      stopAttempt(Cell, *Step.Tasks[I].At, {{Step.Key, I}, Run}, Why, Now, Out);
}

void refused(CellState &Cell, Worker &On, const RunKey &Run, StartResult What, TimePoint Now,
             Effects &Out) {
  StepState *Step = findStep(Cell, Run.Task.Step);
  if (AdviceState::Permit *Used = Step ? permitOn(*Step, On) : nullptr;
      Used && What == StartResult::RefusedTicket)
    Used->ValidUntil = Now;
  if (What == StartResult::RefusedUnhealthy || What == StartResult::NotSent)
    On.SetAsideUntil = std::max(On.SetAsideUntil, Now + ShortPause);
  if (What == StartResult::RefusedNoCapacity)
    Out.Looks.push_back(On.Info.Id);
  noteNotBegun(Cell, Run.Task, On, Out);
  unbook(Cell, On, Run);
  if (!Step)
    return;
  if (Step->Spec->Gang)
    stopGang(Cell, *Step, Run.Run, "a member was refused", Now, Out);
  queueStep(Cell, Cell.Jobs.at(Step->Key.Job), *Step, Now);
}

void sendAgain(CellState &Cell, Worker &On, const RunKey &Run, Attempt &What, Effects &Out) {
  StepState *Step = findStep(Cell, Run.Task.Step);
  const std::string &Checkpoint = Step->Tasks[Step->Spec->Gang ? 0 : Run.Task.Index].Checkpoint;
  const AdviceState::Permit *Used = permitOn(*Step, On);
  ++What.Sends;
  Out.Starts.push_back({On.Info.Id, Run, Cell.Jobs.at(Run.Task.Step.Job).Spec, Checkpoint,
                        Used ? Used->Ticket : std::string()});
}
} // namespace

Attempt &book(CellState &Cell, StepState &Step, uint32_t Index, Worker &On, uint32_t Run,
              AttemptPhase Phase, const Job &Of, TimePoint Now) {
  TaskState &Task = Step.Tasks[Index];
  Task.At = &On;
  Task.Run = Run;
  ++Step.Booked;
  Attempt &Made = On.Attempts[{{Step.Key, Index}, Run}];
  Made.Need = Step.Spec->Need;
  if (Step.Spec->BestEffort)
    Made.Need.MilliCores = 0;
  charge(Made, Of.Owner, Step.Spec->Need);
  Made.Priority = Of.IsExcess ? ExcessPriority : Of.Spec->Priority;
  Made.IsUrgent = Of.Spec->Priority == 0;
  Cell.UrgentAttempts += Made.IsUrgent ? 1 : 0;
  Made.Objective = Of.Objective;
  Made.Estimate = Step.Spec->Estimate;
  Made.OnTrial = beginsApart(Step, Task);
  On.Trials += Made.OnTrial ? 1 : 0;
  Made.MayBeStopped = Step.Spec->Checkpointable && !Step.Spec->Gang && !Step.Spec->LongRunning;
  Made.Phase = Phase;
  Made.Since = Now;
  const bool IsPlanned = Phase == AttemptPhase::Planned;
  (IsPlanned ? On.Planned : On.Booked) += Made.Need;
  if (Made.MayBeStopped)
    On.Stoppable += Made.Need;
  Step.Planned += IsPlanned ? 1 : 0;
  return Made;
}

void setPhase(CellState &Cell, Worker &On, const RunKey &Run, AttemptPhase Phase, TimePoint Now) {
  Attempt &What = On.Attempts.at(Run);
  if (What.Phase == AttemptPhase::Planned && Phase != AttemptPhase::Planned) {
    On.Planned -= What.Need;
    On.Booked += What.Need;
    if (StepState *Step = findStep(Cell, Run.Task.Step))
      --Step->Planned;
  }
  What.Phase = Phase;
  What.Since = Now;
}

void unbook(CellState &Cell, Worker &On, const RunKey &Run) {
  const auto Found = On.Attempts.find(Run);
  if (Found == On.Attempts.end())
    return;
  const bool WasPlanned = Found->second.Phase == AttemptPhase::Planned;
  (WasPlanned ? On.Planned : On.Booked) -= Found->second.Need;
  if (Found->second.MayBeStopped)
    On.Stoppable -= Found->second.Need;
  Cell.UrgentAttempts -= Found->second.IsUrgent ? 1 : 0;
  On.Trials -= Found->second.OnTrial ? 1 : 0;
  if (Found->second.Owner)
    Found->second.Owner->Running -= Found->second.Charge;
  On.Attempts.erase(Found);
  Cell.Strays.erase(Run);
  if (On.Full)
    On.Full = std::any_of(On.Attempts.begin(), On.Attempts.end(),
                          [](const auto &Entry) { return Entry.second.Need == Resources{}; });
  StepState *Step = findStep(Cell, Run.Task.Step);
  if (!Step || Run.Task.Index >= Step->Tasks.size())
    return;
  Step->Planned -= WasPlanned ? 1 : 0;
  TaskState &Task = Step->Tasks[Run.Task.Index];
  if (Task.At == &On && Task.Run == Run.Run) {
    Task.At = nullptr;
    --Step->Booked;
  }
}

void dropPlanned(CellState &Cell, Worker &On, const RunKey &Run, Effects &Out) {
  settleTrial(Cell, Run.Task, Out);
  unbook(Cell, On, Run);
}

void stopAttempt(CellState &Cell, Worker &On, const RunKey &Run, const char *Why, TimePoint Now,
                 Effects &Out) {
  const auto Found = On.Attempts.find(Run);
  if (Found == On.Attempts.end() || Found->second.Phase == AttemptPhase::Stopping)
    return;
  if (Found->second.Phase == AttemptPhase::Planned)
    return dropPlanned(Cell, On, Run, Out);
  setPhase(Cell, On, Run, AttemptPhase::Stopping, Now);
  Found->second.StopSent = Now;
  Out.Stops.push_back({On.Info.Id, Run, Why});
}

// The worker of that id, which may be new.
static Worker &makeWorker(CellState &Cell, const std::string &Id) {
  const auto [Place, New] = Cell.Workers.try_emplace(Id);
  if (New) {
    Place->second.Slot = static_cast<uint32_t>(Cell.Slots.size());
    Cell.Slots.push_back(&Place->second);
  }
  return Place->second;
}

void workerListed(CellState &Cell, const WorkerInfo &Info, TimePoint Now) {
  const bool New = !Cell.Workers.count(Info.Id);
  Worker &On = makeWorker(Cell, Info.Id);
  On.Info = Info;
  On.Listed = true;
  On.LeavesAt = Now + Info.DrainTimeLeft;
  On.SlowUntil = Now + Info.WarmUpTimeLeft;
  On.Evacuated = Cell.Evacuated.Names.count(Info.Zone) > 0;
  if (New)
    On.LeaseEnd = Now;
}

void workerUnlisted(CellState &Cell, const std::string &Id, TimePoint Now) {
  Worker *On = findWorker(Cell, Id);
  if (!On || !On->Listed)
    return;
  On->Listed = false;
  On->UnlistedAt = Now;
}

void workerMayHoldRuns(CellState &Cell, const WorkerInfo &Info, TimePoint LeaseEnd) {
  Worker &On = makeWorker(Cell, Info.Id);
  if (On.Info.Id.empty())
    On.Info = Info;
  On.Saved = On.Wanted = true;
  On.LeaseEnd = std::max(On.LeaseEnd, LeaseEnd);
  Cell.Unheard.emplace(Info.Id, On.Info.Service);
}

void workerReported(CellState &Cell, const std::string &Id, const WorkerReport &Report,
                    TimePoint AskedAt, TimePoint Now, Effects &Out) {
  Worker *On = findWorker(Cell, Id);
  if (!On)
    return;
  On->Answers = true;
  On->ReportedAt = std::max(On->ReportedAt, AskedAt);
  takeBackBlame(Cell, *On, AskedAt, Out);
  readEnds(Cell, *On, Report, Now, Out);
  for (const ActiveRun &Row : Report.Active) {
    const auto Found = On->Attempts.find(Row.Run);
    if (Found == On->Attempts.end())
      adopt(Cell, *On, Row, Now, Out);
    else
      noteProgress(Cell, *On, Row, Found->second, {AskedAt, Now, Report.WorkerClock}, Out);
  }
  dropNeverBegun(Cell, *On, Report, AskedAt, Now, Out);
  On->Heard = true;
  heard(Cell, Id, Now, Out);
}

void workerSilent(CellState &Cell, const std::string &Id) {
  if (Worker *On = findWorker(Cell, Id)) {
    On->Answers = false;
    On->FellSilent = true;
  }
}

void workerLeased(CellState &Cell, const std::string &Id, TimePoint End) {
  if (Worker *On = findWorker(Cell, Id))
    On->LeaseEnd = std::max(On->LeaseEnd, End);
}

void workerOver(CellState &Cell, const std::string &Id, TimePoint Now, Effects &Out, LifeEnd How) {
  Worker *On = findWorker(Cell, Id);
  if (!On)
    return;
  dropAttempts(Cell, *On, How, Now, Out);
  Cell.Slots[On->Slot] = nullptr;
  Cell.Workers.erase(Id);
  heard(Cell, Id, Now, Out);
}

void startAnswered(CellState &Cell, const std::string &Id, const RunKey &Run, StartResult What,
                   TimePoint Now, Effects &Out) {
  if (What == StartResult::RefusedFence)
    Out.Deposed = true;
  Worker *On = findWorker(Cell, Id);
  if (!On)
    return;
  const auto Found = On->Attempts.find(Run);
  if (What == StartResult::OtherIncarnation) {
    if (Found != On->Attempts.end() && Found->second.Phase == AttemptPhase::Starting)
      refused(Cell, *On, Run, What, Now, Out);
    return workerOver(Cell, Id, Now, Out);
  }
  On->Answers = What != StartResult::Unknown && What != StartResult::NotSent;
  if (Found == On->Attempts.end())
    return;
  Attempt &Which = Found->second;
  if (Which.Phase != AttemptPhase::Starting && Which.Phase != AttemptPhase::Uncertain)
    return;
  if (What == StartResult::Started) {
    setPhase(Cell, *On, Run, AttemptPhase::Running, Now);
    Which.StartedAt = Which.PercentChanged = Which.SeenAt = Now;
    if (findStep(Cell, Run.Task.Step))
      Cell.Jobs.at(Run.Task.Step.Job).Begun = true;
    return;
  }
  // Not again to a worker that is to be left empty by now; what the first order did is found out by
  // a stop.
  if (What == StartResult::Unknown && Which.Sends < MaxSends && takesWork(*On) &&
      findStep(Cell, Run.Task.Step)) {
    setPhase(Cell, *On, Run, AttemptPhase::Uncertain, Now);
    return sendAgain(Cell, *On, Run, Which, Out);
  }
  // After an order without an answer a refusal proves nothing about that order.
  if (What != StartResult::Unknown && Which.Sends == 1)
    return refused(Cell, *On, Run, What, Now, Out);
  StepState *Step = findStep(Cell, Run.Task.Step);
  if (Step && Step->Spec->Gang)
    return stopGang(Cell, *Step, Run.Run, "a member's start is uncertain", Now, Out);
  stopAttempt(Cell, *On, Run, "its start is uncertain", Now, Out);
}

void stopAnswered(CellState &Cell, const std::string &Id, const RunKey &Run, bool Acked,
                  TimePoint Now, Effects &Out) {
  Worker *On = findWorker(Cell, Id);
  if (!On)
    return;
  On->Answers = Acked;
  const auto Found = On->Attempts.find(Run);
  if (Found == On->Attempts.end() || !Acked)
    return;
  Attempt &What = Found->second;
  What.StopAcked = true;
  What.StopAckedAt = Now;
  if (What.StartedAt == TimePoint{})
    Out.Looks.push_back(Id);
}

// Stops that have to be ordered again or whose end has to be looked for.
static void tickStops(const CellState &Cell, Worker &On, TimePoint Now, Effects &Out) {
  bool Look = false;
  for (auto &[Run, What] : On.Attempts) {
    if (What.Phase != AttemptPhase::Stopping || Now - What.StopSent < StopAgain)
      continue;
    if (What.StopAcked && Now - What.StopAckedAt < Cell.Limits.StopTime + StopAgain)
      continue;
    What.StopSent = Now;
    if (!What.StopAcked)
      Out.Stops.push_back({On.Info.Id, Run, "the stop was not confirmed"});
    Look = Look || What.StopAcked;
  }
  if (Look)
    Out.Looks.push_back(On.Info.Id);
}

static Milliseconds stuckTime(const StepSpec &Spec) {
  if (Spec.Estimate.count() == 0)
    return UnknownStuckTime;
  return std::max(LeastStuckTime, Spec.Estimate / StuckPart);
}

// Members of gangs that are done and have not ended with the others.
static void tickLeftOver(CellState &Cell, Worker &On, TimePoint Now, Effects &Out) {
  std::vector<RunKey> Left;
  for (const auto &[Run, What] : On.Attempts)
    if (What.EndsSince != TimePoint{} && Now - What.EndsSince > GangEndTime)
      Left.push_back(Run);
  for (const RunKey &Run : Left)
    stopAttempt(Cell, On, Run, "the others of its gang have ended", Now, Out);
}

// True if the task makes no progress for the first time. One that stands still wherever it runs
// says nothing of the workers; each would be set aside for four seconds in turn.
static bool standsStillFirst(CellState &Cell, const RunKey &Run) {
  TaskState &Task = findStep(Cell, Run.Task.Step)->Tasks[Run.Task.Index];
  return !std::exchange(Task.HasStoodStill, true);
}

// Runs that make no progress are stopped and go on elsewhere.
static void tickStuck(CellState &Cell, Worker &On, TimePoint Now, Effects &Out) {
  std::vector<RunKey> Stuck;
  for (const auto &[Run, What] : On.Attempts) {
    const StepState *Step = findStep(Cell, Run.Task.Step);
    const bool Watched = What.Phase == AttemptPhase::Running && Step && !Step->Spec->LongRunning &&
                         What.EndsSince == TimePoint{};
    if (Watched && What.Percent < 100 &&
        On.ReportedAt - What.PercentChanged > stuckTime(*Step->Spec))
      Stuck.push_back(Run);
  }
  for (const RunKey &Run : Stuck) {
    stopAttempt(Cell, On, Run, "it makes no progress", Now, Out);
    if (standsStillFirst(Cell, Run))
      On.SetAsideUntil = Now + Cell.Limits.SetAside;
  }
}

bool isAwaited(const CellState &Cell, const std::string &Service) {
  return std::any_of(Cell.Unheard.begin(), Cell.Unheard.end(),
                     [&](const auto &Entry) { return Entry.second == Service; });
}

// A worker that has left and is known to hold nothing. Kept, its record would make the scheduler
// after this one wait for its lease before it places anything that was accepted earlier (6.8 s).
static bool mayBeLetGo(const Worker &On) {
  return !On.Listed && On.Heard && On.Attempts.empty() && On.Unsaved.empty();
}

bool isIdle(const Worker &On) {
  return On.Answers && On.Unsaved.empty() &&
         std::all_of(On.Attempts.begin(), On.Attempts.end(),
                     [](const auto &Entry) { return Entry.second.Phase == AttemptPhase::Planned; });
}

// False for a service that the configuration doesn't name: the entry is another writer's, and its
// address somebody else's.
static bool hasWorkFor(const CellState &Cell, const WorkerInfo &Info) {
  return Cell.Services.empty() || Cell.Services.count(Info.Service) > 0;
}

// A large fleet is not used as a whole: what is idle beyond some spare costs nothing.
static void wantWorkers(CellState &Cell, Effects &Out) {
  uint32_t Spare = 0;
  uint32_t Coming = 0; // wanted, and not ready yet
  for (const auto &[Id, On] : Cell.Workers) {
    const bool Usable = On.Wanted && takesWork(On);
    Spare += Usable && On.Attempts.empty() ? 1 : 0;
    Coming += Usable && On.Answers && (!On.Heard || !On.Saved) ? 1 : 0;
  }
  uint32_t Missing = Spare < Cell.Limits.SpareWorkers ? Cell.Limits.SpareWorkers - Spare : 0;
  if (Cell.Starved && Coming < Cell.Limits.MoreWorkers)
    Missing = std::max(Missing, Cell.Limits.MoreWorkers - Coming);
  Cell.Starved = false;
  Missing = std::min(Missing, Cell.Limits.MoreWorkers);
  for (auto At = Cell.Workers.begin(); At != Cell.Workers.end() && Missing > 0; ++At) {
    Worker &On = At->second;
    if (On.Wanted || !takesWork(On) || !hasWorkFor(Cell, On.Info))
      continue;
    On.Wanted = Out.Wants = true;
    --Missing;
  }
}

void tick(CellState &Cell, TimePoint Now, WallTime Wall, Effects &Out) {
  Cell.Wall = Wall;
  Cell.WallAt = Now;
  if (!Cell.Loaded)
    return;
  const bool LookForStuck = Now >= Cell.NextStuckLook;
  if (LookForStuck)
    Cell.NextStuckLook = Now + StuckLookEvery;
  std::vector<std::string> Over;
  for (auto &[Id, On] : Cell.Workers) {
    blameBeginners(Cell, On, Now, Out);
    const bool Lapsed = !On.Answers && Now > On.LeaseEnd;
    if ((Lapsed && !On.Listed) || mayBeLetGo(On))
      Over.push_back(Id);
    else if (Lapsed) {
      holdBackWhatMayBeDone(Cell, On, Now);
      dropAttempts(Cell, On, LifeEnd::Lapsed, Now, Out);
      heard(Cell, Id, Now, Out);
    } else if (On.Answers) {
      tickStops(Cell, On, Now, Out);
      if (LookForStuck) {
        tickLeftOver(Cell, On, Now, Out);
        tickStuck(Cell, On, Now, Out);
        lookAtTrials(Cell, On, Now, Out);
      }
    }
  }
  for (const std::string &Id : Over)
    workerOver(Cell, Id, Now, Out, LifeEnd::Gone);
  wantWorkers(Cell, Out);
  tickJobs(Cell, Now);
}

} // namespace valveshelf::sched
