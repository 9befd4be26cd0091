// SPDX-License-Identifier: Apache-2.0
// Workers and their attempts: handles reports, answers to orders, and missing answers.
#include "scheduler/copies.h"
#include "scheduler/crashes.h"
#include "scheduler/forecast.h"
#include "scheduler/job_services.h"
#include "scheduler/overload.h"
#include "scheduler/restarts.h"
#include "scheduler/run_times.h"
#include "scheduler/unbooked.h"
#include "scheduler/worker_lives.h"

#include <algorithm>
#include <utility>

namespace valveshelf::sched {

void tickJobs(CellState &Cell, TimePoint Now);

namespace {
// A stop without an answer is sent again after this time, which covers a few round trips.
constexpr Milliseconds StopRetryDelay{500};
// An unanswered start is sent at most this often, then stopped.
constexpr int MaxStartSends = 2;
// A run without progress for this time, or for 1/StallEstimateDivisor of its estimate if longer,
// has stalled. A worker that is eight times slower still shows progress in that time.
constexpr Milliseconds MinStallTime{2000};
constexpr int StallEstimateDivisor = 6;
// The same for a run without an estimate.
constexpr Milliseconds DefaultStallTime{10000};
// Members of a gang that is done are stopped if they have not ended within this time.
constexpr Milliseconds GangEndTimeout{1500};
constexpr Milliseconds StallCheckInterval{500};
// A run that fails within 1/EarlyFailureDivisor of its estimate counts as failed early, which
// points to the worker: faults of the task itself occur anywhere in its run time.
constexpr int EarlyFailureDivisor = 10;
// A worker that has restarted is asked again for its first report after this time, in which a call
// is answered or fails. Its heartbeats go on as well.
constexpr Milliseconds RestartReportDelay{400};
// No work is placed for this time on a worker that refused a start as unhealthy or was not
// reachable.
constexpr Milliseconds UnavailableBackoff{500};

Worker *findWorker(CellState &Cell, const std::string &Id) {
  const auto Found = Cell.Workers.find(Id);
  return Found == Cell.Workers.end() ? nullptr : &Found->second;
}

// Removes the worker from those that may hold unknown runs. The last one of the services of a job
// releases its tasks that were held back, since an earlier scheduler may have started them.
void noteWorkerKnown(CellState &Cell, const std::string &Id, TimePoint Now, Effects &Out) {
  const auto Found = Cell.UnreportedWorkers.find(Id);
  if (Found == Cell.UnreportedWorkers.end())
    return;
  const std::string Service = std::move(Found->second);
  Cell.UnreportedWorkers.erase(Found);
  if (std::any_of(Cell.UnreportedWorkers.begin(), Cell.UnreportedWorkers.end(),
                  [&](const auto &Entry) { return Entry.second == Service; }))
    return;
  const std::set<std::string> Known{Service};
  const std::set<std::string> Unreported = unreportedServices(Cell);
  for (auto &[JobNumber, Of] : Cell.Jobs) {
    if (!mayBeOnWorkersOf(Of, Known) || mayBeOnWorkersOf(Of, Unreported))
      continue;
    for (auto &[Number, Round] : Of.Rounds)
      for (StepState &Step : Round.Steps) {
        // All workers that may hold runs of the job are known now. A gang of which only some
        // members were found can't be completed, so these are stopped.
        const bool Partial =
            Step.Spec->Gang && Step.BookedTasks > 0 && Step.BookedTasks < Step.OpenTasks;
        for (uint32_t I = 0; Partial && I < Step.Tasks.size(); ++I)
          if (Step.Tasks[I].AssignedWorker)
            stopAttempt(Cell, *Step.Tasks[I].AssignedWorker, {{Step.Key, I}, Step.Tasks[I].Run},
                        "the gang is incomplete", Now, Out);
        queueStep(Cell, Of, Step, Now);
      }
  }
  settleEarlierStarts(Cell, Service, Unreported, Now, Out);
  if (Unreported.empty())
    Cell.LostUnreportedWorkers.clear();
}

// Charges the attempt to the quota of its organisation.
void chargeAttempt(Attempt &Entry, OrganisationState *Owner, const Resources &Amount) {
  Entry.Owner = Owner;
  Entry.Charge = Amount;
  if (Owner)
    Owner->Usage += Amount;
}

// Charges a run of unknown size: the capacity of its worker is the most that it can take, or all
// that the organisation may use if that is not known either.
void chargeStrayRun(Attempt &Stray, OrganisationState *Owner, const Worker &On) {
  const bool IsKnown = On.Info.Capacity != Resources{};
  chargeAttempt(Stray, Owner, IsKnown || !Owner ? On.Info.Capacity : Owner->Maximum);
}

// Handles a reported run that this scheduler did not start: adopts it if its task needs a run, else
// stops it.
void adopt(CellState &Cell, Worker &On, const ActiveRun &Row, TimePoint Now, Effects &Out) {
  StepState *Step = findStep(Cell, Row.Run.Task.Step);
  const bool Known = Step && Row.Run.Task.Index < Step->Tasks.size();
  if (!Known) {
    // The job has ended or is unknown, and so is the size of the run.
    On.HasUnsizedRun = true;
    Cell.OrphanedRuns.insert(Row.Run);
    Attempt &Stray = On.Attempts[Row.Run];
    Stray.Phase = AttemptPhase::Running;
    Stray.StartedAt = Stray.PhaseSince = Now;
    if (const auto Was = Cell.EndedJobs.find(Row.Run.Task.Step.Job); Was != Cell.EndedJobs.end())
      chargeStrayRun(Stray, findOrAddOrganisation(Cell, Was->second.Organisation), On);
    stopAttempt(Cell, On, Row.Run, "its job has ended", Now, Out);
    return;
  }
  Job &Of = Cell.Jobs.at(Step->Key.Job);
  const TaskState &Task = Step->Tasks[Row.Run.Task.Index];
  const bool Wanted = Of.Phase == JobPhase::Live && !Task.Done && !Task.AssignedWorker;
  if (Wanted) {
    Attempt &Taken =
        book(Cell, *Step, Row.Run.Task.Index, On, Row.Run.Run, AttemptPhase::Running, Of, Now);
    Taken.StartedAt = Taken.PercentChangedAt = Now;
    retractInheritedStart(Cell, Row.Run.Task, Out);
    notePendingStart(Cell, Row.Run.Task, On, Out);
    Of.Begun = true;
    if (Step->Spec->Gang)
      Step->GangRun = std::max(Step->GangRun, Row.Run.Run);
    queueStep(Cell, Of, *Step, Now);
    return;
  }
  if (canAdoptCopy(Of, *Step, Task, On)) {
    adoptCopy(Cell, *Step, On, Row.Run, Now);
    retractInheritedStart(Cell, Row.Run.Task, Out);
    return;
  }
  Attempt &Extra = On.Attempts[Row.Run];
  Extra.Phase = AttemptPhase::Running;
  Extra.Need = Step->Spec->Need;
  Extra.StartedAt = Extra.PhaseSince = Now;
  On.Booked += Extra.Need;
  chargeAttempt(Extra, Of.Owner, Step->Spec->Need);
  stopAttempt(Cell, On, Row.Run, "the task does not need this run", Now, Out);
}

// Of two runs of a task, the one behind the other must not replace a checkpoint that is further on.
bool isNewestCheckpoint(const TaskState &Task, const ActiveRun &Row) {
  return Task.Checkpoint != Row.Checkpoint &&
         (!Task.Copy.On || Row.Percent >= Task.Copy.CheckpointPercent);
}

void noteProgress(CellState &Cell, Worker &On, const ActiveRun &Row, Attempt &Entry,
                  const ReportTimes &When, Effects &Out) {
  const TimePoint Now = When.ReadAt;
  if (Entry.Phase == AttemptPhase::Starting || Entry.Phase == AttemptPhase::Uncertain) {
    setPhase(Cell, On, Row.Run, AttemptPhase::Running, Now);
    Entry.StartedAt = Entry.PercentChangedAt = Now;
  }
  if (Entry.Percent != Row.Percent) {
    Entry.Percent = Row.Percent;
    Entry.PercentChangedAt = Now;
  }
  if (!Entry.IsTimed && !Entry.MeasuredFrom)
    Entry.MeasuredFrom = ProgressBase{Row.Percent, Now};
  noteRunListed(Cell, On, Row.Run, Entry, When, Out);
  StepState *Step = findStep(Cell, Row.Run.Task.Step);
  if (!Step || Row.Run.Task.Index >= Step->Tasks.size())
    return;
  Cell.Jobs.at(Step->Key.Job).Begun = true;
  TaskState &Task = Step->Tasks[Step->Spec->Gang ? 0 : Row.Run.Task.Index];
  if (!Row.Checkpoint.empty() && isNewestCheckpoint(Task, Row)) {
    Task.Copy.CheckpointPercent = Row.Percent;
    Task.Checkpoint = Row.Checkpoint;
  }
}

// True if the run failed early and it is the first failure of its task: a task that fails
// everywhere is no evidence against the worker.
bool failedEarly(CellState &Cell, const Worker &On, const RunKey &Run, TimePoint Now) {
  const auto Found = On.Attempts.find(Run);
  const StepState *Step = findStep(Cell, Run.Task.Step);
  if (Found == On.Attempts.end() || !Step || Run.Task.Index >= Step->Tasks.size())
    return false;
  const Attempt &Entry = Found->second;
  return !hasFailedBefore(*Step, Run.Task.Index) && Entry.StartedAt != TimePoint{} &&
         (Now - Entry.StartedAt) * EarlyFailureDivisor < Entry.Estimate;
}

// Quarantines a worker after several consecutive failures, so that tasks don't use up their
// attempts on it, and for a shorter time after one early failure. hasRecentlyFailedOn keeps a task
// itself away from the worker that failed it.
void updateQuarantine(CellState &Cell, Worker &On, const EndedRun &End, TimePoint Now) {
  if (End.Outcome == RunOutcome::Done)
    On.ConsecutiveFailures = 0;
  if (End.Outcome != RunOutcome::Failed || !isEvidenceAgainstWorker(Cell, End.Run, Now))
    return;
  if (failedEarly(Cell, On, End.Run, Now))
    On.QuarantinedUntil = std::max(On.QuarantinedUntil, Now + Cell.Limits.FailureAvoidanceTime);
  if (++On.ConsecutiveFailures < Cell.Limits.MaxConsecutiveFailures)
    return;
  On.QuarantinedUntil = Now + Cell.Limits.QuarantineTime;
  On.ConsecutiveFailures = Cell.Limits.MaxConsecutiveFailures - 1;
}

// \p WasResponsive: the worker had answered the call before this report.
void processEnds(CellState &Cell, Worker &On, const WorkerReport &Report, bool WasResponsive,
                 TimePoint Now, Effects &Out) {
  for (const EndedRun &End : Report.Ended) {
    if (End.Number <= On.LastEndNumber)
      continue;
    On.LastEndNumber = End.Number;
    ensureReportedRound(Cell, End.Run.Task.Step, Now);
    updateQuarantine(Cell, On, End, Now);
    if (End.Outcome == RunOutcome::Done)
      noteRunDone(Cell, On, End.Run, WasResponsive, Now, Out);
    noteEndListed(Cell, End, Out);
    paceRestart(Cell, On, End, Now, Out);
    unbook(Cell, On, End.Run);
    runEnded(Cell, End.Run, End.Outcome, End.Checkpoint, &On, Now, Out);
    const auto Of = Cell.Jobs.find(End.Run.Task.Step.Job);
    const uint64_t Save = Of == Cell.Jobs.end() ? 0 : Of->second.PendingSave;
    if (Save == 0 && On.UnsavedEnds.empty()) {
      On.ForgetThrough = End.Number;
    } else {
      On.UnsavedEnds.emplace_back(End.Number, Save);
      Cell.SlotsWithUnsavedEnds.insert(On.Slot);
    }
  }
}

// A copy that never started tells nothing about the pending start of its task's other run.
void noteRunNeverStarted(CellState &Cell, const RunKey &Run, const Worker &On, Effects &Out) {
  const auto Found = On.Attempts.find(Run);
  if (Found != On.Attempts.end() && Found->second.IsCopy)
    retractCrash(Cell, Run.Task, lifeName(On), Out);
  else
    noteNeverStarted(Cell, Run.Task, On, Out);
}

// True if the report has a run of a job that is neither known nor known to have ended. The
// scheduler before may have learned of it first.
bool namesUnknownJob(const CellState &Cell, const WorkerReport &Report) {
  const auto IsUnknown = [&](const auto &Row) {
    const JobId Job = Row.Run.Task.Step.Job;
    return !Cell.Jobs.count(Job) && !Cell.EndedJobs.count(Job);
  };
  return std::any_of(Report.Active.begin(), Report.Active.end(), IsUnknown) ||
         std::any_of(Report.Ended.begin(), Report.Ended.end(), IsUnknown);
}

// Drops runs that were stopped before they started: the worker lists neither them nor their ends.
void dropNeverStarted(CellState &Cell, Worker &On, const WorkerReport &Report, TimePoint AskedAt,
                      TimePoint Now, Effects &Out) {
  const auto IsActive = [&](const RunKey &Run) {
    return std::any_of(Report.Active.begin(), Report.Active.end(),
                       [&](const ActiveRun &Row) { return Row.Run == Run; });
  };
  std::vector<RunKey> Gone;
  for (const auto &[Run, Entry] : On.Attempts)
    if (Entry.Phase == AttemptPhase::Stopping && Entry.StopAcked && AskedAt >= Entry.StopAckedAt &&
        !IsActive(Run))
      Gone.push_back(Run);
  for (const RunKey &Run : Gone) {
    noteUnbooked(Cell, On, Run, "not-listed", Now, Out);
    noteRunNeverStarted(Cell, Run, On, Out);
    unbook(Cell, On, Run);
    runEnded(Cell, Run, RunOutcome::Stopped, "", &On, Now, Out);
  }
}

// Drops runs of long-running tasks that were there before the report was asked for and that it does
// not name: they have ended, and the worker was told to forget their ends unheard. Other tasks are
// found by their progress, which these don't have, and an end of theirs may settle them.
void dropUnheardLastingRuns(CellState &Cell, Worker &On, const WorkerReport &Report,
                            TimePoint AskedAt, TimePoint Now, Effects &Out) {
  const auto IsActive = [&](const RunKey &Run) {
    return std::any_of(Report.Active.begin(), Report.Active.end(),
                       [&](const ActiveRun &Row) { return Row.Run == Run; });
  };
  std::vector<RunKey> Gone;
  for (const auto &[Run, Entry] : On.Attempts) {
    const StepState *Step = findStep(Cell, Run.Task.Step);
    if (Step && Step->Spec->LongRunning && Entry.Phase == AttemptPhase::Running &&
        AskedAt >= Entry.StartedAt && !IsActive(Run))
      Gone.push_back(Run);
  }
  for (const RunKey &Run : Gone) {
    noteUnbooked(Cell, On, Run, "end-unheard", Now, Out);
    unbook(Cell, On, Run);
    runEnded(Cell, Run, RunOutcome::LeaseExpired, "", &On, Now, Out);
  }
}

// Stops the members of a gang run that can't be completed, instead of letting them wait for it.
void stopGang(CellState &Cell, StepState &Step, uint32_t Run, const char *Why, TimePoint Now,
              Effects &Out) {
  for (uint32_t I = 0; I < Step.Tasks.size(); ++I)
    if (Step.Tasks[I].AssignedWorker && Step.Tasks[I].Run == Run)
      stopAttempt(Cell, *Step.Tasks[I].AssignedWorker, {{Step.Key, I}, Run}, Why, Now, Out);
}

void startRefused(CellState &Cell, Worker &On, const RunKey &Run, StartResult Answer,
                  std::string_view Why, TimePoint Now, Effects &Out) {
  StepState *Step = findStep(Cell, Run.Task.Step);
  if (AdviceState::Permit *Used = Step ? findPermit(*Step, On) : nullptr;
      Used && Answer == StartResult::RefusedTicket)
    Used->ValidUntil = Now;
  if (Answer == StartResult::RefusedUnhealthy || Answer == StartResult::NotSent)
    On.QuarantinedUntil = std::max(On.QuarantinedUntil, Now + UnavailableBackoff);
  if (Answer == StartResult::RefusedNoCapacity)
    Out.ReportRequests.push_back(On.Info.Id);
  noteUnbooked(Cell, On, Run, Why, Now, Out);
  noteRunNeverStarted(Cell, Run, On, Out);
  unbook(Cell, On, Run);
  noteCopyEnded(Cell, Run, RunOutcome::Stopped, Now, Out);
  if (!Step)
    return;
  if (Step->Spec->Gang)
    stopGang(Cell, *Step, Run.Run, "a member was refused", Now, Out);
  queueStep(Cell, Cell.Jobs.at(Step->Key.Job), *Step, Now);
}

// The order may have been carried out, and is not sent again.
void stopUncertainStart(CellState &Cell, Worker &On, const RunKey &Run, TimePoint Now,
                        Effects &Out) {
  StepState *Step = findStep(Cell, Run.Task.Step);
  if (Step && Step->Spec->Gang)
    return stopGang(Cell, *Step, Run.Run, "a member's start is uncertain", Now, Out);
  stopAttempt(Cell, On, Run, "its start is uncertain", Now, Out);
}

// Repeats a start order that got no answer, with the same run number and the latest checkpoint. The
// caller limits the repeats.
void resendStart(CellState &Cell, Worker &On, const RunKey &Run, Attempt &Entry, Effects &Out) {
  StepState *Step = findStep(Cell, Run.Task.Step);
  const std::string &Checkpoint = Step->Tasks[Step->Spec->Gang ? 0 : Run.Task.Index].Checkpoint;
  const AdviceState::Permit *Used = findPermit(*Step, On);
  ++Entry.Sends;
  Out.Starts.push_back({On.Info.Id, Run, Cell.Jobs.at(Run.Task.Step.Job).Spec, Checkpoint,
                        Used ? Used->Ticket : std::string()});
}
} // namespace

namespace {
// Sets what differs between a copy and the only run of a task.
void setRole(CellState &Cell, Worker &On, Attempt &Entry, const StepState &Step, const Job &Of,
             bool IsCopy) {
  Cell.UrgentAttempts -= Entry.IsUrgent ? 1 : 0;
  if (Entry.IsPreemptible)
    On.Preemptible -= Entry.Need;
  const StepSpec &Spec = *Step.Spec;
  Entry.IsCopy = IsCopy;
  Entry.Priority = IsCopy ? CopyPriority : Of.IsOverShare ? OverSharePriority : Of.Spec->Priority;
  Entry.IsUrgent = !IsCopy && Of.Spec->Priority == 0;
  Entry.IsPreemptible = IsCopy || (Spec.Checkpointable && !Spec.Gang && !Spec.LongRunning);
  Cell.UrgentAttempts += Entry.IsUrgent ? 1 : 0;
  if (Entry.IsPreemptible)
    On.Preemptible += Entry.Need;
}

// Adds an attempt to the worker and books its resources.
Attempt &addAttempt(CellState &Cell, const StepState &Step, uint32_t Index, Worker &On,
                    uint32_t Run, AttemptPhase Phase, const Job &Of, TimePoint Now) {
  Attempt &Made = On.Attempts[{{Step.Key, Index}, Run}];
  Made.Need = Step.Spec->Need;
  if (Step.Spec->BestEffort)
    Made.Need.MilliCores = 0;
  chargeAttempt(Made, Of.Owner, Step.Spec->Need);
  Made.Objective = Of.Objective;
  Made.Estimate = Step.Spec->Estimate;
  Made.Expected = expectedRunTimeOn(Cell, Step, On);
  Made.IsIsolatedStart = needsIsolatedStart(Step.Tasks[Index]);
  On.IsolatedStarts += Made.IsIsolatedStart ? 1 : 0;
  Made.IsWatchedStart = Step.Tasks[Index].StartupCrashes > 0;
  On.WatchedStarts += Made.IsWatchedStart ? 1 : 0;
  Made.Phase = Phase;
  Made.PhaseSince = Now;
  (Phase == AttemptPhase::Planned ? On.Planned : On.Booked) += Made.Need;
  return Made;
}
} // namespace

Attempt &book(CellState &Cell, StepState &Step, uint32_t Index, Worker &On, uint32_t Run,
              AttemptPhase Phase, const Job &Of, TimePoint Now) {
  TaskState &Task = Step.Tasks[Index];
  Task.AssignedWorker = &On;
  Task.Run = Run;
  ++Step.BookedTasks;
  Attempt &Made = addAttempt(Cell, Step, Index, On, Run, Phase, Of, Now);
  Step.PlannedTasks += Phase == AttemptPhase::Planned ? 1 : 0;
  setRole(Cell, On, Made, Step, Of, false);
  indexStep(Cell, Step);
  return Made;
}

Attempt &bookCopy(CellState &Cell, StepState &Step, uint32_t Index, Worker &On, uint32_t Run,
                  AttemptPhase Phase, const Job &Of, TimePoint Now) {
  Step.Tasks[Index].Copy.On = &On;
  Step.Tasks[Index].Copy.Run = Run;
  Attempt &Made = addAttempt(Cell, Step, Index, On, Run, Phase, Of, Now);
  setRole(Cell, On, Made, Step, Of, true);
  return Made;
}

bool promoteCopy(CellState &Cell, StepState &Step, uint32_t Index) {
  Attempt *Entry = copyOf(Step, Index);
  if (!Entry)
    return false;
  TaskState &Task = Step.Tasks[Index];
  setRole(Cell, *Task.Copy.On, *Entry, Step, Cell.Jobs.at(Step.Key.Job), false);
  Task.AssignedWorker = std::exchange(Task.Copy.On, nullptr);
  Task.Run = Task.Copy.Run;
  return true;
}

void setPhase(CellState &Cell, Worker &On, const RunKey &Run, AttemptPhase Phase, TimePoint Now) {
  Attempt &Entry = On.Attempts.at(Run);
  if (Entry.Phase == AttemptPhase::Planned && Phase != AttemptPhase::Planned) {
    On.Planned -= Entry.Need;
    On.Booked += Entry.Need;
    if (StepState *Step = findStep(Cell, Run.Task.Step))
      --Step->PlannedTasks;
  }
  Entry.Phase = Phase;
  Entry.PhaseSince = Now;
}

void unbook(CellState &Cell, Worker &On, const RunKey &Run) {
  const auto Found = On.Attempts.find(Run);
  if (Found == On.Attempts.end())
    return;
  const bool WasPlanned = Found->second.Phase == AttemptPhase::Planned;
  (WasPlanned ? On.Planned : On.Booked) -= Found->second.Need;
  if (Found->second.IsPreemptible)
    On.Preemptible -= Found->second.Need;
  if (!WasPlanned)
    noteReleased(Cell.Loads, On.Info.Service, Found->second.Need);
  Cell.UrgentAttempts -= Found->second.IsUrgent ? 1 : 0;
  On.IsolatedStarts -= Found->second.IsIsolatedStart ? 1 : 0;
  On.WatchedStarts -= Found->second.IsWatchedStart ? 1 : 0;
  if (Found->second.Owner) {
    Found->second.Owner->Usage -= Found->second.Charge;
    if (!WasPlanned)
      noteReleased(Cell.Forecasts.Quotas, Found->second.Owner->Name, Found->second.Charge);
  }
  On.Attempts.erase(Found);
  Cell.OrphanedRuns.erase(Run);
  if (On.HasUnsizedRun)
    On.HasUnsizedRun = std::any_of(On.Attempts.begin(), On.Attempts.end(), [](const auto &Entry) {
      return Entry.second.Need == Resources{};
    });
  StepState *Step = findStep(Cell, Run.Task.Step);
  if (!Step || Run.Task.Index >= Step->Tasks.size())
    return;
  Step->PlannedTasks -= WasPlanned ? 1 : 0;
  TaskState &Task = Step->Tasks[Run.Task.Index];
  if (Task.Copy.On == &On && Task.Copy.Run == Run.Run) {
    Task.Copy.On = nullptr;
  } else if (Task.AssignedWorker == &On && Task.Run == Run.Run &&
             !promoteCopy(Cell, *Step, Run.Task.Index)) {
    Task.AssignedWorker = nullptr;
    --Step->BookedTasks;
  }
}

void dropPlanned(CellState &Cell, Worker &On, const RunKey &Run, Effects &Out) {
  clearPendingStart(Cell, Run.Task, Out);
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

Worker &findOrAddWorker(CellState &Cell, const std::string &Id) {
  const auto [Place, New] = Cell.Workers.try_emplace(Id);
  if (New) {
    Place->second.Slot = static_cast<uint32_t>(Cell.Slots.size());
    Cell.Slots.push_back(&Place->second);
    assignToken(Cell, Place->second);
  }
  return Place->second;
}

LifeOrder workerListed(CellState &Cell, const WorkerInfo &Info, TimePoint Now) {
  const LifeStatement Stated{Info.Born, {}, {}};
  Worker *Known = findWorker(Cell, Info.Id);
  const LifeOrder Order = Known ? compareLives(Known->Life, Stated) : LifeOrder::Same;
  if (Order == LifeOrder::Older)
    return Order;
  Worker &On = Order == LifeOrder::Newer ? beginNewLife(Cell, *Known, Stated, "entry", Now)
                                         : findOrAddWorker(Cell, Info.Id);
  noteLife(On.Life, Stated, Now);
  On.Info = Info;
  On.Listed = true;
  On.LeavesAt = Now + Info.DrainTimeLeft;
  On.SlowUntil = Now + Info.WarmUpTimeLeft;
  On.InEvacuatedZone = Cell.Evacuated.Names.count(Info.Zone) > 0;
  if (!Known)
    On.LeaseEnd = Now;
  return Order;
}

void workerUnlisted(CellState &Cell, const std::string &Id, TimePoint Now) {
  Worker *On = findWorker(Cell, Id);
  if (!On || !On->Listed)
    return;
  On->Listed = false;
  On->UnlistedAt = Now;
}

void workerMayHoldRuns(CellState &Cell, const WorkerInfo &Info, TimePoint LeaseEnd) {
  Worker &On = findOrAddWorker(Cell, Info.Id);
  if (On.Info.Id.empty())
    On.Info = Info;
  On.IsRecorded = On.IsSelected = true;
  On.LeaseEnd = std::max(On.LeaseEnd, LeaseEnd);
  Cell.UnreportedWorkers.emplace(Info.Id, On.Info.Service);
}

LifeOrder workerReported(CellState &Cell, const std::string &Id, const WorkerReport &Report,
                         TimePoint AskedAt, TimePoint Now, Effects &Out) {
  Worker *On = findWorker(Cell, Id);
  if (!On)
    return LifeOrder::Older;
  const LifeStatement Stated{Report.Born, Report.WorkerClock, AskedAt};
  const LifeOrder Order = compareLives(On->Life, Stated);
  if (Order == LifeOrder::Newer) {
    requestReport(beginNewLife(Cell, *On, Stated, "report", Now), Now, Out);
    return Order;
  }
  if (Order == LifeOrder::Older || (On->IsRestart && AskedAt <= On->Life.LearnedAt))
    return LifeOrder::Older;
  // Of two reports with the same reading of the clock, the one that was requested first may be the
  // older one.
  const bool MayBeOvertaken = Report.WorkerClock == On->Life.Clock && AskedAt < On->ReportAskedAt;
  if (MayBeOvertaken)
    return LifeOrder::Older;
  noteLife(On->Life, Stated, Now);
  const bool WasResponsive = std::exchange(On->IsResponsive, true);
  On->ReportAskedAt = std::max(On->ReportAskedAt, AskedAt);
  On->AwaitsJobs = !On->HasReported && Cell.PredecessorMayStart && namesUnknownJob(Cell, Report);
  if (On->AwaitsJobs)
    return Order;
  if (!On->HasReported) {
    releaseCarriedOutRuns(Cell, *On, Report, Out);
    if (!Report.HasMoreEnds) {
      endEarlierLives(Cell, *On, Now, Out);
      confirmCrashesOfEarlierLives(Cell, *On, Now, Out);
    }
  }
  retractSuspicions(Cell, *On, AskedAt, Out);
  noteContradictions(Cell, *On, Report, Now, Out);
  processEnds(Cell, *On, Report, WasResponsive, Now, Out);
  for (const ActiveRun &Row : Report.Active) {
    const auto Found = On->Attempts.find(Row.Run);
    ensureReportedRound(Cell, Row.Run.Task.Step, Now);
    if (Found == On->Attempts.end())
      adopt(Cell, *On, Row, Now, Out);
    else
      noteProgress(Cell, *On, Row, Found->second, {AskedAt, Now, Report.WorkerClock}, Out);
  }
  // What such a report does not name may be among the ends that it leaves out.
  if (Report.HasMoreEnds)
    return Order;
  stopIncompleteGangs(Cell, *On, Now, Out);
  dropNeverStarted(Cell, *On, Report, AskedAt, Now, Out);
  dropUnheardLastingRuns(Cell, *On, Report, AskedAt, Now, Out);
  On->HasReported = true;
  noteWorkerKnown(Cell, Id, Now, Out);
  return Order;
}

void workerSilent(CellState &Cell, const std::string &Id, TimePoint Now) {
  Worker *On = findWorker(Cell, Id);
  if (!On)
    return;
  On->IsResponsive = false;
  if (!std::exchange(On->HasUncountedSilence, true))
    On->SilenceNoticedAt = Now;
}

void workerLeased(CellState &Cell, const std::string &Id, TimePoint End) {
  if (Worker *On = findWorker(Cell, Id))
    On->LeaseEnd = std::max(On->LeaseEnd, End);
}

void workerEnded(CellState &Cell, const std::string &Id, TimePoint Now, Effects &Out,
                 WorkerEnd How) {
  Worker *On = findWorker(Cell, Id);
  if (!On)
    return;
  noteLostBeforeReport(Cell, *On, How);
  if (Cell.UnreportedWorkers.count(Id))
    Cell.LostUnreportedAt = Now;
  dropAttempts(Cell, *On, How, Now, Out);
  const std::vector<std::string> Earlier =
      How == WorkerEnd::Replaced ? earlierLivesOf(Cell, *On) : std::vector<std::string>();
  Cell.Slots[On->Slot] = nullptr;
  retireToken(Cell, *On);
  Cell.Workers.erase(Id);
  noteWorkerKnown(Cell, Id, Now, Out);
  for (const std::string &Key : Earlier) // no call to the id reaches a worker any more
    workerEnded(Cell, Key, Now, Out, How);
}

LifeOrder orderAnswered(CellState &Cell, const std::string &Id, Milliseconds Clock,
                        TimePoint AskedAt, TimePoint Now, Effects &Out) {
  Worker *On = findWorker(Cell, Id);
  if (!On)
    return LifeOrder::Older;
  const LifeStatement Stated{{}, Clock, AskedAt};
  LifeOrder Order = compareLives(On->Life, Stated);
  if (Order == LifeOrder::Same &&
      contradictsClock(On->Life, Clock, AskedAt, Now, Cell.Limits.ClockDrift))
    Order = LifeOrder::Newer;
  if (Order == LifeOrder::Newer)
    requestReport(beginNewLife(Cell, *On, Stated, "order", Now), Now, Out);
  return Order;
}

static Attempt *findAttempt(CellState &Cell, const std::string &Id, const RunKey &Run) {
  Worker *On = findWorker(Cell, Id);
  if (!On)
    return nullptr;
  const auto Found = On->Attempts.find(Run);
  return Found == On->Attempts.end() ? nullptr : &Found->second;
}

void startSent(CellState &Cell, const std::string &Id, const RunKey &Run, uint64_t Token) {
  if (Attempt *Entry = findAttempt(Cell, Id, Run))
    Entry->Token = Token;
}

void startRepeated(CellState &Cell, const std::string &Id, const RunKey &Run) {
  if (Attempt *Entry = findAttempt(Cell, Id, Run))
    Entry->WasRepeated = true;
}

// True if the refusal of its order shows that the run is not there: no other order of it was sent,
// which may have been carried out.
static bool isSentOnce(const Attempt &Entry) { return Entry.Sends == 1 && !Entry.WasRepeated; }

void startAnswered(CellState &Cell, const std::string &Id, const RunKey &Run, StartResult Answer,
                   TimePoint Now, Effects &Out) {
  if (Answer == StartResult::RefusedFence) {
    Out.Deposed = true; // the newer scheduler decides about the run
    return;
  }
  Worker *On = findWorker(Cell, Id);
  if (!On)
    return;
  const auto Found = On->Attempts.find(Run);
  if (Answer == StartResult::OtherIncarnation) {
    if (Found != On->Attempts.end() && Found->second.Phase == AttemptPhase::Starting &&
        isSentOnce(Found->second))
      startRefused(Cell, *On, Run, Answer, toString(Answer), Now, Out);
    return workerEnded(Cell, Id, Now, Out);
  }
  On->IsResponsive = Answer != StartResult::Unknown && Answer != StartResult::NotSent;
  if (Found == On->Attempts.end())
    return;
  Attempt &Entry = Found->second;
  if (Answer == StartResult::Started && Entry.AcceptedAt == TimePoint{})
    Entry.AcceptedAt = Now;
  if (Entry.Phase != AttemptPhase::Starting && Entry.Phase != AttemptPhase::Uncertain)
    return;
  if (Answer == StartResult::Started) {
    setPhase(Cell, *On, Run, AttemptPhase::Running, Now);
    Entry.StartedAt = Entry.PercentChangedAt = Entry.ConfirmedAt = Now;
    if (const StepState *Step = findStep(Cell, Run.Task.Step)) {
      Job &Of = Cell.Jobs.at(Run.Task.Step.Job);
      if (!std::exchange(Of.Begun, true))
        noteFirstStart(Cell, Of, Now, Out);
      const TaskState &Task = Step->Tasks[Step->Spec->Gang ? 0 : Run.Task.Index];
      Entry.IsTimed = isSentOnce(Entry) && Task.Checkpoint.empty();
    }
    return;
  }
  if (Answer != StartResult::Unknown && isSentOnce(Entry))
    return startRefused(Cell, *On, Run, Answer, toString(Answer), Now, Out);
  // Not sent again to a worker that no longer takes work; a stop then settles the first order.
  if (Entry.Sends < MaxStartSends && takesWork(*On) && findStep(Cell, Run.Task.Step)) {
    setPhase(Cell, *On, Run, AttemptPhase::Uncertain, Now);
    return resendStart(Cell, *On, Run, Entry, Out);
  }
  stopUncertainStart(Cell, *On, Run, Now, Out);
}

void startWithheld(CellState &Cell, const std::string &Id, const RunKey &Run, TimePoint Now,
                   Effects &Out) {
  Worker *On = findWorker(Cell, Id);
  if (!On)
    return;
  const auto Found = On->Attempts.find(Run);
  if (Found == On->Attempts.end())
    return;
  if (Found->second.Phase == AttemptPhase::Starting && Found->second.Sends == 1)
    startRefused(Cell, *On, Run, StartResult::RefusedExpired, "withheld", Now, Out);
  else if (Found->second.Phase == AttemptPhase::Uncertain)
    stopUncertainStart(Cell, *On, Run, Now, Out);
}

void stopAnswered(CellState &Cell, const std::string &Id, const RunKey &Run, bool Acked,
                  TimePoint Now, Effects &Out) {
  Worker *On = findWorker(Cell, Id);
  if (!On)
    return;
  On->IsResponsive = Acked;
  const auto Found = On->Attempts.find(Run);
  if (Found == On->Attempts.end() || !Acked)
    return;
  Attempt &Entry = Found->second;
  Entry.StopAcked = true;
  Entry.StopAckedAt = Now;
  if (Entry.StartedAt == TimePoint{})
    Out.ReportRequests.push_back(Id);
}

// Sends unconfirmed stops again, and requests a report if the end of a stopped run is overdue.
static void retryStops(const CellState &Cell, Worker &On, TimePoint Now, Effects &Out) {
  bool Look = false;
  for (auto &[Run, Entry] : On.Attempts) {
    if (Entry.Phase != AttemptPhase::Stopping || Now - Entry.StopSent < StopRetryDelay)
      continue;
    if (Entry.StopAcked && Now - Entry.StopAckedAt < Cell.Limits.StopTime + StopRetryDelay)
      continue;
    Entry.StopSent = Now;
    if (!Entry.StopAcked)
      Out.Stops.push_back({On.Info.Id, Run, "the stop was not confirmed"});
    Look = Look || Entry.StopAcked;
  }
  if (Look)
    Out.ReportRequests.push_back(On.Info.Id);
}

// A stop of a healthy run costs its work: the larger of estimate and learned time counts.
static Milliseconds stallTime(const StepState &Step, const Attempt &Entry) {
  const Milliseconds Estimate = Step.Spec->Estimate;
  const Milliseconds Least = Estimate.count() == 0 ? DefaultStallTime : MinStallTime;
  return std::max(Least, std::max(Estimate, Entry.Expected) / StallEstimateDivisor);
}

// Stops members of gangs that are done and have not ended with the others.
static void stopLeftoverGangMembers(CellState &Cell, Worker &On, TimePoint Now, Effects &Out) {
  std::vector<RunKey> Left;
  for (const auto &[Run, Entry] : On.Attempts)
    if (Entry.EndExpectedSince != TimePoint{} && Now - Entry.EndExpectedSince > GangEndTimeout)
      Left.push_back(Run);
  for (const RunKey &Run : Left)
    stopAttempt(Cell, On, Run, "the others of its gang have ended", Now, Out);
}

// Marks the task as stalled; true if it is the first time. A task that stalls everywhere is no
// evidence against its workers, which would be quarantined one after the other.
static bool noteFirstStall(CellState &Cell, const RunKey &Run) {
  TaskState &Task = findStep(Cell, Run.Task.Step)->Tasks[Run.Task.Index];
  return !std::exchange(Task.HasStalled, true);
}

// Stops runs that make no progress, so that they continue elsewhere.
static void stopStalledRuns(CellState &Cell, Worker &On, TimePoint Now, Effects &Out) {
  std::vector<RunKey> Stalled;
  for (const auto &[Run, Entry] : On.Attempts) {
    const StepState *Step = findStep(Cell, Run.Task.Step);
    const bool Watched = Entry.Phase == AttemptPhase::Running && Step && !Step->Spec->LongRunning &&
                         Entry.EndExpectedSince == TimePoint{};
    if (Watched && Entry.Percent < 100 &&
        On.ReportAskedAt - Entry.PercentChangedAt > stallTime(*Step, Entry))
      Stalled.push_back(Run);
  }
  for (const RunKey &Run : Stalled) {
    stopAttempt(Cell, On, Run, "it makes no progress", Now, Out);
    if (noteFirstStall(Cell, Run))
      On.QuarantinedUntil = Now + Cell.Limits.QuarantineTime;
  }
}

// UnreportedWorkers holds only those that `workerMayHoldRuns` has added, not every listed worker.
std::set<std::string> unreportedServices(const CellState &Cell) {
  std::set<std::string> Services;
  for (const auto &[Id, Service] : Cell.UnreportedWorkers)
    Services.insert(Service);
  return Services;
}

// True if the worker is unlisted and holds nothing. If its record were kept, the next scheduler
// would wait for its lease to expire before it places jobs that were accepted earlier.
static bool canBeForgotten(const Worker &On) {
  return !On.Listed && On.HasReported && On.Attempts.empty() && On.UnsavedEnds.empty();
}

bool isIdle(const Worker &On) {
  return On.IsResponsive && On.UnsavedEnds.empty() &&
         std::all_of(On.Attempts.begin(), On.Attempts.end(),
                     [](const auto &Entry) { return Entry.second.Phase == AttemptPhase::Planned; });
}

// False for a service that is not in the configuration: another writer made the entry, and its
// address may belong to something else.
static bool isConfiguredService(const CellState &Cell, const WorkerInfo &Info) {
  return Cell.Services.empty() || Cell.Services.count(Info.Service) > 0;
}

// Selects more workers if fewer than SpareWorkers are idle or a step found no room. The rest of a
// large fleet stays unused and costs no calls.
static void selectWorkers(CellState &Cell, Effects &Out) {
  uint32_t Spare = 0;
  uint32_t Coming = 0; // selected, not ready yet
  for (const auto &[Id, On] : Cell.Workers) {
    const bool Usable = On.IsSelected && takesWork(On);
    Spare += Usable && On.Attempts.empty() ? 1 : 0;
    Coming += Usable && On.IsResponsive && (!On.HasReported || !On.IsRecorded) ? 1 : 0;
  }
  uint32_t Missing = Spare < Cell.Limits.SpareWorkers ? Cell.Limits.SpareWorkers - Spare : 0;
  if (Cell.WorkerShortage && Coming < Cell.Limits.MaxNewWorkersPerTick)
    Missing = std::max(Missing, Cell.Limits.MaxNewWorkersPerTick - Coming);
  Cell.WorkerShortage = false;
  Missing = std::min(Missing, Cell.Limits.MaxNewWorkersPerTick);
  for (auto At = Cell.Workers.begin(); At != Cell.Workers.end() && Missing > 0; ++At) {
    Worker &On = At->second;
    if (On.IsSelected || !takesWork(On) || !isConfiguredService(Cell, On.Info))
      continue;
    On.IsSelected = Out.HasNewWorkers = true;
    --Missing;
  }
}

// By then neither an earlier life nor the present one, which may have carried out its orders and
// whose lease is renewed while it answers, holds runs of it.
static TimePoint leaseEndOfLives(CellState &Cell, const Worker &Earlier) {
  const Worker *Present = findWorker(Cell, Earlier.Info.Id);
  return Present ? std::max(Earlier.LeaseEnd, Present->LeaseEnd) : Earlier.LeaseEnd;
}

void tick(CellState &Cell, TimePoint Now, WallTime Wall, Effects &Out) {
  Cell.Wall = Wall;
  Cell.WallAt = Now;
  Out.WorkerRestarts = std::exchange(Cell.NewRestarts, {});
  Out.QueueMoves = std::exchange(Cell.NewMoves, {});
  if (!Cell.Loaded)
    return;
  const bool CheckForStalls = Now >= Cell.NextStallScan;
  if (CheckForStalls)
    Cell.NextStallScan = Now + StallCheckInterval;
  const TimePoint Certain = std::min(Now, Cell.ConfirmedAt.value_or(Now));
  std::vector<std::string> Over;
  std::vector<std::string> SettledLives;
  for (auto &[Id, On] : Cell.Workers) {
    if (On.IsEarlierLife) {
      if (On.Attempts.empty() || Certain > leaseEndOfLives(Cell, On))
        SettledLives.push_back(Id);
      continue;
    }
    if (On.IsRestart && !On.HasReported && On.IsResponsive &&
        Now - On.ReportRequestedAt >= RestartReportDelay)
      requestReport(On, Now, Out);
    countSilence(Cell, On, Now, Out);
    const bool Lapsed = !On.IsResponsive && Certain > On.LeaseEnd;
    if ((Lapsed && !On.Listed) || canBeForgotten(On))
      Over.push_back(Id);
    else if (Lapsed) {
      delayPossiblyDoneTasks(Cell, On, Now);
      dropAttempts(Cell, On, WorkerEnd::LeaseExpired, Now, Out);
      noteLostBeforeReport(Cell, On, WorkerEnd::LeaseExpired);
      noteWorkerKnown(Cell, Id, Now, Out);
    } else if (On.IsResponsive) {
      retryStops(Cell, On, Now, Out);
      requestReportsOfStarts(On, Now, Out);
      if (CheckForStalls) {
        stopLeftoverGangMembers(Cell, On, Now, Out);
        stopStalledRuns(Cell, On, Now, Out);
      }
    }
  }
  for (const std::string &Id : Over)
    workerEnded(Cell, Id, Now, Out, WorkerEnd::Unlisted);
  for (const std::string &Id : SettledLives)
    workerEnded(Cell, Id, Now, Out, WorkerEnd::Replaced);
  selectWorkers(Cell, Out);
  expireRevocations(Cell, Now);
  tickJobs(Cell, Now);
  if (Cell.InForce.ShareAdvice || Cell.InForce.OverloadOrder || Cell.InForce.Admission)
    updateServiceLoads(Cell, Now);
  refreshRunTimes(Cell, Now, Out);
  updateForecast(Cell, Now);
  if (Cell.InForce.OverloadOrder)
    updateOverloadOrder(Cell, Now, Out);
}

} // namespace valveshelf::sched
