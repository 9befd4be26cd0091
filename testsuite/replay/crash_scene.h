// SPDX-License-Identifier: Apache-2.0
// A cell whose workers crash, fall silent, come back and refuse as a test says, and whose scheduler
// is replaced by another that goes on from what the store has.
#pragma once

#include "replay/placement_scene.h"
#include "valveshelf/cell_records.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <set>

namespace valveshelf::sched {
// A worker's lease as the process reckons it.
inline constexpr Milliseconds Lease{6500};

/// Every order is answered at once, unless its worker is silent or refuses.
class CrashScene {
public:
  explicit CrashScene(int Workers) {
    Cell.WallAt = Now;
    Effects Out;
    finishLoading(Cell, Now, Out);
    for (int I = 0; I < Workers; ++I)
      addWorker("w" + std::to_string(I), static_cast<uint16_t>(9000 + I));
  }

  void list(const std::string &Id, uint16_t Port, bool Draining = false) {
    WorkerInfo Info;
    Info.Id = Id;
    Info.Service = "pool";
    Info.Address = {"10.0.0.1", Port};
    Info.Capacity = WorkerSize;
    Info.Draining = Draining;
    Ports[Id] = Port;
    workerListed(Cell, Info, Now);
    Cell.Workers.at(Id).Saved = Cell.Workers.at(Id).Wanted = true;
  }

  void addWorker(const std::string &Id, uint16_t Port) {
    list(Id, Port);
    report(Id);
  }

  // The worker does not do what it is told from now on, and says so.
  void refuseStarts(const std::string &Id, bool Refuses = true) {
    if (Refuses)
      Refusing.insert(Id);
    else
      Refusing.erase(Id);
  }

  JobId submit(StepSpec Step, JobId Id = 0) {
    auto Spec = std::make_shared<JobSpec>();
    Spec->Id = Id ? Id : ++LastJob;
    Spec->Queue = "q";
    Spec->Service = "pool";
    Spec->Priority = 1;
    Spec->MaxAttempts = 2;
    Spec->CriticalPathFactor = 4;
    Spec->ObjectiveSlack = Milliseconds(1000);
    Spec->Steps.push_back(std::move(Step));
    Specs[Spec->Id] = Spec;
    addJob(Cell, Spec, Spec->Id, true, Now);
    return Spec->Id;
  }

  // What the worker says of itself: the runs that are there, and ends that are new.
  void report(const std::string &Id, const std::vector<std::pair<RunKey, RunOutcome>> &Ends = {}) {
    WorkerReport Report;
    for (const auto &[Run, How] : Ends) {
      Here[Id].erase(Run);
      Report.Ended.push_back({++LastEnd[Id], Run, How, ""});
    }
    for (const RunKey &Run : Here[Id])
      Report.Active.push_back({Run, "", Percent});
    Effects Out;
    workerLeased(Cell, Id, Now + Lease);
    workerReported(Cell, Id, Report, Now, Now, Out);
    take(Out);
  }

  // Time passes in ticks, with a pass of placement each; workers that live answer every 100 ms.
  void pass(Milliseconds Time) {
    for (Milliseconds T{0}; T < Time; T += Milliseconds(10)) {
      Now += Milliseconds(10);
      while (!Later.empty() && Later.begin()->first <= Now)
        Later.extract(Later.begin()).mapped()();
      Effects Out;
      tick(Cell, Now, WallTime(std::chrono::duration_cast<Milliseconds>(Now.time_since_epoch())),
           Out);
      place(Cell, Now, Out);
      take(Out);
      if (T.count() % 100 == 0)
        for (const auto &[Id, Port] : std::map(Ports))
          if (!Silent.count(Id) && Cell.Workers.count(Id))
            report(Id);
      if (Stores)
        save();
    }
  }

  // Orders are carried out and answered.
  void take(Effects &Out) {
    for (const Effects::Start &Order : std::vector(Out.Starts)) {
      Started.push_back(Order);
      workerLeased(Cell, Order.Worker, Now + Lease);
      if (Refusing.count(Order.Worker)) {
        Effects Next;
        startAnswered(Cell, Order.Worker, Order.Run, StartResult::RefusedUnhealthy, Now, Next);
      } else if (!Silent.count(Order.Worker)) {
        Here[Order.Worker].insert(Order.Run);
        if (Crashers.count(Order.Run.Task.Step.Job))
          crashSoon(Order.Worker);
        Effects Next;
        startAnswered(Cell, Order.Worker, Order.Run, StartResult::Started, Now, Next);
      }
    }
    for (const Effects::Stop &Order : std::vector(Out.Stops)) {
      Effects Next;
      stopAnswered(Cell, Order.Worker, Order.Run, true, Now, Next);
      if (Here[Order.Worker].count(Order.Run))
        report(Order.Worker, {{Order.Run, RunOutcome::Stopped}});
    }
    Losses.insert(Losses.end(), Out.Losses.begin(), Out.Losses.end());
  }

  // The worker crashes 10 ms from now; its entry lapses, and another life begins in its place.
  void crashSoon(const std::string &Id) {
    Later.emplace(Now + Milliseconds(10), [this, Id] { fallSilent(Id); });
    Later.emplace(Now + EntryKept, [this, Id] { workerUnlisted(Cell, Id, Now); });
    Later.emplace(Now + BackAfter, [this, Id] {
      if (Cell.Workers.count(Id))
        return replace(Id);
      const uint16_t Port = Ports.at(Id);
      forget(Id);
      addWorker(Id + "+", Port);
    });
  }

  void fallSilent(const std::string &Id) {
    Silent.insert(Id);
    workerSilent(Cell, Id);
  }

  // Another life answers at the worker's address.
  void replace(const std::string &Id) {
    const uint16_t Port = Ports.at(Id);
    forget(Id);
    Effects Out;
    workerOver(Cell, Id, Now, Out);
    take(Out);
    addWorker("life" + std::to_string(++LastLife), Port);
  }

  // The worker crashes \p After it began what was started last, and is back after a while.
  void crash(const std::string &Id, Milliseconds BackAfter = Milliseconds(3000)) {
    fallSilent(Id);
    pass(BackAfter);
    replace(Id);
  }

  // Until the job's first task runs; false: it does not.
  bool passUntilRuns(JobId Id, Milliseconds Most = Milliseconds(3000)) {
    for (Milliseconds T{0}; T < Most && at(Id).empty(); T += Milliseconds(10))
      pass(Milliseconds(10));
    return !at(Id).empty();
  }

  // The members of a gang that is not whole any more end.
  void breakRuns(const std::string &Id) {
    std::vector<std::pair<RunKey, RunOutcome>> Ends;
    for (const RunKey &Run : Here[Id])
      Ends.emplace_back(Run, RunOutcome::GangBroken);
    report(Id, Ends);
  }

  // Another scheduler goes on from what the store has; workers that answer are asked at once.
  void takeOver() {
    CellState Next;
    Next.WallAt = Now;
    Next.Wall = Cell.Wall;
    Next.Fence = Cell.Fence + 1;
    Next.FirstRun = Cell.FirstRun + 1000;
    Cell = std::move(Next);
    for (const auto &[Id, Port] : std::map(Ports)) {
      list(Id, Port);
      workerMayHoldRuns(Cell, Cell.Workers.at(Id).Info, Now + Lease);
    }
    for (const auto &[Id, Phase] : Ended)
      Cell.Ended[Id] = {Phase, 1, Cell.Wall, ""};
    for (const auto &[Id, Spec] : Specs) {
      addJob(Cell, Spec, Id, false, Now);
      const Result<SavedSteps> Saved = decodeProgress(Id, Progress[Id]);
      for (const auto &[Key, Tasks] : value(Saved))
        restoreStep(Cell, Key, Tasks);
    }
    Effects Out;
    finishLoading(Cell, Now, Out);
    take(Out);
    for (const auto &[Id, Port] : std::map(Ports))
      if (Silent.count(Id))
        workerSilent(Cell, Id);
      else
        report(Id);
  }

  const TaskState &taskOf(JobId Id) const {
    return Cell.Jobs.at(Id).Rounds.at(0).Steps[0].Tasks[0];
  }

  void forget(const std::string &Id) {
    Ports.erase(Id);
    Here.erase(Id);
  }

  void save() {
    while (!Cell.Saves.empty()) {
      const auto [Number, Id] = *Cell.Saves.begin();
      const auto Found = Cell.Jobs.find(Id);
      if (Found != Cell.Jobs.end() && Found->second.Phase == JobPhase::Live)
        Progress[Id] = encodeProgress(Found->second);
      else if (Found != Cell.Jobs.end())
        Ended[Id] = Found->second.Phase;
      const uint64_t Newest = Found == Cell.Jobs.end() ? Number : Found->second.NeedsSave;
      jobSaved(Cell, Id, std::max(Number, Newest), 1, 1, Cell.Wall);
    }
  }

  // Where a task of the job runs; empty: nowhere.
  std::string at(JobId Id, uint32_t Index = 0) const {
    const auto Found = Cell.Jobs.find(Id);
    if (Found == Cell.Jobs.end())
      return "";
    const StepState &Step = Found->second.Rounds.at(0).Steps[0];
    const Attempt *What = attemptOf(Step, Index);
    return What && What->Phase == AttemptPhase::Running ? Step.Tasks[Index].At->Info.Id : "";
  }

  size_t startsOf(JobId Id) const {
    return static_cast<size_t>(
        std::count_if(Started.begin(), Started.end(),
                      [&](const Effects::Start &Order) { return Order.Run.Task.Step.Job == Id; }));
  }

  CellState Cell;
  TimePoint Now = TimePoint{} + Milliseconds(1000000);
  std::vector<Effects::Start> Started;
  std::vector<Effects::Loss> Losses;
  std::map<JobId, JobSpecPtr> Specs;
  std::map<JobId, std::string> Progress; ///< As the store has it.
  std::map<JobId, JobPhase> Ended;
  std::map<std::string, uint16_t> Ports; ///< Of the workers that are there.
  std::map<std::string, std::set<RunKey>> Here;
  std::set<std::string> Silent;
  std::set<std::string> Refusing; ///< Workers that refuse all starts.
  std::set<JobId> Crashers;       ///< Jobs whose tasks crash their workers as they begin.
  Milliseconds EntryKept{4500};
  Milliseconds BackAfter{3000};
  std::multimap<TimePoint, std::function<void()>> Later;
  int Percent = 50;   ///< Of each run, as its worker says.
  bool Stores = true; ///< The store takes saves.

private:
  std::map<std::string, uint64_t> LastEnd;
  JobId LastJob = 0;
  int LastLife = 0;
};

} // namespace valveshelf::sched
