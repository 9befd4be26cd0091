// SPDX-License-Identifier: Apache-2.0
// Workers that are lost under their runs: what is noted of it, and what it means for the tasks.
#include "valveshelf/cell_records.h"
#include "valveshelf/cell_state.h"

#include <gtest/gtest.h>

namespace valveshelf::sched {
namespace {
using namespace std::chrono_literals;

constexpr Resources WorkerSize{64000, 128000, 0};
// A worker's lease as the process reckons it.
constexpr Milliseconds Lease{6500};

StepSpec tasks(uint32_t Count, int64_t MilliCores, Milliseconds Estimate) {
  StepSpec Step;
  Step.Count = Count;
  Step.Need = {MilliCores, 1000, 0};
  Step.Estimate = Estimate;
  return Step;
}

// A cell whose workers do what the test says. Every order is answered after one millisecond.
class Scene {
public:
  explicit Scene(int Workers) {
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

  JobId submit(StepSpec Step, JobId Id = 0) {
    auto Spec = std::make_shared<JobSpec>();
    Spec->Id = Id ? Id : ++LastJob;
    Spec->Queue = "q";
    Spec->Service = "pool";
    Spec->Priority = 1;
    Spec->MaxAttempts = 2;
    Spec->Extension = 4;
    Spec->Target = 1s;
    Spec->Steps.push_back(std::move(Step));
    Specs[Spec->Id] = Spec;
    addJob(Cell, Spec, Spec->Id, true, Now);
    return Spec->Id;
  }

  // What the worker says of itself: the runs that are there, and ends that are new.
  void report(const std::string &Id, const std::vector<std::pair<RunKey, RunEnd>> &Ends = {}) {
    WorkerReport Report;
    for (const auto &[Run, How] : Ends) {
      Here[Id].erase(Run);
      Report.Ended.push_back({++LastEnd[Id], Run, How, ""});
    }
    for (const RunKey &Run : Here[Id])
      Report.Active.push_back({Run, "", 50});
    Effects Out;
    workerLeased(Cell, Id, Now + Lease);
    workerReported(Cell, Id, Report, Now, Now, Out);
    take(Out);
  }

  // Time passes in ticks, with a pass of placement each; workers that live answer every 100 ms.
  void pass(Milliseconds Time) {
    for (Milliseconds T{0}; T < Time; T += 10ms) {
      Now += 10ms;
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
      if (!Silent.count(Order.Worker)) {
        Here[Order.Worker].insert(Order.Run);
        Effects Next;
        startAnswered(Cell, Order.Worker, Order.Run, StartResult::Started, Now, Next);
      }
    }
    for (const Effects::Stop &Order : std::vector(Out.Stops)) {
      Effects Next;
      stopAnswered(Cell, Order.Worker, Order.Run, true, Now, Next);
      if (Here[Order.Worker].count(Order.Run))
        report(Order.Worker, {{Order.Run, RunEnd::Stopped}});
    }
    Losses.insert(Losses.end(), Out.Losses.begin(), Out.Losses.end());
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
  void crash(const std::string &Id, Milliseconds BackAfter = 3s) {
    fallSilent(Id);
    pass(BackAfter);
    replace(Id);
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
  TimePoint Now = TimePoint{} + 1000s;
  std::vector<Effects::Start> Started;
  std::vector<Effects::Loss> Losses;
  std::map<JobId, JobSpecPtr> Specs;
  std::map<JobId, std::string> Progress; ///< As the store has it.
  std::map<std::string, uint16_t> Ports; ///< Of the workers that are there.
  std::map<std::string, std::set<RunKey>> Here;
  std::set<std::string> Silent;
  bool Stores = true; ///< The store takes saves.

private:
  std::map<std::string, uint64_t> LastEnd;
  JobId LastJob = 0;
  int LastLife = 0;
};

// On a cell of 48 workers one job of one task took a worker every 3.3 seconds, and with it all that
// ran there, until the day was over; four such jobs took 253. The worker was gone 11 ms after each
// start, and the scheduler heard of it only when another life answered at its address. What it
// wrote of it was, each time:
//   22.950 worker-replaced worker=...
//   22.966 step-placed step=....0.0 tasks=1 workers=1 waited_ms=13360
//   22.977 worker-silent worker=... why="the answer of 10.4.64.38:8062 is lost: End of file"
//   26.290 worker-replaced worker=...
//   26.304 step-placed step=....0.0 tasks=1 workers=1 waited_ms=16698
// The run counted as lapsed, as if a lease had run out, and lapsed runs count for nothing.
TEST(Crashes, ATaskThatCrashesItsWorkersIsGivenUp) {
  Scene Given(48);
  const JobId Crasher = Given.submit(tasks(1, 4000, 600ms));
  for (int Cycle = 0; Cycle < 12; ++Cycle) {
    Given.pass(1500ms);
    const std::string Where = Given.at(Crasher);
    if (Where.empty())
      break;
    Given.crash(Where);
  }
  EXPECT_EQ(Given.startsOf(Crasher), 3u);
  EXPECT_EQ(shownState(Given.Cell, Crasher), "failed");
}

TEST(Crashes, TellsWhichRunsAWorkerTookWithIt) {
  Scene Given(1);
  const JobId Old = Given.submit(tasks(1, 4000, 60s));
  Given.pass(2s);
  const JobId New = Given.submit(tasks(1, 4000, 60s));
  Given.pass(20ms);
  Given.crash("w0");
  ASSERT_EQ(Given.Losses.size(), 2u);
  EXPECT_EQ(Given.Losses[0].Run.Task.Step.Job, Old);
  EXPECT_GE(Given.Losses[0].Ran, 1500ms);
  EXPECT_EQ(Given.Losses[1].Run.Task.Step.Job, New);
  EXPECT_LT(Given.Losses[1].Ran, 100ms);
  EXPECT_EQ(Given.Losses[1].How, LifeEnd::Replaced);
  EXPECT_EQ(Given.Losses[1].Worker, "w0");
}

} // namespace
} // namespace valveshelf::sched
