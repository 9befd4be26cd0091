// SPDX-License-Identifier: Apache-2.0
// Quotas and shares of organisations: usage never exceeds the maximum, also across takeovers and
// while the outcome of orders is unknown.
#include "valveshelf/cell_records.h"
#include "valveshelf/cell_state.h"

#include <gtest/gtest.h>

namespace valveshelf::sched {
namespace {
using namespace std::chrono_literals;

constexpr Resources WorkerSize{16000, 32000, 0};

WorkerInfo workerOf(const std::string &Id) {
  WorkerInfo Info;
  Info.Id = Id;
  Info.Service = "pool";
  Info.Capacity = WorkerSize;
  return Info;
}

CellConfiguration configWithMaximum(int64_t MilliCores) {
  CellConfiguration Config;
  Config.Organisations = {{"north", {"key"}, 1, {MilliCores, 0, 0}}};
  return Config;
}

class Scene {
public:
  explicit Scene(int Workers, int64_t MilliCores) {
    Cell.WallAt = Now;
    applyConfiguration(Cell, configWithMaximum(MilliCores));
    for (int I = 0; I < Workers; ++I)
      workerListed(Cell, workerOf("w" + std::to_string(I)), Now);
  }

  void reportAll() {
    for (auto &[Id, W] : Cell.Workers)
      report(Id, {});
  }
  void reportAllExcept(const std::string &Silent) {
    for (auto &[Id, W] : Cell.Workers)
      if (Id != Silent)
        report(Id, {});
  }
  void report(const std::string &Id, const WorkerReport &Report) {
    Cell.Workers.at(Id).IsRecorded = true;
    Effects Out;
    workerReported(Cell, Id, Report, Now, Now, Out);
  }
  void load() {
    Effects Out;
    finishLoading(Cell, Now, Out);
  }

  JobId submit(const std::string &Owner, uint32_t Count, int64_t MilliCores, bool Gang = false,
               bool Fresh = true, const std::string &Service = "pool") {
    auto Spec = std::make_shared<JobSpec>();
    Spec->Id = ++LastJob;
    Spec->Organisation = Owner;
    Spec->Service = Service;
    Spec->Priority = 1;
    Spec->MaxAttempts = 3;
    Spec->CriticalPathFactor = 10;
    StepSpec Step;
    Step.Count = Count;
    Step.Need = {MilliCores, 100, 0};
    Step.Estimate = 4s;
    Step.Gang = Gang;
    Spec->Steps.push_back(Step);
    addJob(Cell, Spec, LastJob, Fresh, Now);
    return LastJob;
  }

  std::vector<Effects::Start> pass() {
    Effects Out;
    Now += 100ms;
    place(Cell, Now, Out);
    return Out.Starts;
  }
  void answer(const std::vector<Effects::Start> &Orders, StartResult What) {
    Effects Out;
    for (const Effects::Start &Order : Orders)
      startAnswered(Cell, Order.Worker, Order.Run, What, Now, Out);
  }

  CellState Cell;
  TimePoint Now = TimePoint{} + 1000s;
  JobId LastJob = 0;
};

TEST(Organisations, UsageStaysWithinTheMaximumOverAllWorkers) {
  Scene Given(4, 5000);
  Given.load();
  Given.reportAll();
  const JobId Held = Given.submit("north", 10, 1000);
  Given.submit("", 10, 1000);
  EXPECT_EQ(Given.pass().size(), 15u);
  EXPECT_EQ(Given.pass().size(), 0u);
  EXPECT_NE(explainJob(Given.Cell, Held, Given.Now).find("its organisation's quota"),
            std::string::npos);
}

TEST(Organisations, AGangStartsWholeOrNotAtAll) {
  Scene Given(4, 5000);
  Given.load();
  Given.reportAll();
  Given.submit("north", 2, 1000);
  EXPECT_EQ(Given.pass().size(), 2u);
  Given.submit("north", 4, 1000, true);
  EXPECT_EQ(Given.pass().size(), 0u);
  Given.submit("north", 3, 1000, true);
  EXPECT_EQ(Given.pass().size(), 3u);
}

TEST(Organisations, UncertainAndStoppingAttemptsStillCount) {
  Scene Given(4, 3000);
  Given.load();
  Given.reportAll();
  const JobId First = Given.submit("north", 3, 1000);
  const auto Orders = Given.pass();
  ASSERT_EQ(Orders.size(), 3u);
  Given.answer(Orders, StartResult::Unknown);
  Given.submit("north", 3, 1000);
  EXPECT_EQ(Given.pass().size(), 0u);
  Effects Out;
  cancelJob(Given.Cell, First, Given.Now, Out);
  EXPECT_EQ(Out.Stops.size(), 3u);
  EXPECT_EQ(Given.pass().size(), 0u);
}

TEST(Organisations, ALoweredMaximumAppliesToNewStartsOnly) {
  Scene Given(4, 6000);
  Given.load();
  Given.reportAll();
  Given.submit("north", 4, 1000);
  EXPECT_EQ(Given.pass().size(), 4u);
  applyConfiguration(Given.Cell, configWithMaximum(4000));
  Given.submit("north", 2, 1000);
  EXPECT_EQ(Given.pass().size(), 0u);
  applyConfiguration(Given.Cell, configWithMaximum(5000));
  EXPECT_EQ(Given.pass().size(), 1u);
}

// Guards the token bucket: its size, its rate and times that go backwards.
TEST(Organisations, TheShareIsARateWithABurstOfOneSecond) {
  OrganisationState Org;
  Org.Weight = 3;
  const WallTime At(1000s);
  EXPECT_TRUE(consumeShare(Org, At) && consumeShare(Org, At) && consumeShare(Org, At));
  EXPECT_FALSE(consumeShare(Org, At));
  EXPECT_FALSE(consumeShare(Org, At + 300ms));
  EXPECT_TRUE(consumeShare(Org, At + 400ms));
  EXPECT_FALSE(consumeShare(Org, At + 350ms))
      << "submitted at another process, whose time is behind";
  EXPECT_TRUE(consumeShare(Org, At + 9s) && consumeShare(Org, At + 9s) &&
              consumeShare(Org, At + 9s));
  EXPECT_FALSE(consumeShare(Org, At + 9s));
  Org.Weight = 0;
  EXPECT_TRUE(consumeShare(Org, At + 9s)) << "no share is set";
}

// A takeover must find the same jobs beyond the share, by their times of acceptance.
TEST(Organisations, TheShareIsRecomputedAtATakeover) {
  Scene Given(2, 5000);
  Given.Cell.Organisations.at("north").Weight = 1;
  const JobId First = Given.submit("north", 1, 1000, false, false);
  const JobId Second = Given.submit("north", 1, 1000, false, false);
  Given.load();
  EXPECT_FALSE(Given.Cell.Jobs.at(First).IsOverShare);
  EXPECT_TRUE(Given.Cell.Jobs.at(Second).IsOverShare);
}

TEST(Organisations, NothingStartsBeforeTheConfigurationIsKnown) {
  Scene Given(4, 6000);
  Given.load();
  Given.reportAll();
  Given.Cell.HasConfiguration = false;
  Given.submit("north", 2, 1000);
  EXPECT_EQ(Given.pass().size(), 0u);
}

// Old tasks may all run on the worker without a report; new starts must leave quota for them.
TEST(Organisations, AfterATakeoverOldTasksCountUntilTheirWorkersReport) {
  Scene Given(3, 4000);
  workerMayHoldRuns(Given.Cell, workerOf("w0"), Given.Now + 5s);
  workerSilent(Given.Cell, "w0", Given.Now);
  Given.submit("north", 3, 1000, false, false);
  Given.load();
  Given.report("w1", {});
  Given.report("w2", {});
  Given.submit("north", 3, 1000);
  EXPECT_EQ(Given.pass().size(), 1u) << "three of four cores may be in use on w0";
  Given.report("w0", {});
  EXPECT_EQ(Given.pass().size(), 3u);
}

// The previous scheduler may still start new jobs on a worker that does not know of the takeover;
// starts in another pool must leave quota for them.
TEST(Organisations, TasksThatThePredecessorMayStillStartCountInEveryPool) {
  Scene Given(2, 4000);
  WorkerInfo Elsewhere = workerOf("x0");
  Elsewhere.Service = "other";
  workerMayHoldRuns(Given.Cell, Elsewhere, Given.Now + 5s); // its first call is outstanding
  Given.load();
  Given.reportAllExcept("x0");
  Given.submit("north", 3, 1000, false, true, "other");
  Given.submit("north", 3, 1000);
  EXPECT_EQ(Given.pass().size(), 1u);
}

// A duplicate run uses quota until its end is reported.
TEST(Organisations, ADuplicateRunCountsUntilItHasEnded) {
  Scene Given(2, 2000);
  const JobId Old = Given.submit("north", 1, 1000, false, false);
  Given.load();
  WorkerReport Report;
  Report.Active.push_back({{{{Old, 0, 0}, 0}, 7}, "", 10});
  Given.report("w0", Report);
  Report.Active[0].Run.Run = 6;
  Given.report("w1", Report);
  Given.submit("north", 2, 1000);
  EXPECT_EQ(Given.pass().size(), 0u);
}

// The size of such a run is not known any more; it may be as large as its worker.
TEST(Organisations, ARunOfAnEndedJobCountsUntilItHasEnded) {
  Scene Given(2, 20000);
  Given.Cell.EndedJobs[77] = {JobPhase::Cancelled, 1, {}, "north"};
  Given.load();
  WorkerReport Report;
  Report.Active.push_back({{{{77, 0, 0}, 0}, 7}, "", 10});
  Given.report("w0", Report);
  Given.report("w1", {});
  Given.submit("north", 10, 1000);
  EXPECT_EQ(Given.pass().size(), 4u);
  WorkerReport End;
  End.Ended.push_back({1, {{{77, 0, 0}, 0}, 7}, RunOutcome::Stopped, ""});
  Given.report("w0", End);
  EXPECT_EQ(Given.pass().size(), 6u);
}

// Guards against an organisation above its maximum: records of earlier versions don't hold the
// capacity of their worker, so that what it may run is not known until the worker is listed.
TEST(Organisations, ARunOfAnEndedJobOnAWorkerOfUnknownCapacityCountsUntilItHasEnded) {
  Scene Given(2, 20000);
  Given.Cell.EndedJobs[77] = {JobPhase::Cancelled, 1, {}, "north"};
  WorkerInfo Recorded = workerOf("x0");
  Recorded.Capacity = {};
  workerMayHoldRuns(Given.Cell, Recorded, Given.Now + 5s);
  Given.load();
  Given.reportAllExcept("x0");
  const RunKey Run{{{77, 0, 0}, 0}, 7};
  WorkerReport Report;
  Report.Active.push_back({Run, "", 10});
  Given.report("x0", Report);
  Given.submit("north", 10, 1000);
  EXPECT_EQ(Given.pass().size(), 0u) << "it may use the whole maximum";
  WorkerReport End;
  End.Ended.push_back({1, Run, RunOutcome::Stopped, ""});
  Given.report("x0", End);
  EXPECT_EQ(Given.pass().size(), 10u);
}

// Guards against an organisation above its maximum: a scheduler without a configuration doesn't
// know the maximum that such a run is charged.
TEST(Organisations, ARunOfUnknownSizeCountsAlsoIfItIsReportedBeforeTheMaximumIsKnown) {
  CellState Cell;
  const TimePoint Now = TimePoint{} + 1000s;
  Cell.EndedJobs[77] = {JobPhase::Cancelled, 1, {}, "north"};
  WorkerInfo Recorded = workerOf("x0");
  Recorded.Capacity = {};
  workerMayHoldRuns(Cell, Recorded, Now + 5s);
  Effects Out;
  finishLoading(Cell, Now, Out);
  WorkerReport Report;
  Report.Active.push_back({{{{77, 0, 0}, 0}, 7}, "", 10});
  workerReported(Cell, "x0", Report, Now, Now, Out);
  applyConfiguration(Cell, configWithMaximum(20000));
  EXPECT_EQ(Cell.Organisations.at("north").Usage.MilliCores, 20000) << "the whole maximum";
  Report.Active.clear();
  Report.Ended.push_back({1, {{{77, 0, 0}, 0}, 7}, RunOutcome::Stopped, ""});
  workerReported(Cell, "x0", Report, Now + 1s, Now + 1s, Out);
  EXPECT_EQ(Cell.Organisations.at("north").Usage.MilliCores, 0);
}

// Guards against a new scheduler that gives away the quota which runs of a job that ended right
// before the takeover still use on a worker without a report.
TEST(Organisations, RunsOfAJobThatHasJustEndedCountUntilTheirWorkersReport) {
  constexpr int64_t Maximum = 8000, OldNeed = 3000, NewNeed = 2000;
  Scene Before(1, Maximum);
  Before.load();
  Before.reportAll();
  const JobId Old = Before.submit("north", 2, OldNeed);
  const auto Orders = Before.pass();
  ASSERT_EQ(Orders.size(), 2u);
  Before.answer(Orders, StartResult::Started);
  Effects Out;
  cancelJob(Before.Cell, Old, Before.Now, Out);
  jobSaved(Before.Cell, Old, Before.Cell.Jobs.at(Old).PendingSave, 2, 2, Before.Cell.Wall);
  ASSERT_EQ(Before.Cell.Workers.at("w0").Attempts.size(), 2u) << "they are being stopped";

  Scene Given(2, Maximum);
  Given.LastJob = Old;
  workerMayHoldRuns(Given.Cell, workerOf("w0"), Given.Now + 5s);
  workerSilent(Given.Cell, "w0", Given.Now);
  Given.Cell.EndedJobs = Before.Cell.EndedJobs;
  Given.load();
  Given.reportAllExcept("w0");
  Given.submit("north", 4, NewNeed);
  EXPECT_LE(Given.pass().size(), 1u) << "six of eight cores may be in use on w0";
  WorkerReport Ended;
  for (const Effects::Start &Order : Orders)
    Ended.Ended.push_back({Ended.Ended.size() + 1, Order.Run, RunOutcome::Stopped, ""});
  Given.report("w0", Ended);
  Given.pass();
  EXPECT_EQ(Given.Cell.Organisations.at("north").Usage.MilliCores, 4 * NewNeed);
}

// A backlog must not count as usage beyond the capacity of the one worker without a report.
TEST(Organisations, UnreportedUsageIsBoundedByTheWorkersCapacity) {
  Scene Given(3, 30000);
  workerMayHoldRuns(Given.Cell, workerOf("w0"), Given.Now + 5s);
  workerSilent(Given.Cell, "w0", Given.Now);
  Given.submit("north", 200, 1000, false, false);
  Given.load();
  Given.report("w1", {});
  Given.report("w2", {});
  Given.submit("north", 20, 1000);
  EXPECT_EQ(Given.pass().size(), 14u) << "30 cores less the 16 of w0";
}

} // namespace
} // namespace valveshelf::sched
