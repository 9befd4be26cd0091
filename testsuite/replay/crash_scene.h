// SPDX-License-Identifier: Apache-2.0
// A test fixture: a cell whose workers crash, fall silent, return or refuse starts as the test
// says, and whose scheduler can be replaced by one that restores the state in the store.
#pragma once

#include "replay/placement_scene.h"
#include "valveshelf/cell_records.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <set>

namespace valveshelf::sched {
// The time after which the scheduler takes a worker's lease to have expired.
inline constexpr Milliseconds Lease{6500};

/// Every order is answered at once unless its worker is silent or refuses starts.
class CrashScene {
public:
  explicit CrashScene(int Workers) {
    Cell.WallAt = Now;
    Effects Out;
    finishLoading(Cell, Now, Out);
    for (int I = 0; I < Workers; ++I)
      addWorker("w" + std::to_string(I), static_cast<uint16_t>(9000 + I));
  }

  void listWorker(const std::string &Id, uint16_t Port, bool Draining = false) {
    WorkerInfo Info;
    Info.Id = Id;
    Info.Born = Born[Id];
    Info.Service = "pool";
    Info.Address = {"10.0.0.1", Port};
    Info.Capacity = WorkerSize;
    Info.Draining = Draining;
    Ports[Id] = Port;
    workerListed(Cell, Info, Now);
    Cell.Workers.at(Id).IsRecorded = Cell.Workers.at(Id).IsSelected = true;
  }

  void addWorker(const std::string &Id, uint16_t Port) {
    listWorker(Id, Port);
    report(Id);
  }

  // The worker refuses starts as unhealthy from now on, or accepts them again.
  void refuseStarts(const std::string &Id, bool Refuses = true) {
    if (Refuses)
      Refusing.insert(Id);
    else
      Refusing.erase(Id);
  }

  JobId submit(StepSpec Step, JobId Id = 0, const std::vector<StepSpec> &Further = {}) {
    auto Spec = std::make_shared<JobSpec>();
    Spec->Id = Id ? Id : ++LastJob;
    Spec->Queue = "q";
    Spec->Service = "pool";
    Spec->Priority = 1;
    Spec->MaxAttempts = 2;
    Spec->CriticalPathFactor = 4;
    Spec->ObjectiveSlack = Milliseconds(1000);
    Spec->Steps.push_back(std::move(Step));
    Spec->Steps.insert(Spec->Steps.end(), Further.begin(), Further.end());
    Specs[Spec->Id] = Spec;
    addJob(Cell, Spec, Spec->Id, true, Now);
    return Spec->Id;
  }

  // Delivers a report of the worker: its active runs, its ends that it was not told to forget, and
  // \p Ends as new ends.
  void report(const std::string &Id, std::vector<std::pair<RunKey, RunOutcome>> Ends = {}) {
    const uint64_t Token = fencingToken(Cell, Cell.Workers.at(Id));
    const uint64_t Forgotten = beginAcknowledgement(Cell.Workers.at(Id));
    for (const auto &End : std::exchange(UnreportedEnds[Id], {}))
      Ends.push_back(End);
    for (const auto &[Run, How] : Ends) {
      ActiveRuns[Id].erase(Run);
      KeptEnds[Id].push_back({++LastEndNumbers[Id], Run, How, ""});
    }
    std::erase_if(KeptEnds[Id], [&](const EndedRun &End) { return End.Number <= Forgotten; });
    const WorkerReport Report = reportOf(Id);
    Effects Out;
    workerLeased(Cell, Id, Now + Lease);
    if (workerReported(Cell, Id, Report, Now, Now, Out) == LifeOrder::Same)
      endsForgotten(Cell, Id, Token, Forgotten);
    apply(Out);
  }

  // What the worker says of itself now.
  WorkerReport reportOf(const std::string &Id) {
    WorkerReport Report;
    Report.Born = Born[Id];
    for (const RunKey &Run : ActiveRuns[Id])
      Report.Active.push_back({Run, "", ReportedPercent});
    Report.Ended = KeptEnds[Id];
    return Report;
  }

  // The worker crashes and starts again at once under its id. Nobody is told.
  void restart(const std::string &Id) {
    ActiveRuns.erase(Id);
    UnreportedEnds.erase(Id);
    KeptEnds.erase(Id);
    LastEndNumbers.erase(Id);
    Born[Id] = std::max(WallTime(std::chrono::seconds(1000)), Born[Id]) + Milliseconds(1);
  }

  // All runs on the worker are done, which its next report shows.
  void completeRuns(const std::string &Id) {
    for (const RunKey &Run : ActiveRuns[Id])
      UnreportedEnds[Id].emplace_back(Run, RunOutcome::Done);
    ActiveRuns[Id].clear();
  }

  // Advances the clock in ticks of 10 ms, each with a placement pass. Workers report when they are
  // asked, and every 100 ms if `ReportsUnasked` is set, unless they are silent.
  void advance(Milliseconds Time) {
    for (Milliseconds T{0}; T < Time; T += Milliseconds(10)) {
      Now += Milliseconds(10);
      while (!ScheduledEvents.empty() && ScheduledEvents.begin()->first <= Now)
        ScheduledEvents.extract(ScheduledEvents.begin()).mapped()();
      Effects Out;
      tick(Cell, Now, WallTime(std::chrono::duration_cast<Milliseconds>(Now.time_since_epoch())),
           Out);
      place(Cell, Now, Out);
      apply(Out);
      if (ReportsUnasked && T.count() % 100 == 0)
        for (const auto &[Id, Port] : std::map(Ports))
          if (!Silent.count(Id) && Cell.Workers.count(Id))
            report(Id);
      if (StoreAvailable)
        save();
    }
  }

  // Carries out and answers orders.
  void apply(Effects &Out) {
    for (const Effects::Start &Order : std::vector(Out.Starts)) {
      Started.push_back(Order);
      workerLeased(Cell, Order.Worker, Now + Lease);
      if (CrashesBeforeAnswers)
        Silent.insert(Order.Worker);
      if (Refusing.count(Order.Worker)) {
        Effects Next;
        startAnswered(Cell, Order.Worker, Order.Run, StartResult::RefusedUnhealthy, Now, Next);
      } else if (!Silent.count(Order.Worker)) {
        ActiveRuns[Order.Worker].insert(Order.Run);
        if (CrashingJobs.count(Order.Run.Task.Step.Job))
          scheduleCrash(Order.Worker);
        Effects Next;
        startAnswered(Cell, Order.Worker, Order.Run, StartResult::Started, Now, Next);
      }
    }
    for (const Effects::Stop &Order : std::vector(Out.Stops)) {
      if (Silent.count(Order.Worker))
        continue;
      Effects Next;
      stopAnswered(Cell, Order.Worker, Order.Run, true, Now, Next);
      if (ActiveRuns[Order.Worker].count(Order.Run))
        report(Order.Worker, {{Order.Run, RunOutcome::Stopped}});
    }
    LostRuns.insert(LostRuns.end(), Out.LostRuns.begin(), Out.LostRuns.end());
    CrashCountChanges.insert(CrashCountChanges.end(), Out.CrashCountChanges.begin(),
                             Out.CrashCountChanges.end());
    for (const std::string &Id : std::vector(Out.ReportRequests))
      if (!Silent.count(Id) && Cell.Workers.count(Id))
        report(Id);
  }

  // The worker crashes in 10 ms. It is unlisted after UnlistDelay, and replaced after RestartDelay.
  void scheduleCrash(const std::string &Id) {
    ScheduledEvents.emplace(Now + Milliseconds(10), [this, Id] { fallSilent(Id); });
    ScheduledEvents.emplace(Now + UnlistDelay, [this, Id] { workerUnlisted(Cell, Id, Now); });
    ScheduledEvents.emplace(Now + RestartDelay, [this, Id] {
      if (Cell.Workers.count(Id))
        return replace(Id);
      const uint16_t Port = Ports.at(Id);
      removeWorker(Id);
      addWorker(Id + "+", Port);
    });
  }

  void fallSilent(const std::string &Id) {
    Silent.insert(Id);
    workerSilent(Cell, Id, Now);
  }

  // Another incarnation answers at the worker's address.
  void replace(const std::string &Id) {
    const uint16_t Port = Ports.at(Id);
    removeWorker(Id);
    Effects Out;
    workerEnded(Cell, Id, Now, Out);
    apply(Out);
    addWorker("life" + std::to_string(++LastIncarnation), Port);
  }

  // The worker crashes now and is replaced after \p RestartDelay.
  void crash(const std::string &Id, Milliseconds RestartDelay = Milliseconds(3000)) {
    fallSilent(Id);
    advance(RestartDelay);
    replace(Id);
  }

  // Advances until the job's first task runs. False if it does not within \p Most.
  bool advanceUntilRuns(JobId Id, Milliseconds Most = Milliseconds(3000)) {
    for (Milliseconds T{0}; T < Most && workerOf(Id).empty(); T += Milliseconds(10))
      advance(Milliseconds(10));
    return !workerOf(Id).empty();
  }

  // Reports all runs on the worker as ended, as members of a broken gang end.
  void endRunsAsBroken(const std::string &Id) {
    std::vector<std::pair<RunKey, RunOutcome>> Ends;
    for (const RunKey &Run : ActiveRuns[Id])
      Ends.emplace_back(Run, RunOutcome::GangBroken);
    report(Id, Ends);
  }

  // Replaces the scheduler by one that restores the stored state. Workers that are not silent
  // report to it at once.
  void takeOver() {
    CellState Next;
    Next.WallAt = Now;
    Next.Wall = Cell.Wall;
    Next.Fence = Cell.Fence + 1;
    Next.FirstRun = Cell.FirstRun + 1000;
    Cell = std::move(Next);
    JobsBeingWritten.clear();
    for (const auto &[Id, Port] : std::map(Ports)) {
      listWorker(Id, Port);
      workerMayHoldRuns(Cell, Cell.Workers.at(Id).Info, Now + Lease);
    }
    for (const auto &[Id, Phase] : Ended)
      Cell.EndedJobs[Id] = {Phase, 1, Cell.Wall, ""};
    for (const auto &[Id, Spec] : Specs) {
      addJob(Cell, Spec, Id, false, Now);
      const Result<SavedProgress> Saved = decodeProgress(Id, Progress[Id]);
      for (const auto &[Key, Tasks] : value(Saved).Steps)
        restoreStep(Cell, Key, Tasks);
    }
    Effects Out;
    finishLoading(Cell, Now, Out);
    apply(Out);
    for (const auto &[Id, Port] : std::map(Ports))
      if (Silent.count(Id))
        workerSilent(Cell, Id, Now);
      else
        report(Id);
  }

  const TaskState &taskOf(JobId Id) const {
    return Cell.Jobs.at(Id).Rounds.at(0).Steps[0].Tasks[0];
  }

  void removeWorker(const std::string &Id) {
    UnreportedEnds.erase(Id);
    KeptEnds.erase(Id);
    Ports.erase(Id);
    ActiveRuns.erase(Id);
  }

  // Writes all pending saves; they are durable at once, or after SaveDelay.
  void save() {
    if (SaveDelay > Milliseconds(0))
      return beginWrites();
    while (!Cell.PendingSaves.empty())
      store(prepareWrite(Cell.PendingSaves.begin()->second, Cell.PendingSaves.begin()->first));
  }

  // The worker on which a task of the job runs; empty if it does not run.
  std::string workerOf(JobId Id, uint32_t Index = 0) const {
    const auto Found = Cell.Jobs.find(Id);
    if (Found == Cell.Jobs.end())
      return "";
    const StepState &Step = Found->second.Rounds.at(0).Steps[0];
    const Attempt *What = attemptOf(Step, Index);
    return What && What->Phase == AttemptPhase::Running ? Step.Tasks[Index].AssignedWorker->Info.Id
                                                        : "";
  }

  size_t startsOf(JobId Id) const {
    return static_cast<size_t>(
        std::count_if(Started.begin(), Started.end(),
                      [&](const Effects::Start &Order) { return Order.Run.Task.Step.Job == Id; }));
  }

  CellState Cell;
  TimePoint Now = TimePoint{} + Milliseconds(1000000);
  std::vector<Effects::Start> Started;
  std::vector<Effects::LostRun> LostRuns;
  std::vector<Effects::CrashCountChange> CrashCountChanges;
  std::map<JobId, JobSpecPtr> Specs;
  std::map<JobId, std::string> Progress; ///< As stored.
  std::map<JobId, JobPhase> Ended;
  std::map<std::string, uint16_t> Ports; ///< Of the workers that have not been removed.
  std::map<std::string, WallTime> Born;  ///< Of the workers that have restarted.
  std::map<std::string, std::set<RunKey>> ActiveRuns;
  std::set<std::string> Silent;
  std::set<std::string> Refusing;
  std::set<JobId> CrashingJobs; ///< Jobs whose tasks crash their workers at startup.
  Milliseconds UnlistDelay{4500};
  Milliseconds RestartDelay{3000};
  std::multimap<TimePoint, std::function<void()>> ScheduledEvents;
  int ReportedPercent = 50;          ///< Progress of each run in reports.
  bool StoreAvailable = true;        ///< If false, nothing is saved.
  bool ReportsUnasked = true;        ///< If false, workers report only when they are asked.
  bool CrashesBeforeAnswers = false; ///< Each start order crashes its worker before the answer.

  /// A write is durable after this time. One that is not when the scheduler is replaced is lost.
  Milliseconds SaveDelay{0};

protected:
  std::map<std::string, uint64_t> LastEndNumbers;
  std::map<std::string, std::vector<std::pair<RunKey, RunOutcome>>> UnreportedEnds;
  std::map<std::string, std::vector<EndedRun>> KeptEnds; ///< Until the worker may forget them.

private:
  // The state of a job that is being written.
  struct Write {
    JobId Id = 0;
    uint64_t Number = 0;
    std::optional<JobPhase> Phase; ///< Empty: the job is gone, and nothing is written.
    std::string Progress;
  };

  Write prepareWrite(JobId Id, uint64_t Number) const {
    const auto Found = Cell.Jobs.find(Id);
    if (Found == Cell.Jobs.end())
      return {Id, Number, {}, ""};
    const Job &Of = Found->second;
    return {Id, std::max(Number, Of.PendingSave), Of.Phase,
            Of.Phase == JobPhase::Live ? encodeProgress(Of) : std::string()};
  }

  void store(const Write &What) {
    if (What.Phase == JobPhase::Live)
      Progress[What.Id] = What.Progress;
    else if (What.Phase)
      Ended[What.Id] = *What.Phase;
    jobSaved(Cell, What.Id, What.Number, 1, 1, Cell.Wall);
  }

  // Begins a write of each job that has none in progress.
  void beginWrites() {
    for (const auto &[Number, Id] : Cell.PendingSaves)
      if (JobsBeingWritten.insert(Id).second)
        ScheduledEvents.emplace(Now + SaveDelay,
                                [this, Term = Cell.Fence, What = prepareWrite(Id, Number)] {
                                  if (Term != Cell.Fence)
                                    return;
                                  JobsBeingWritten.erase(What.Id);
                                  store(What);
                                });
  }

  std::set<JobId> JobsBeingWritten;
  JobId LastJob = 0;
  int LastIncarnation = 0;
};

} // namespace valveshelf::sched
