// SPDX-License-Identifier: Apache-2.0
// Guards against rounds of scheduled jobs that are lost at a takeover: workers report their runs
// and ends before the new scheduler's first tick, and it must take them for what they are. A round
// that it does not know would be started again.
#include "replay/placement_scene.h"
#include "valveshelf/cell_records.h"

#include <gtest/gtest.h>

namespace valveshelf::sched {
namespace {
using namespace std::chrono_literals;

constexpr JobId Job = 7;
constexpr WallTime Due{1000s};
constexpr Milliseconds Interval{60000};
constexpr uint32_t EarlierRun = 3; ///< Number of the runs of the scheduler before.

/// A scheduler that has just loaded a scheduled job. The workers "w0" and "w1" may hold runs of the
/// scheduler before and have not reported.
struct Successor {
  explicit Successor(std::vector<StepSpec> Steps, WallTime Wall = Due + 500ms,
                     uint32_t Repetitions = 1) {
    Cell.FirstRun = 1001;
    Cell.Wall = Wall;
    Cell.WallAt = Now;
    for (const std::string Id : {"w0", "w1"}) {
      WorkerInfo Info;
      Info.Id = Id;
      Info.Service = "pool";
      Info.Capacity = WorkerSize;
      workerListed(Cell, Info, Now);
      workerMayHoldRuns(Cell, Info, Now + 6s);
    }
    Spec = std::make_shared<JobSpec>();
    Spec->Id = Job;
    Spec->Service = "pool";
    Spec->MaxAttempts = 3;
    Spec->CriticalPathFactor = 100;
    Spec->Repetitions = Repetitions;
    Spec->FirstDue = Due;
    Spec->Interval = Interval;
    Spec->Steps = std::move(Steps);
    addJob(Cell, Spec, 1, false, Now);
  }

  Effects load() {
    Effects Out;
    finishLoading(Cell, Now, Out);
    return Out;
  }

  static RunKey run(uint32_t Round, uint32_t Step = 0, uint32_t Index = 0) {
    return {{{Job, Round, Step}, Index}, EarlierRun};
  }

  Effects report(const std::string &Worker, const std::vector<RunKey> &Active,
                 const std::vector<EndedRun> &Ended = {}) {
    WorkerReport Report;
    for (const RunKey &Run : Active)
      Report.Active.push_back({Run, "", 10});
    Report.Ended = Ended;
    Effects Out;
    Now += 1ms;
    workerReported(Cell, Worker, Report, Now, Now, Out);
    return Out;
  }

  Effects passAt(WallTime Wall, Milliseconds Elapsed = 50ms) {
    Effects Out;
    Now += Elapsed;
    tick(Cell, Now, Wall, Out);
    place(Cell, Now, Out);
    return Out;
  }
  Effects pass(Milliseconds Elapsed = 50ms) { return passAt(Cell.Wall + Elapsed, Elapsed); }

  Worker &worker(const std::string &Id) { return Cell.Workers.at(Id); }

  // All that the scheduler has to save becomes durable.
  void save() {
    const uint64_t Number = Cell.LastSave;
    jobSaved(Cell, Job, Number, 2, 2, Cell.Wall);
  }

  CellState Cell;
  TimePoint Now = TimePoint{} + 1000s;
  std::shared_ptr<JobSpec> Spec;
};

TEST(TakeoverRounds, AnEndReportedBeforeTheFirstTickCounts) {
  Successor Given({tasks(1, 1000, 3s)});
  Given.load();
  Given.report("w0", {}, {{1, Successor::run(0), RunOutcome::Done, ""}});
  Given.report("w1", {});
  EXPECT_EQ(Given.worker("w0").ForgetThrough, 0u) << "the end is not saved";
  EXPECT_TRUE(Given.pass().Starts.empty());
  Given.save();
  EXPECT_EQ(Given.worker("w0").ForgetThrough, 1u);
  EXPECT_EQ(publicJobState(Given.Cell, Job), "completed");
}

TEST(TakeoverRounds, AFailureReportedBeforeTheFirstTickCounts) {
  Successor Given({tasks(1, 1000, 3s)});
  Given.load();
  Given.report("w0", {}, {{1, Successor::run(0), RunOutcome::Failed, ""}});
  EXPECT_EQ(Given.worker("w0").ForgetThrough, 0u);
  const StepState *Step = findStep(Given.Cell, {Job, 0, 0});
  ASSERT_NE(Step, nullptr);
  EXPECT_EQ(Step->Tasks[0].FailedRuns.count(EarlierRun), 1u);
}

TEST(TakeoverRounds, ARunThatGoesOnIsKept) {
  Successor Given({tasks(1, 1000, 3s)});
  Given.load();
  EXPECT_TRUE(Given.report("w0", {Successor::run(0)}).Stops.empty());
  Given.report("w1", {});
  const Effects Out = Given.pass();
  EXPECT_TRUE(Out.Starts.empty());
  EXPECT_TRUE(Out.Stops.empty());
  EXPECT_EQ(publicJobState(Given.Cell, Job), "running");
}

TEST(TakeoverRounds, ARoundWaitsForAWorkerThatCannotBeReached) {
  Successor Given({tasks(1, 1000, 3s)});
  Given.load();
  Given.report("w0", {});
  workerSilent(Given.Cell, "w1", Given.Now);
  EXPECT_TRUE(Given.pass().Starts.empty());
  EXPECT_TRUE(Given.pass(5s).Starts.empty());
  EXPECT_EQ(Given.pass(2s).Starts.size(), 1u) << "its lease is over";
}

// By the clock of the scheduler before, a round that becomes due during the term may have been due
// before it.
TEST(TakeoverRounds, ALaterRoundWaitsForAWorkerThatCannotBeReached) {
  Successor Given({tasks(1, 1000, 3s)}, Due + Interval - 100ms, 2);
  restoreStep(Given.Cell, {Job, 0, 0}, {{.Index = 0, .Done = true}});
  Given.load();
  Given.report("w0", {});
  workerSilent(Given.Cell, "w1", Given.Now);
  EXPECT_TRUE(Given.pass(200ms).Starts.empty());
  Given.report("w1", {});
  EXPECT_EQ(Given.pass().Starts.size(), 1u);
}

TEST(TakeoverRounds, AReportedRoundThatIsNotDueHereIsKeptAndNotPlaced) {
  StepSpec Second = tasks(1, 1000, 1s);
  Second.DependsOn = {0};
  Successor Given({tasks(2, 1000, 3s), Second}, Due - 2s, 2);
  Given.load();
  EXPECT_TRUE(Given.report("w0", {Successor::run(0)}).Stops.empty());
  Given.report("w1", {}, {{1, Successor::run(0, 0, 1), RunOutcome::Done, ""}});
  EXPECT_EQ(Given.worker("w1").ForgetThrough, 0u);
  EXPECT_TRUE(Given.pass().Starts.empty());
  Given.report("w0", {}, {{1, Successor::run(0), RunOutcome::Done, ""}});
  EXPECT_TRUE(Given.passAt(Due - 1s).Starts.empty()) << "the second step waits for the due time";
  const auto Starts = Given.passAt(Due).Starts;
  ASSERT_EQ(Starts.size(), 1u);
  EXPECT_EQ(Starts[0].Run.Task.Step, (StepKey{Job, 0, 1}));
}

// Its runs may be on a worker that has not reported, beside those of other jobs.
TEST(TakeoverRounds, ARoundThatIsNotDueHereIsChargedToItsOrganisation) {
  Successor Given({tasks(1, 1000, 3s)}, Due - 2s);
  CellConfiguration Config;
  Config.Organisations.emplace();
  Config.Organisations->push_back({"north", {}, 1, {1000, 100000, 0}});
  applyConfiguration(Given.Cell, Config);
  auto Other = std::make_shared<JobSpec>(*Given.Spec);
  Other->Id = Job + 1;
  Other->Repetitions = 0;
  for (const auto &Spec : {Given.Spec, Other})
    Spec->Organisation = "north";
  Given.Cell.Jobs.clear();
  addJob(Given.Cell, Given.Spec, 1, false, Given.Now);
  Given.load();
  addJob(Given.Cell, Other, 2, true, Given.Now);
  Given.report("w0", {});
  workerSilent(Given.Cell, "w1", Given.Now);
  EXPECT_TRUE(Given.pass().Starts.empty());
  Given.report("w1", {});
  EXPECT_EQ(Given.pass().Starts.size(), 1u);
}

TEST(TakeoverRounds, AStepWaitsForReportedEndsOfItsOwnRound) {
  StepSpec Second = tasks(1, 1000, 1s);
  Second.DependsOn = {0};
  Successor Given({tasks(1, 1000, 3s), Second}, Due + Interval + 1s, 2);
  Given.load();
  Given.report("w0", {Successor::run(1)}, {{1, Successor::run(0), RunOutcome::Done, ""}});
  Given.report("w1", {});
  const auto Starts = Given.pass().Starts;
  ASSERT_EQ(Starts.size(), 1u);
  EXPECT_EQ(Starts[0].Run.Task.Step, (StepKey{Job, 0, 1}));
}

TEST(TakeoverRounds, AGangThatGoesOnIsKept) {
  StepSpec Gang = tasks(2, 1000, 3s);
  Gang.Gang = true;
  Successor Given({Gang});
  Given.load();
  Given.report("w0", {Successor::run(0, 0, 0)});
  EXPECT_TRUE(Given.report("w1", {Successor::run(0, 0, 1)}).Stops.empty());
  const Effects Out = Given.pass();
  EXPECT_TRUE(Out.Starts.empty());
  EXPECT_TRUE(Out.Stops.empty());
  const Effects End = Given.report("w0", {}, {{1, Successor::run(0), RunOutcome::Done, ""}});
  EXPECT_TRUE(End.SaveRequested);
  EXPECT_TRUE(Given.pass().Starts.empty());
}

TEST(TakeoverRounds, ARunGoesOnFromTheCheckpointOfAReportedEnd) {
  Successor Given({tasks(1, 1000, 3s, true)});
  Given.load();
  Given.report("w0", {}, {{1, Successor::run(0), RunOutcome::LeaseExpired, "c1"}});
  EXPECT_EQ(Given.worker("w0").ForgetThrough, 0u) << "the checkpoint is not saved";
  Given.report("w1", {});
  const auto Starts = Given.pass().Starts;
  ASSERT_EQ(Starts.size(), 1u);
  EXPECT_EQ(Starts[0].Checkpoint, "c1");
}

TEST(TakeoverRounds, RunsOfACancelledJobAreStopped) {
  Successor Given({tasks(2, 1000, 3s)}, Due - 2s);
  Effects Cancelled = Given.load();
  cancelJob(Given.Cell, Job, Given.Now, Cancelled);
  const Effects Out =
      Given.report("w0", {Successor::run(0)}, {{1, Successor::run(0, 0, 1), RunOutcome::Done, ""}});
  EXPECT_EQ(Out.Stops.size(), 1u);
  EXPECT_EQ(Given.worker("w0").ForgetThrough, 0u) << "the job's end is not saved";
  EXPECT_TRUE(Given.passAt(Due + 1s).Starts.empty());
}

// Runs that the scheduler before has recorded as done count for rounds that it has not completed.
TEST(TakeoverRounds, SavedAndReportedEndsCompleteTheJob) {
  Successor Given({tasks(2, 1000, 3s)}, Due + Interval + 1s, 2);
  restoreStep(Given.Cell, {Job, 0, 0}, {{.Index = 0, .Done = true}, {.Index = 1, .Done = true}});
  restoreStep(Given.Cell, {Job, 1, 0}, {{.Index = 0, .Done = true}});
  Given.load();
  Given.report("w0", {}, {{1, Successor::run(1, 0, 1), RunOutcome::Done, ""}});
  Given.report("w1", {});
  EXPECT_TRUE(Given.pass().Starts.empty());
  Given.save();
  EXPECT_EQ(publicJobState(Given.Cell, Job), "completed");
}

} // namespace
} // namespace valveshelf::sched
