// SPDX-License-Identifier: Apache-2.0
// Speculative copies of slow runs: prediction of ends, choice of the runs to copy and of their
// workers, and the record of each copy.
#include "scheduler/copies.h"
#include "scheduler/job_services.h"

#include "scheduler/crashes.h"
#include "scheduler/overload.h"
#include "scheduler/run_times.h"

#include <algorithm>
#include <cmath>

namespace valveshelf::sched {
namespace {
// Reports are requested at least this often. The progress in an older one is not used.
constexpr Milliseconds MaxReportAge{2000};
// Progress is reported in whole percent: less than this gives no useful speed.
constexpr int MinUsablePercent = 5;
// A run without usable progress is slow after this multiple of the expected time.
constexpr double SlowRatio = 1.5;
// A copy has to save this fraction of the expected time, and at least MinSaving.
constexpr double MinSavingRatio = 0.2;
constexpr Milliseconds MinSaving{100};
// The part of the cores and accelerators of a service that its copies may use.
constexpr int64_t BudgetDivisor = 20;
// No copy of a task is started for this time after one that ended without completing it.
constexpr Milliseconds CopyRetryPause{1000};
// Runs examined and workers visited in one decision, which bounds its time in a large cell.
constexpr size_t MaxRunsExamined = 5000;
constexpr size_t MaxWorkersVisited = 50000;
// Workers named in one advice request of a copy.
constexpr size_t MaxWorkersNamed = 8;
} // namespace

std::string_view toString(CopyWinner Winner) {
  switch (Winner) {
  case CopyWinner::None:
    return "none";
  case CopyWinner::Copy:
    return "copy";
  case CopyWinner::Slow:
    return "slow";
  }
  return "";
}

bool mayHaveCopies(const StepSpec &Step) {
  return Step.Speculative && !Step.Gang && !Step.LongRunning;
}

Attempt *copyOf(const StepState &Step, uint32_t Index) {
  const TaskCopy &Copy = Step.Tasks[Index].Copy;
  if (!Copy.On)
    return nullptr;
  const auto Found = Copy.On->Attempts.find({{Step.Key, Index}, Copy.Run});
  return Found == Copy.On->Attempts.end() ? nullptr : &Found->second;
}

// The figure is as old as the report that showed it: time since then is not counted against the
// run. A figure that later reports repeat is as new as the last of them.
std::optional<TimePoint> predictEnd(const RunProgress &Run, TimePoint Now) {
  const TimePoint SeenAt = std::max(Run.PercentAt, Run.ReportAskedAt);
  if (Run.From && SeenAt > Run.From->At && Now - SeenAt <= MaxReportAge &&
      Run.Percent - Run.From->Percent >= MinUsablePercent) {
    const int Gained = Run.Percent + 1 - Run.From->Percent; // percent are rounded down
    const int Left = std::max(0, 99 - Run.Percent);
    return std::max(Now, SeenAt + (SeenAt - Run.From->At) * Left / Gained);
  }
  const Steady::duration Elapsed = Now - Run.StartedAt;
  const auto SlowAfter = Run.Expected.Expected * (SlowRatio * std::exp(Run.Expected.Spread));
  if (Run.Expected.Expected.count() <= 0 || Elapsed <= SlowAfter)
    return std::nullopt;
  return Now + Elapsed; // of runs that take long, half are expected to take twice as long
}

bool isWorthwhile(const CopyTimes &Times) {
  const auto Saving = std::max(
      MinSaving, std::chrono::duration_cast<Milliseconds>(Times.Expected * MinSavingRatio));
  const bool IsAtRisk = Times.SlowEnd + Times.Following > Times.Objective;
  const TimePoint JobEnd = Times.CopyEnd + Times.Following;
  const bool IsUseful = JobEnd <= Times.Objective || JobEnd < Times.UsefulUntil;
  return IsAtRisk && IsUseful && Times.CopyEnd + Saving <= Times.SlowEnd;
}

void indexStep(CellState &Cell, const StepState &Step) {
  if (Cell.InForce.Copies && mayHaveCopies(*Step.Spec))
    Cell.Copies.Steps.insert(Step.Key);
}

void resetCopyIndex(CellState &Cell) {
  Cell.Copies.Steps.clear();
  Cell.Copies.Cursor.reset();
  for (const auto &[Id, Of] : Cell.Jobs)
    for (const auto &[Number, Round] : Of.Rounds)
      for (const StepState &Step : Round.Steps)
        if (Step.BookedTasks > 0)
          indexStep(Cell, Step);
}

void noteCopyEnded(CellState &Cell, const RunKey &Run, RunOutcome How, TimePoint Now,
                   Effects &Out) {
  const auto Found = Cell.Copies.Records.find(Run);
  if (Found == Cell.Copies.Records.end())
    return;
  const CopyRecord Record = Found->second;
  Cell.Copies.Records.erase(Found);
  TaskState *Task = findTask(Cell, Run.Task);
  const bool IsOpen =
      Task && !Task->Done && Cell.Jobs.at(Run.Task.Step.Job).Phase == JobPhase::Live;
  Effects::CopyEnd End{Run, Record.SlowRun};
  if (Record.HasLost)
    End.Winner = CopyWinner::Slow;
  else if (IsOpen && How == RunOutcome::Done)
    End.Winner = CopyWinner::Copy;
  else if (Task)
    Task->Copy.NotBefore = Now + CopyRetryPause;
  if (End.Winner == CopyWinner::Copy && Record.PredictedEnd > Now)
    End.Saved = std::chrono::duration_cast<Milliseconds>(Record.PredictedEnd - Now);
  const std::chrono::duration<double> Time = Now - Record.StartedAt;
  End.CoreSeconds = static_cast<double>(Record.Need.MilliCores) / 1000 * Time.count();
  Out.CopyEnds.push_back(End);
}

void noteCopyLost(CellState &Cell, const RunKey &Done) {
  auto &Records = Cell.Copies.Records;
  for (auto At = Records.lower_bound({Done.Task, 0});
       At != Records.end() && At->first.Task == Done.Task; ++At)
    At->second.HasLost = At->first.Run != Done.Run;
}

// Of two runs that both leave, the copy is stopped; the other is then moved like any run.
bool continuesElsewhere(const StepState &Step, const RunKey &Run) {
  const TaskState &Task = Step.Tasks[Run.Task.Index];
  const bool IsCopy = Task.Copy.Run == Run.Run;
  const Attempt *Other = IsCopy ? attemptOf(Step, Run.Task.Index) : copyOf(Step, Run.Task.Index);
  if (!Other || Other->Phase != AttemptPhase::Running)
    return false;
  const Worker &On = IsCopy ? *Task.AssignedWorker : *Task.Copy.On;
  return IsCopy || (takesWork(On) && On.IsResponsive);
}

bool canAdoptCopy(const Job &Of, const StepState &Step, const TaskState &Task, const Worker &On) {
  return Of.Phase == JobPhase::Live && !Task.Done && mayHaveCopies(*Step.Spec) &&
         Task.AssignedWorker && Task.AssignedWorker != &On && !Task.Copy.On;
}

void adoptCopy(CellState &Cell, StepState &Step, Worker &On, const RunKey &Run, TimePoint Now) {
  const Job &Of = Cell.Jobs.at(Step.Key.Job);
  Attempt &Taken =
      bookCopy(Cell, Step, Run.Task.Index, On, Run.Run, AttemptPhase::Running, Of, Now);
  Taken.StartedAt = Taken.PercentChangedAt = Now;
  CopyRecord &Record = Cell.Copies.Records[Run];
  Record.SlowRun = Step.Tasks[Run.Task.Index].Run;
  Record.Service = On.Info.Service;
  Record.Need = Taken.Need;
  Record.StartedAt = Now;
}

namespace {
/// A run for which a copy may be started.
struct SlowRun {
  const Job *J = nullptr;
  StepState *Step = nullptr;
  uint32_t Index = 0;
  CopyTimes Times;
};

/// One decision over all slow runs.
struct CopyDecision {
  PlacementPass &Pass;
  std::map<std::string, Resources> Capacities{}; ///< By service; empty until they are needed.
  std::map<std::string, Resources> InUse{};      ///< By service, of copies.
  std::optional<std::set<std::string>> WaitingServices{}; ///< Empty until they are needed.
  size_t WorkersVisited = 0;
};

// The longest chain of the steps that follow \p Step.
Milliseconds followingTime(const CellState &Cell, const Job &J, const StepState &Step) {
  const std::vector<StepState> &Steps = J.Rounds.at(Step.Key.Round).Steps;
  std::vector<Milliseconds> Tails(Steps.size()); // of what follows a step
  for (size_t I = Steps.size(); I-- > Step.Key.Step + 1;) {
    const Milliseconds Own =
        Steps[I].Spec->LongRunning ? Milliseconds(0) : learnedRunTime(Cell, J, Steps[I]).Expected;
    for (const uint32_t Earlier : Steps[I].Spec->DependsOn)
      Tails[Earlier] = std::max(Tails[Earlier], Tails[I] + Own);
  }
  return Tails[Step.Key.Step];
}

// False while a copy of the task would hide what is wrong with it, could be a third run, or could
// fail the job by a failure of its own.
bool mayCopyTask(const PlacementPass &Pass, const Job &J, const StepState &Step, uint32_t Index) {
  const TaskState &Task = Step.Tasks[Index];
  const bool HasAttemptsLeft =
      Task.FailedRuns.size() + 1 < static_cast<size_t>(std::max(J.Spec->MaxAttempts, 0));
  return HasAttemptsLeft && !Task.Done && Task.AssignedWorker && !Task.Copy.On &&
         Task.StartupCrashes == 0 && Task.NotBefore <= Pass.Now &&
         Task.Copy.NotBefore <= Pass.Now && !hasOrphanedRun(Pass.Cell, {Step.Key, Index});
}

bool hasConfirmedStart(const Attempt &Entry) {
  return Entry.Phase == AttemptPhase::Running && Entry.ConfirmedAt != TimePoint{} &&
         !Entry.IsIsolatedStart;
}

RunProgress progressOf(const Attempt &Entry, const Worker &On, const RunTime &Expected) {
  const std::optional<ProgressBase> From =
      Entry.IsTimed ? std::optional(ProgressBase{0, Entry.StartedAt}) : Entry.MeasuredFrom;
  return {Entry.StartedAt, Expected, From, Entry.Percent, Entry.PercentChangedAt, On.ReportAskedAt};
}

// Adds the runs of the step that are slow while the objective is at risk.
void findSlowRuns(const PlacementPass &Pass, const Job &J, StepState &Step,
                  std::vector<SlowRun> &Found) {
  const RunTime Expected = learnedRunTime(Pass.Cell, J, Step);
  if (Expected.Expected.count() <= 0)
    return;
  const Milliseconds Following = followingTime(Pass.Cell, J, Step);
  for (uint32_t I = 0; I < Step.Tasks.size(); ++I) {
    const Attempt *Entry = mayCopyTask(Pass, J, Step, I) ? attemptOf(Step, I) : nullptr;
    if (!Entry || !hasConfirmedStart(*Entry))
      continue;
    const auto End =
        predictEnd(progressOf(*Entry, *Step.Tasks[I].AssignedWorker, Expected), Pass.Now);
    if (!End || *End + Following <= Entry->Objective)
      continue;
    Found.push_back({&J,
                     &Step,
                     I,
                     {*End,
                      {},
                      Expected.Expected,
                      Following,
                      Entry->Objective,
                      usefulUntil(Pass.Cell, J, Step.Key.Round, Entry->Objective)}});
  }
}

// Examines steps in turn, so that each is reached in a cell with more runs than one decision
// examines.
std::vector<SlowRun> findSlowRuns(PlacementPass &Pass) {
  CopyState &State = Pass.Cell.Copies;
  std::vector<SlowRun> Found;
  size_t Examined = 0;
  auto At = State.Cursor ? State.Steps.lower_bound(*State.Cursor) : State.Steps.begin();
  for (size_t Left = State.Steps.size(); Left > 0 && Examined < MaxRunsExamined; --Left) {
    if (At == State.Steps.end())
      At = State.Steps.begin();
    StepState *Step = findStep(Pass.Cell, *At);
    const Job *J = Step ? &Pass.Cell.Jobs.at(At->Job) : nullptr;
    if (!Step || J->Phase != JobPhase::Live || Step->OpenTasks == 0 || Step->BookedTasks == 0) {
      At = State.Steps.erase(At);
      continue;
    }
    Examined += Step->Tasks.size();
    if (isServiceSaved(Pass.Cell, *J) && !mayBeOnWorkersOf(*J, Pass.UnreportedServices))
      findSlowRuns(Pass, *J, *Step, Found);
    ++At;
  }
  State.Cursor = At == State.Steps.end() ? std::nullopt : std::optional(*At);
  return Found;
}

bool waitsForCapacity(const StepState &Step) {
  return Step.LastPlacementFailed && Step.WaitReason != WaitsForQuota &&
         std::any_of(Step.Tasks.begin(), Step.Tasks.end(),
                     [](const TaskState &Task) { return !Task.Done && !Task.AssignedWorker; });
}

// True if a step of the service that is on time and within its share waits for capacity.
bool hasWaitingStep(CopyDecision &Decision, const std::string &Service) {
  if (!Decision.WaitingServices) {
    Decision.WaitingServices.emplace();
    for (const QueueKey &Entry : Decision.Pass.Cell.Queue) {
      if (Entry.IsOverShare || Entry.isDeprioritized())
        break; // the queue has these last
      const StepState *Step = findStep(Decision.Pass.Cell, Entry.Step);
      if (Step && waitsForCapacity(*Step))
        Decision.WaitingServices->insert(
            Decision.Pass.Cell.Jobs.at(Entry.Step.Job).Services.Current);
    }
  }
  return Decision.WaitingServices->count(Service) > 0;
}

bool isWithinBudget(CopyDecision &Decision, const std::string &Service, const Resources &Need) {
  if (Decision.Capacities.empty()) {
    for (const auto &[Id, W] : Decision.Pass.Cell.Workers)
      if (W.HasReported && W.IsResponsive && takesWork(W))
        Decision.Capacities[W.Info.Service] += W.Info.Capacity;
    for (const auto &[Run, Record] : Decision.Pass.Cell.Copies.Records)
      Decision.InUse[Record.Service] += Record.Need;
  }
  const Resources Total = Decision.Capacities[Service];
  const Resources Used = Decision.InUse[Service] + Need;
  return Used.MilliCores * BudgetDivisor <= Total.MilliCores &&
         Used.Accelerators * BudgetDivisor <= Total.Accelerators;
}

// When a copy started now on the worker would end.
TimePoint copyEndOn(const PlacementPass &Pass, const SlowRun &Slow, const Worker &W) {
  const TaskState &Task = Slow.Step->Tasks[Slow.Index];
  const int Left = Task.Checkpoint.empty() ? 100 : 100 - Task.Copy.CheckpointPercent;
  const auto Time = Slow.Times.Expected / learnedSpeed(Pass.Cell, W) * Left / 100;
  return Pass.Now + std::chrono::duration_cast<Steady::duration>(Time);
}

/// Rates a worker for a copy; the smallest is the best.
struct CopyScore {
  bool IsFar = false;
  bool HasSameRack = false; ///< As the slow run: what makes it slow may be there.
  SpeedBand Speed = SpeedBand::Ordinary;
  bool IsWarmingUp = false;
  int64_t Remaining = 0;
  friend bool operator<(const CopyScore &A, const CopyScore &B) {
    return std::tie(A.IsFar, A.HasSameRack, A.Speed, A.IsWarmingUp, A.Remaining) <
           std::tie(B.IsFar, B.HasSameRack, B.Speed, B.IsWarmingUp, B.Remaining);
  }
};

CopyScore scoreOf(const PlacementPass &Pass, const SlowRun &Slow, const Worker &W) {
  const StepState &Step = *Slow.Step;
  const std::string &SlowRack = Step.Tasks[Slow.Index].AssignedWorker->Info.Rack;
  CopyScore Value;
  Value.IsFar = !Step.Spec->PreferredRack.empty() && W.Info.Rack != Step.Spec->PreferredRack;
  Value.HasSameRack = !SlowRack.empty() && W.Info.Rack == SlowRack;
  Value.Speed = W.Speed;
  Value.IsWarmingUp = W.SlowUntil > Pass.Now;
  const int64_t Remaining = freeCapacityFor(Pass, W, *Slow.J, Step).MilliCores;
  Value.Remaining = Slow.J->Spec->Priority == 0 ? -Remaining : Remaining;
  return Value;
}

// Requests of copies use only advice capacity that is spare, and do not add workers to those in
// use.
void requestCopyAdvice(PlacementPass &Pass, const SlowRun &Slow,
                       std::vector<std::string> NoTicket) {
  CellState &Cell = Pass.Cell;
  if (!Slow.J->Spec->Advice || Cell.OutstandingAdviceRequests * 2 >= Cell.AdviceConcurrency ||
      !canRequestAdvice(Pass, *Slow.J, *Slow.Step))
    return;
  const bool Shortage = Cell.WorkerShortage;
  if (NoTicket.empty())
    requestAdviceOnUnknown(Pass, *Slow.J, *Slow.Step);
  else
    requestAdvice(Pass, *Slow.J, *Slow.Step, std::move(NoTicket));
  Cell.WorkerShortage = Shortage;
}

// The best worker for a copy on which it is worthwhile; null if there is none. Sets the copy's end.
Worker *selectCopyWorker(CopyDecision &Decision, SlowRun &Slow) {
  PlacementPass &Pass = Decision.Pass;
  const Job &J = *Slow.J;
  StepState &Step = *Slow.Step;
  const TaskState &Task = Step.Tasks[Slow.Index];
  const Resources Need = needOf(Step);
  Worker *Best = nullptr;
  CopyScore BestScore;
  std::vector<std::string> NoTicket;
  forEachAdvisedWorker(Pass, J, Step, [&](Worker &W) {
    ++Decision.WorkersVisited;
    if (&W == Task.AssignedWorker || !fits(Need, freeCapacityFor(Pass, W, J, Step)) ||
        !isUsable(Pass, W, J, Step) || isAtTaskLimit(Step, W) ||
        hasRecentlyFailedOn(Pass, Task, W) || W.ConsecutiveFailures > 0)
      return;
    CopyTimes Times = Slow.Times;
    Times.CopyEnd = copyEndOn(Pass, Slow, W);
    if (!isWorthwhile(Times))
      return;
    if (!hasTicket(Pass, J, Step, W)) {
      if (NoTicket.size() < MaxWorkersNamed)
        NoTicket.push_back(W.Info.Id);
      return;
    }
    const CopyScore Value = scoreOf(Pass, Slow, W);
    if (!Best || Value < BestScore) {
      Best = &W;
      BestScore = Value;
      Slow.Times.CopyEnd = Times.CopyEnd;
    }
  });
  if (!Best)
    requestCopyAdvice(Pass, Slow, std::move(NoTicket));
  return Best;
}

void startCopy(CopyDecision &Decision, const SlowRun &Slow, Worker &W) {
  PlacementPass &Pass = Decision.Pass;
  StepState &Step = *Slow.Step;
  const TaskState &Task = Step.Tasks[Slow.Index];
  const RunKey Run{{Step.Key, Slow.Index}, nextRun(Pass.Cell, Step, Slow.Index)};
  Attempt &Entry =
      bookCopy(Pass.Cell, Step, Slow.Index, W, Run.Run, AttemptPhase::Starting, *Slow.J, Pass.Now);
  Entry.Sends = 1;
  const AdviceState::Permit *Permit = findPermit(Step, W);
  Pass.Out.Starts.push_back(
      {W.Info.Id, Run, Slow.J->Spec, Task.Checkpoint, Permit ? Permit->Ticket : std::string()});
  const std::string &Service = Slow.J->Services.Current;
  Pass.Cell.Copies.Records[Run] = {Task.Run,           Service,           Entry.Need, Pass.Now,
                                   Slow.Times.SlowEnd, Slow.Times.CopyEnd};
  Decision.InUse[Service] += Entry.Need;
  Pass.Out.CopyStarts.push_back({Run, W.Info.Id, Task.Run, Task.AssignedWorker->Info.Id,
                                 Slow.Times.SlowEnd, Slow.Times.CopyEnd, Slow.Times.Objective});
}
} // namespace

void startCopies(PlacementPass &Pass) {
  CellState &Cell = Pass.Cell;
  if (!Cell.InForce.Copies || Pass.Now < Cell.Copies.NextDecision)
    return;
  Cell.Copies.NextDecision = Pass.Now + CopyDecisionInterval;
  std::vector<SlowRun> Found = findSlowRuns(Pass);
  std::stable_sort(Found.begin(), Found.end(), [](const SlowRun &A, const SlowRun &B) {
    return std::tuple(A.J->IsOverShare, A.J->Spec->Priority, A.Times.Objective) <
           std::tuple(B.J->IsOverShare, B.J->Spec->Priority, B.Times.Objective);
  });
  CopyDecision Decision{Pass};
  for (SlowRun &Slow : Found) {
    if (Decision.WorkersVisited >= MaxWorkersVisited)
      return;
    const std::string &Service = Slow.J->Services.Current;
    if (hasWaitingStep(Decision, Service) ||
        !isWithinBudget(Decision, Service, needOf(*Slow.Step)) ||
        !isWithinQuota(Cell, Slow.J->Owner, Slow.Step->Spec->Need))
      continue;
    if (Worker *W = selectCopyWorker(Decision, Slow))
      startCopy(Decision, Slow, *W);
  }
}

} // namespace valveshelf::sched
