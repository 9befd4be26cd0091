// SPDX-License-Identifier: Apache-2.0
// Workers that are lost under their runs: what is noted of it, and what it means for the tasks.
#include "cell.pb.h"
#include "replay/placement_scene.h"
#include "valveshelf/cell_records.h"

#include <gtest/gtest.h>

namespace valveshelf::sched {
namespace {
using namespace std::chrono_literals;

// A worker's lease as the process reckons it.
constexpr Milliseconds Lease{6500};

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
      Report.Active.push_back({Run, "", Percent});
    Effects Out;
    workerLeased(Cell, Id, Now + Lease);
    workerReported(Cell, Id, Report, Now, Now, Out);
    take(Out);
  }

  // Time passes in ticks, with a pass of placement each; workers that live answer every 100 ms.
  void pass(Milliseconds Time) {
    for (Milliseconds T{0}; T < Time; T += 10ms) {
      Now += 10ms;
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
        startAnswered(Cell, Order.Worker, Order.Run, StartResult::RefusedBusy, Now, Next);
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
        report(Order.Worker, {{Order.Run, RunEnd::Stopped}});
    }
    Losses.insert(Losses.end(), Out.Losses.begin(), Out.Losses.end());
  }

  // The worker crashes 10 ms from now; its entry lapses, and another life begins in its place.
  void crashSoon(const std::string &Id) {
    Later.emplace(Now + 10ms, [this, Id] { fallSilent(Id); });
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
  void crash(const std::string &Id, Milliseconds BackAfter = 3s) {
    fallSilent(Id);
    pass(BackAfter);
    replace(Id);
  }

  // Until the job's first task runs; false: it does not.
  bool passUntilRuns(JobId Id, Milliseconds Most = 3s) {
    for (Milliseconds T{0}; T < Most && at(Id).empty(); T += 10ms)
      pass(10ms);
    return !at(Id).empty();
  }

  // The members of a gang that is not whole any more end.
  void breakRuns(const std::string &Id) {
    std::vector<std::pair<RunKey, RunEnd>> Ends;
    for (const RunKey &Run : Here[Id])
      Ends.emplace_back(Run, RunEnd::Broken);
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
  TimePoint Now = TimePoint{} + 1000s;
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

// As in the account above, to the millisecond, with other work on all workers.
TEST(Crashes, ATaskThatCrashesItsWorkersAsItBeginsIsGivenUpBesideOthers) {
  Scene Given(12);
  std::vector<JobId> Others;
  Others.reserve(24);
  for (int I = 0; I < 24; ++I)
    Others.push_back(Given.submit(tasks(2, 4000, 60s)));
  Given.pass(2s);
  const JobId Crasher = Given.submit(tasks(1, 4000, 600ms));
  int Crashes = 0;
  for (; Crashes < 12 && Given.passUntilRuns(Crasher); ++Crashes) {
    Given.pass(10ms);
    Given.crash(Given.at(Crasher));
  }
  EXPECT_EQ(Crashes, 3);
  EXPECT_EQ(shownState(Given.Cell, Crasher), "failed");
  for (const JobId Id : Others)
    EXPECT_EQ(Given.Cell.Jobs.at(Id).Phase, JobPhase::Live) << "what ran beside it is not to blame";
}

// Two of them at a time, both waiting for a place at the same moment. Together on one worker they
// would hide each other, and others would seem as guilty.
TEST(Crashes, WhatMayCrashItsWorkerBeginsApart) {
  Scene Given(4);
  const JobId First = Given.submit(tasks(1, 4000, 600ms));
  const JobId Second = Given.submit(tasks(1, 4000, 600ms));
  ASSERT_TRUE(Given.passUntilRuns(First));
  ASSERT_EQ(Given.at(First), Given.at(Second)) << "packed while nothing is known";
  Given.crash(Given.at(First));
  const JobId Third = Given.submit(tasks(6, 2000, 600ms));
  Given.pass(100ms);
  ASSERT_FALSE(Given.at(First).empty());
  ASSERT_FALSE(Given.at(Second).empty());
  EXPECT_NE(Given.at(First), Given.at(Second));
  for (uint32_t I = 0; I < 6; ++I) {
    EXPECT_NE(Given.at(Third, I), Given.at(First));
    EXPECT_NE(Given.at(Third, I), Given.at(Second));
  }
  Given.pass(1500ms); // they have stood their beginning: the workers are everybody's again
  for (const auto &[Id, On] : Given.Cell.Workers)
    EXPECT_EQ(On.Trials, 0u) << Id;
}

TEST(Crashes, ATaskThatWaitsForAQuietWorkerGetsOneWhileOthersComeAllTheTime) {
  Scene Given(2);
  const JobId Suspect = Given.submit(tasks(1, 4000, 600ms));
  ASSERT_TRUE(Given.passUntilRuns(Suspect));
  Given.crash(Given.at(Suspect));
  Milliseconds Waited{0};
  while (Given.at(Suspect).empty() && Waited < 3s) {
    Given.submit(tasks(2, 2000, 60s)); // begins somewhere at once
    Given.pass(40ms);
    Waited += 40ms;
  }
  EXPECT_LT(Waited, 1500ms);
}

TEST(Crashes, ARunThatHasStoodItsBeginningIsNotToBlame) {
  Scene Given(6);
  const JobId Bystander = Given.submit(tasks(1, 4000, 60s));
  for (int I = 0; I < 4; ++I) {
    ASSERT_TRUE(Given.passUntilRuns(Bystander));
    Given.pass(1s);
    Given.submit(tasks(1, 60000, 100ms)); // it is not alone there
    Given.pass(20ms);
    Given.crash(Given.at(Bystander));
  }
  EXPECT_EQ(Given.Cell.Jobs.at(Bystander).Phase, JobPhase::Live);
  EXPECT_EQ(Given.Cell.Jobs.at(Bystander).Rounds.at(0).Steps[0].Tasks[0].Crashes, 0u);
}

// Such a task is given up as well, later: who crashed the worker is less sure.
TEST(Crashes, ATaskThatIsAlwaysThereWhenItsWorkerCrashesIsGivenUp) {
  Scene Given(12);
  for (int I = 0; I < 24; ++I)
    Given.submit(tasks(2, 4000, 600s));
  Given.pass(2s);
  const JobId Late = Given.submit(tasks(1, 4000, 60s));
  int Crashes = 0;
  for (; Crashes < 12 && Given.passUntilRuns(Late); ++Crashes) {
    Given.pass(2s);
    Given.crash(Given.at(Late));
  }
  EXPECT_EQ(Crashes, 5);
  EXPECT_EQ(shownState(Given.Cell, Late), "failed");
}

TEST(Crashes, AWorkerThatIsCutOffAndComesBackHasNotCrashed) {
  Scene Given(3);
  const JobId Id = Given.submit(tasks(1, 4000, 60s));
  for (int I = 0; I < 5; ++I) {
    ASSERT_TRUE(Given.passUntilRuns(Id));
    const std::string Where = Given.at(Id);
    Given.fallSilent(Where);
    Given.pass(8s); // its lease is over
    EXPECT_EQ(Given.taskOf(Id).Crashes, 0u);
    Given.Silent.erase(Where);
    Given.Here[Where].clear();
    Given.report(Where);
  }
  EXPECT_EQ(Given.Cell.Jobs.at(Id).Phase, JobPhase::Live);
}

TEST(Crashes, ASilenceIsCountedAtOnceAndTakenBackWhenTheWorkerAnswers) {
  Scene Given(1);
  const JobId Id = Given.submit(tasks(1, 4000, 60s));
  ASSERT_TRUE(Given.passUntilRuns(Id));
  Given.fallSilent("w0");
  Given.pass(100ms);
  EXPECT_EQ(Given.taskOf(Id).Crashes, 1u);
  EXPECT_EQ(value(decodeProgress(Id, Given.Progress.at(Id)))[0].second[0].Crashes, 1u);
  Given.Silent.clear();
  Given.pass(200ms);
  EXPECT_EQ(Given.taskOf(Id).Crashes, 0u);
}

TEST(Crashes, AWorkerThatSaidThatItLeavesHasNotCrashed) {
  Scene Given(6);
  const JobId Id = Given.submit(tasks(1, 4000, 60s));
  for (int I = 0; I < 5; ++I) {
    ASSERT_TRUE(Given.passUntilRuns(Id));
    const std::string Where = Given.at(Id);
    if (I % 2 == 0) {
      Given.list(Where, Given.Ports.at(Where), true);
    } else { // or left the list without a word, and served on
      workerUnlisted(Given.Cell, Where, Given.Now);
      Given.pass(200ms);
    }
    Given.crash(Where, 100ms);
    EXPECT_EQ(Given.taskOf(Id).Crashes, 0u);
  }
  EXPECT_EQ(Given.Cell.Jobs.at(Id).Phase, JobPhase::Live);
}

// It is back after the lease and after its entry has lapsed, so that nothing answers for the old
// life any more.
TEST(Crashes, AWorkerThatIsBackLateAsAnotherLifeHasCrashed) {
  Scene Given(12);
  Given.BackAfter = 9s;
  const JobId Crasher = Given.submit(tasks(1, 4000, 600ms));
  Given.Crashers = {Crasher};
  Given.pass(120s);
  EXPECT_LE(Given.startsOf(Crasher), 5u) << "two more than three may be started";
  EXPECT_EQ(shownState(Given.Cell, Crasher), "failed");
}

// Each scheduler ends as soon as it has seen the silence.
TEST(Crashes, TheCountOutlivesTheScheduler) {
  Scene Given(12);
  const JobId Crasher = Given.submit(tasks(1, 4000, 600ms));
  Given.Crashers = {Crasher};
  for (int Terms = 0; Terms < 12; ++Terms) {
    const size_t Before = Given.startsOf(Crasher);
    for (Milliseconds T{0}; T < 10s && Given.startsOf(Crasher) == Before; T += 10ms)
      Given.pass(10ms);
    Given.pass(100ms);
    Given.takeOver();
  }
  EXPECT_LE(Given.startsOf(Crasher), 5u);
  EXPECT_EQ(shownState(Given.Cell, Crasher), "failed");
}

// Each scheduler but the first ends before it could see what came of its start.
TEST(Crashes, AStartThatASchedulerDidNotLiveToSeeIsCounted) {
  Scene Given(12);
  const JobId Crasher = Given.submit(tasks(1, 4000, 600ms));
  Given.Crashers = {Crasher};
  Given.pass(200ms);
  ASSERT_EQ(Given.startsOf(Crasher), 1u);
  for (int Terms = 0; Terms < 12; ++Terms) {
    const size_t Before = Given.startsOf(Crasher);
    for (Milliseconds T{0}; T < 10s && Given.startsOf(Crasher) == Before; T += 10ms)
      Given.pass(10ms);
    Given.Silent.insert(Given.at(Crasher)); // it has crashed, and nobody has noticed
    Given.takeOver();
  }
  EXPECT_LE(Given.startsOf(Crasher), 5u);
  EXPECT_EQ(shownState(Given.Cell, Crasher), "failed");
}

// The answer lay in a buffer while this process stood still.
TEST(Crashes, AReportAskedForBeforeASilenceDoesNotTakeItBack) {
  Scene Given(2);
  const JobId Id = Given.submit(tasks(1, 4000, 60s));
  ASSERT_TRUE(Given.passUntilRuns(Id));
  const std::string Where = Given.at(Id);
  const TimePoint AskedAt = Given.Now;
  Given.pass(20ms);
  Given.fallSilent(Where);
  Given.pass(1s);
  Effects Out;
  WorkerReport Old;
  Old.Active.push_back({*Given.Here.at(Where).begin(), "", 50});
  workerReported(Given.Cell, Where, Old, AskedAt, Given.Now, Out);
  EXPECT_EQ(Given.taskOf(Id).Crashes, 1u);
}

// The scheduler ends right after each order but the first, and other workers are cut off and come
// back meanwhile: the task is given up in time, and nothing else.
TEST(Crashes, ATaskThatCrashesItsWorkersIsGivenUpWhileSchedulersEndAndLinksAreCut) {
  Scene Given(12);
  std::vector<JobId> Others;
  Others.reserve(8);
  for (int I = 0; I < 8; ++I)
    Others.push_back(Given.submit(tasks(2, 8000, 60s)));
  const JobId Crasher = Given.submit(tasks(1, 4000, 600ms));
  Given.Crashers = {Crasher};
  Given.pass(2s);
  for (int Terms = 0; Terms < 12 && Given.Cell.Jobs.count(Crasher); ++Terms) {
    const size_t Before = Given.startsOf(Crasher);
    for (Milliseconds T{0}; T < 10s && Given.startsOf(Crasher) == Before; T += 10ms)
      Given.pass(10ms);
    const std::string Cut = Given.Silent.empty() ? Given.at(Others[0]) : "";
    if (!Cut.empty())
      Given.fallSilent(Cut);
    Given.takeOver();
    Given.pass(500ms);
    Given.Silent.erase(Cut);
  }
  Given.pass(20s);
  EXPECT_LE(Given.startsOf(Crasher), 5u) << "two more than three may be started";
  EXPECT_EQ(shownState(Given.Cell, Crasher), "failed");
  for (const JobId Id : Others)
    EXPECT_NE(shownState(Given.Cell, Id), "failed");
}

TEST(Crashes, WhatIsNotSavedYetIsNotStartedAgain) {
  Scene Given(6);
  const JobId Id = Given.submit(tasks(1, 4000, 600ms));
  ASSERT_TRUE(Given.passUntilRuns(Id));
  Given.Stores = false;
  Given.crash(Given.at(Id));
  Given.pass(2s);
  EXPECT_EQ(Given.startsOf(Id), 1u);
  Given.Stores = true;
  Given.pass(1s);
  EXPECT_EQ(Given.startsOf(Id), 2u);
}

// The members begin together; one of them crashes its worker each time the gang is whole.
TEST(Crashes, AMemberOfAGangThatCrashesItsWorkersEndsTheGang) {
  Scene Given(12);
  StepSpec Gang = tasks(4, 30000, 2s);
  Gang.Gang = true;
  const JobId Id = Given.submit(Gang);
  int Crashes = 0;
  for (; Crashes < 12 && Given.passUntilRuns(Id); ++Crashes) {
    const std::string Where = Given.at(Id);
    const std::string Other = Given.at(Id, 3);
    ASSERT_NE(Where, Other);
    Given.crash(Where);
    Given.breakRuns(Other);
  }
  EXPECT_EQ(Crashes, 3);
  EXPECT_EQ(shownState(Given.Cell, Id), "failed");
}

// A member that waits for the others has not begun, however long it waits.
TEST(Crashes, AMemberThatWaitsForItsGangHasNotStoodItsBeginning) {
  Scene Given(4);
  StepSpec Gang = tasks(2, 40000, 2s);
  Gang.Gang = true;
  const JobId Id = Given.submit(Gang);
  Given.Percent = 0;
  ASSERT_TRUE(Given.passUntilRuns(Id));
  Given.pass(2s);
  Given.fallSilent(Given.at(Id));
  Given.pass(100ms);
  EXPECT_EQ(Given.taskOf(Id).Crashes, 1u);
}

// A sound gang was given up: four workers were counted against a member under which one had
// crashed, or none. What the scheduler wrote of one of them, its worker cut off from 6.6 to 11.9 s:
//   7.752 the start is ordered, no answer; 8.352 stop, "a member's start is uncertain"
//   11.402 run-lost how=lapsed crashes=2 doubts=1
//   11.9 the same life answers again
//   13.850 task-given-up crashes=3 doubts=1
// The doubt was noted with the run, and the run was forgotten with the worker's lease, so that
// nothing was left to take back when the worker was heard.
TEST(Crashes, AWorkerThatIsHeardAgainAfterItsLeaseHasNotCrashed) {
  Scene Given(2);
  const JobId Id = Given.submit(tasks(1, 4000, 60s));
  ASSERT_TRUE(Given.passUntilRuns(Id));
  const std::string Where = Given.at(Id);
  Given.fallSilent("w0");
  Given.fallSilent("w1"); // so that it can't stand its beginning elsewhere
  Given.pass(8s);
  ASSERT_EQ(Given.taskOf(Id).Crashes, 1u);
  ASSERT_EQ(Given.taskOf(Id).At, nullptr) << "the lease is over";
  Given.Here[Where].clear();
  Given.Silent.erase(Where);
  Given.report(Where);
  EXPECT_EQ(Given.taskOf(Id).Crashes, 0u);
}

// The same with a worker whose entry had lapsed, so that it was dropped: a cut link to the store.
TEST(Crashes, AWorkerThatComesBackAfterItWasDroppedHasNotCrashed) {
  Scene Given(1);
  const JobId Id = Given.submit(tasks(1, 4000, 60s));
  ASSERT_TRUE(Given.passUntilRuns(Id));
  Given.fallSilent("w0");
  workerUnlisted(Given.Cell, "w0", Given.Now);
  Given.pass(8s);
  ASSERT_EQ(Given.Cell.Workers.count("w0"), 0u);
  ASSERT_EQ(Given.taskOf(Id).Crashes, 1u);
  Given.Here["w0"].clear();
  Given.Silent.clear();
  Given.addWorker("w0", 9000);
  EXPECT_EQ(Given.taskOf(Id).Crashes, 0u);
}

// Another life at the address is no word of the first.
TEST(Crashes, AnotherLifeTakesNoDoubtBack) {
  Scene Given(1);
  const JobId Id = Given.submit(tasks(1, 4000, 60s));
  ASSERT_TRUE(Given.passUntilRuns(Id));
  Given.fallSilent("w0");
  workerUnlisted(Given.Cell, "w0", Given.Now);
  Given.pass(8s);
  Given.forget("w0");
  Given.addWorker("w0+", 9000);
  EXPECT_EQ(Given.taskOf(Id).Crashes, 1u);
}

// The doubt is older than the scheduler that hears the worker.
TEST(Crashes, ADoubtOfAnEarlierSchedulerIsTakenBackWhenTheWorkerIsHeard) {
  Scene Given(1);
  const JobId Id = Given.submit(tasks(1, 4000, 60s));
  ASSERT_TRUE(Given.passUntilRuns(Id));
  Given.fallSilent("w0");
  Given.pass(8s);
  ASSERT_EQ(Given.taskOf(Id).Crashes, 1u);
  Given.Here["w0"].clear();
  Given.takeOver();
  ASSERT_EQ(Given.taskOf(Id).Crashes, 1u);
  Given.Silent.clear();
  Given.report("w0");
  EXPECT_EQ(Given.taskOf(Id).Crashes, 0u);
}

// Records of a version that kept no names: as many doubts, which nothing takes back.
TEST(Crashes, DoubtsWithoutNamesOfAnEarlierVersionAreKept) {
  cell::ProgressRecord Record;
  cell::TaskNote &Note = *Record.add_steps()->add_note();
  Note.set_crashes(3);
  Note.set_doubts(2);
  Note.set_may_begin(true);
  const Result<SavedSteps> Read = decodeProgress(1, Record.SerializeAsString());
  const SavedTask &Task = value(Read).at(0).second.at(0);
  EXPECT_EQ(Task.Crashes, 3u);
  EXPECT_EQ(std::set<std::string>(Task.Doubted.begin(), Task.Doubted.end()).size(), 2u);
  EXPECT_FALSE(Task.TrialOn.empty());
  EXPECT_EQ(std::count(Task.Doubted.begin(), Task.Doubted.end(), Task.TrialOn), 0);
}

// A worker that leaves the list without a word counts as crashed, until it is heard all the same.
TEST(Crashes, AWorkerThatVanishesUnderABeginningCountsUntilItIsHeard) {
  Scene Given(1);
  const JobId Id = Given.submit(tasks(1, 4000, 60s));
  ASSERT_TRUE(Given.passUntilRuns(Id));
  Given.fallSilent("w0");
  workerUnlisted(Given.Cell, "w0", Given.Now);
  Given.pass(8s);
  EXPECT_EQ(Given.taskOf(Id).Crashes, 1u);
  EXPECT_EQ(Given.taskOf(Id).Doubted.size(), 0u);
  Given.takeOver();
  EXPECT_EQ(Given.taskOf(Id).Vanished.size(), 1u) << "it is kept";
  Given.Here["w0"].clear();
  Given.Silent.clear();
  Given.addWorker("w0", 9000);
  EXPECT_EQ(Given.taskOf(Id).Crashes, 0u);
}

// The run was over when its worker crashed, which nobody had heard yet: an estimate of 100 ms, and
// the silence is noticed 200 ms after the start.
TEST(Crashes, ARunThatMayHaveBeenOverIsDoubted) {
  Scene Given(1);
  const JobId Id = Given.submit(tasks(1, 4000, 100ms));
  ASSERT_TRUE(Given.passUntilRuns(Id));
  Given.Silent.insert("w0");
  Given.pass(200ms);
  Given.crash("w0", 1s);
  EXPECT_EQ(Given.taskOf(Id).Crashes, 1u);
  EXPECT_EQ(Given.taskOf(Id).Doubted.size(), 1u);
}

// The order met another life at the address: it began nothing.
TEST(Crashes, AnOrderThatMeetsAnotherLifeCountsForNothing) {
  Scene Given(1);
  Given.Silent.insert("w0"); // it has crashed, and nobody has noticed
  const JobId Id = Given.submit(tasks(1, 4000, 60s));
  Given.pass(50ms);
  ASSERT_EQ(Given.startsOf(Id), 1u);
  Effects Out;
  startAnswered(Given.Cell, "w0", Given.Started[0].Run, StartResult::OtherLife, Given.Now, Out);
  EXPECT_EQ(Given.Cell.Workers.count("w0"), 0u);
  EXPECT_EQ(Given.taskOf(Id).Crashes, 0u);
}

// The other cause: each scheduler counted a start that the one before had ordered, though that one
// had been told that it was refused. Of the member that was given up in the end:
//   63.861 start-not-confirmed; 65.512 takeover; 72.819 start-not-confirmed;
//   78.365 start-not-confirmed; 86.766 takeover; 92.117 start-not-confirmed; 92.636 takeover
//   92.636 task-given-up crashes=4
// The note that it may have been started stayed in the store when that was known not to be so.
TEST(Crashes, AStartThatWasRefusedIsNotCountedByTheNextScheduler) {
  Scene Given(2);
  const JobId Id = Given.submit(tasks(1, 4000, 60s));
  ASSERT_TRUE(Given.passUntilRuns(Id));
  Given.crash(Given.at(Id), 1s);
  ASSERT_EQ(Given.taskOf(Id).Crashes, 1u);
  for (int Terms = 0; Terms < 4; ++Terms) {
    for (const auto &[Worker, Port] : Given.Ports)
      Given.refuseStarts(Worker);
    const size_t Before = Given.startsOf(Id);
    Given.pass(2s);
    ASSERT_GT(Given.startsOf(Id), Before);
    Given.takeOver();
    ASSERT_NE(shownState(Given.Cell, Id), "failed") << "one worker has crashed under it";
    EXPECT_EQ(Given.taskOf(Id).Crashes, 1u);
  }
}

// The same for a run that ended otherwise.
TEST(Crashes, AStartWhoseEndIsKnownIsNotCountedByTheNextScheduler) {
  Scene Given(2);
  const JobId Id = Given.submit(tasks(1, 4000, 60s));
  ASSERT_TRUE(Given.passUntilRuns(Id));
  Given.crash(Given.at(Id), 1s);
  ASSERT_TRUE(Given.passUntilRuns(Id));
  Given.breakRuns(Given.at(Id));
  Given.save();
  Given.takeOver();
  EXPECT_EQ(Given.taskOf(Id).Crashes, 1u);
}

// A worker that comes back says nothing of the start that is under way on another.
TEST(Crashes, ADoubtThatIsTakenBackLeavesTheStartElsewhereNoted) {
  Scene Given(4);
  const JobId Id = Given.submit(tasks(1, 4000, 60s));
  ASSERT_TRUE(Given.passUntilRuns(Id));
  Given.crash(Given.at(Id), 1s);
  ASSERT_TRUE(Given.passUntilRuns(Id));
  const std::string Cut = Given.at(Id);
  Given.fallSilent(Cut);
  const auto RunsElsewhere = [&] { return Given.at(Id) != Cut && !Given.at(Id).empty(); };
  for (Milliseconds T{0}; T < 9s && !RunsElsewhere(); T += 10ms)
    Given.pass(10ms); // until its lease is over
  ASSERT_TRUE(RunsElsewhere());
  ASSERT_EQ(Given.taskOf(Id).Crashes, 2u);
  ASSERT_EQ(Given.taskOf(Id).TrialOn, Given.at(Id));
  Given.Here[Cut].clear();
  Given.Silent.erase(Cut);
  Given.report(Cut);
  EXPECT_EQ(Given.taskOf(Id).Crashes, 1u);
  EXPECT_EQ(Given.taskOf(Id).TrialOn, Given.at(Id));
}

// It was refused by a worker that the next scheduler hears: no order of the one before can begin
// there any more.
TEST(Crashes, AStartOnAWorkerThatIsHeardAfterATakeoverHasNotCrashedIt) {
  Scene Given(2);
  const JobId Id = Given.submit(tasks(1, 4000, 60s));
  ASSERT_TRUE(Given.passUntilRuns(Id));
  Given.crash(Given.at(Id), 1s);
  ASSERT_TRUE(Given.passUntilRuns(Id));
  Given.Here[Given.at(Id)].clear(); // the order was lost, which this scheduler never learns
  Given.takeOver();
  EXPECT_EQ(Given.taskOf(Id).Crashes, 1u);
}

TEST(Crashes, ALastingTaskIsNotGivenUpForCrashesFarApart) {
  Scene Given(12);
  StepSpec Lasts = tasks(1, 4000, 0ms);
  Lasts.Lasting = true;
  const JobId Id = Given.submit(Lasts);
  for (int I = 0; I < 8; ++I) {
    ASSERT_TRUE(Given.passUntilRuns(Id));
    Given.pass(2s);
    Given.crash(Given.at(Id));
  }
  EXPECT_EQ(Given.Cell.Jobs.at(Id).Phase, JobPhase::Live);
}

} // namespace
} // namespace valveshelf::sched
