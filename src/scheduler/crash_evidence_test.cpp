// SPDX-License-Identifier: Apache-2.0
// Sequences of lost workers: which give up a job, with at least two runs on a worker that crashed,
// and which must not.
#include "replay/crash_scene.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <sstream>

namespace valveshelf::sched {
namespace {
using namespace std::chrono_literals;

// How a worker with the job's runs is lost.
enum class Loss {
  Crash,             ///< It crashes after it answered the start.
  CrashBeforeAnswer, ///< The start crashes it before it answers.
  UnheardEnd,        ///< The runs end, and it is killed before it reports that.
  DeadBeforeOrder,   ///< It dies after its last report and before the start is ordered.
};
std::string toString(Loss How) {
  constexpr const char *Names[] = {"crash", "crash before answer", "unheard end",
                                   "dead before order"};
  return Names[static_cast<int>(How)];
}

constexpr Milliseconds OrderTimeout{300};

StepSpec gang(Milliseconds Estimate, int64_t MilliCores = 30000) {
  StepSpec Step = tasks(2, MilliCores, Estimate);
  Step.Gang = true;
  return Step;
}

// A job whose workers are lost one after the other.
class EvidenceScene : public CrashScene {
public:
  explicit EvidenceScene(const StepSpec &Step, int Workers = 1) : CrashScene(Workers) {
    Id = submit(Step);
  }

  bool hasFailed() const { return publicJobState(Cell, Id) == "failed"; }

  // The next worker on which the job is started is lost.
  void lose(Loss How) {
    const size_t Changes = CrashCountChanges.size();
    const std::string WorkerId = How == Loss::DeadBeforeOrder || How == Loss::CrashBeforeAnswer
                                     ? orderWithoutAnswer(How == Loss::CrashBeforeAnswer)
                                     : startAndLose(How == Loss::UnheardEnd);
    Trace << "\n" << toString(How) << " of " << WorkerId << ": " << knowledgeOf(WorkerId);
    if (IsUnlisted) {
      workerUnlisted(Cell, WorkerId, Now);
      advance(8s); // until its lease expires
      const uint16_t Port = Ports.at(WorkerId);
      removeWorker(WorkerId);
      addWorker(WorkerId + "+", Port);
    } else {
      advance(1s);
      replace(WorkerId);
    }
    save();
    for (size_t I = Changes; I < CrashCountChanges.size(); ++I)
      if (const Effects::CrashCountChange &Change = CrashCountChanges[I]; Change.Task.Index == 0)
        Trace << "; counted \"" << Change.Why << "\" " << Change.StartupCrashes << ", unconfirmed "
              << Change.UnconfirmedCrashes;
  }

  // The number of lost workers after which the job fails, at most 8.
  int lossesUntilFailure(Loss How) {
    int Losses = 0;
    for (; Losses < 8 && !hasFailed(); ++Losses)
      lose(How);
    return Losses;
  }

  // The job runs on the present worker and completes.
  void expectCompletes() {
    ASSERT_FALSE(hasFailed()) << Trace.str();
    ASSERT_TRUE(advanceUntilRuns(Id)) << Trace.str();
    completeRuns(workerOf(Id));
    advance(200ms);
    EXPECT_EQ(publicJobState(Cell, Id), "completed") << Trace.str();
  }

  JobId Id = 0;
  bool IsUnlisted = false;     ///< Lost workers leave the list and are not replaced.
  Milliseconds CrashDelay{10}; ///< From the answer to a start to the crash.
  std::ostringstream Trace;

private:
  TimePoint OrderedAt{}; ///< Of the last start that was not answered.

  // Orders the job on a worker that does not answer. It is alive until the order if \p Crashes.
  std::string orderWithoutAnswer(bool Crashes) {
    std::string WorkerId = Ports.begin()->first;
    if (!Crashes) {
      waitForGangScan();
      Silent.insert(WorkerId);
    }
    CrashesBeforeAnswers = Crashes;
    const size_t Before = startsOf(Id);
    for (Milliseconds T{0}; T < 1s && startsOf(Id) == Before; T += 10ms)
      advance(10ms);
    CrashesBeforeAnswers = false;
    OrderedAt = Now;
    for (int Sends = 0; Sends < 2; ++Sends) {
      advance(OrderTimeout);
      timeOutStarts(WorkerId);
      fallSilent(WorkerId);
      advance(10ms);
    }
    return WorkerId;
  }

  // Waits until just after the gang was tried in vain. It is tried again 50 ms later, so that the
  // last report will be that old when the start is ordered.
  void waitForGangScan() {
    std::vector<TaskState> &Tasks = Cell.Jobs.at(Id).Rounds.at(0).Steps[0].Tasks;
    for (TaskState &Task : Tasks)
      Task.NotBefore = Now + 1s;
    const uint64_t First = Cell.FullScans + 2;
    while (Cell.FullScans < First || Cell.FullScans % 2 != 0)
      advance(10ms);
    for (TaskState &Task : Tasks)
      Task.NotBefore = Now;
  }

  void timeOutStarts(const std::string &WorkerId) {
    for (const auto &[Run, Entry] : std::map(Cell.Workers.at(WorkerId).Attempts)) {
      if (Entry.Phase == AttemptPhase::Planned)
        continue;
      Effects Out;
      startAnswered(Cell, WorkerId, Run, StartResult::Unknown, Now, Out);
      apply(Out);
    }
  }

  // The worker accepts the job's runs and crashes, or is killed after the runs have ended.
  std::string startAndLose(bool RunsEnd) {
    EXPECT_TRUE(advanceUntilRuns(Id)) << Trace.str();
    std::string WorkerId = workerOf(Id);
    if (RunsEnd) {
      ReportsUnasked = false;
      advance(70ms);
      completeRuns(WorkerId);
      Silent.insert(WorkerId);
      advance(30ms);
      ReportsUnasked = true;
    } else {
      advance(CrashDelay);
    }
    fallSilent(WorkerId);
    for (const auto &[Other, Port] : std::map(Ports))
      if (!Silent.count(Other))
        endRunsAsBroken(Other);
    advance(10ms);
    return WorkerId;
  }

  // What the scheduler knows of the first task's run on a lost worker.
  std::string knowledgeOf(const std::string &WorkerId) const {
    const Worker &On = Cell.Workers.at(WorkerId);
    const auto Found = On.Attempts.lower_bound({{{Id, 0, 0}, 0}, 0});
    if (Found == On.Attempts.end() || Found->second.Phase == AttemptPhase::Planned)
      return "not ordered";
    const auto Since = [](TimePoint From, TimePoint To) {
      return std::to_string(std::chrono::duration_cast<Milliseconds>(To - From).count()) + " ms";
    };
    const Attempt &Entry = Found->second;
    if (Entry.StartedAt == TimePoint{})
      return "ordered " + Since(On.ReportAskedAt, OrderedAt) + " after the last report, no answer";
    return "answered, last report " + Since(Entry.StartedAt, On.ReportAskedAt) +
           " and silence noticed " + Since(Entry.StartedAt, On.SilentSince) + " after that";
  }
};

// Loses workers in the order of \p Losses, with a takeover before the third if \p IsTakenOver. The
// estimate is far longer than the runs.
void expectSurvives(const std::vector<Loss> &Losses, bool IsTakenOver = false,
                    bool IsUnlisted = false) {
  EvidenceScene Given(gang(60s));
  Given.IsUnlisted = IsUnlisted;
  for (size_t I = 0; I < Losses.size() && !Given.hasFailed(); ++I) {
    if (IsTakenOver && I == 2)
      Given.takeOver();
    Given.lose(Losses[I]);
  }
  Given.expectCompletes();
}

class OneCrashAndThreeDeadWorkers : public testing::TestWithParam<int> {
protected:
  static std::vector<Loss> losses() {
    std::vector<Loss> Losses(4, Loss::DeadBeforeOrder);
    Losses[static_cast<size_t>(GetParam())] = Loss::Crash;
    return Losses;
  }
};
INSTANTIATE_TEST_SUITE_P(CrashEvidence, OneCrashAndThreeDeadWorkers, testing::Range(0, 4));

// Guards against orders to dead workers that give up a job with a single crash.
TEST_P(OneCrashAndThreeDeadWorkers, DoNotGiveUpAGang) { expectSurvives(losses()); }

// The same for workers that leave the list and are not replaced.
TEST_P(OneCrashAndThreeDeadWorkers, DoNotGiveUpAGangWhenTheyAreUnlisted) {
  expectSurvives(losses(), false, true);
}

class OneCrashOneEndOneDeadWorker : public testing::TestWithParam<int> {
protected:
  // The permutation of the three with this number.
  static std::vector<Loss> losses() {
    std::vector<Loss> Losses{Loss::Crash, Loss::UnheardEnd, Loss::DeadBeforeOrder};
    for (int I = 0; I < GetParam(); ++I)
      std::next_permutation(Losses.begin(), Losses.end());
    return Losses;
  }
};
INSTANTIATE_TEST_SUITE_P(CrashEvidence, OneCrashOneEndOneDeadWorker, testing::Range(0, 6));

// Guards against an end that counts as a certain crash by an estimate that is far too long.
TEST_P(OneCrashOneEndOneDeadWorker, DoNotGiveUpAGang) { expectSurvives(losses()); }

// The same with two of the losses known only from the store.
TEST_P(OneCrashOneEndOneDeadWorker, DoNotGiveUpAGangAfterATakeover) {
  expectSurvives(losses(), true);
}

// Guards against a task that crashes more workers than three that accepted it.
TEST(CrashEvidence, ThreeAcceptedStartsThatCrashGiveUpTheJob) {
  EXPECT_EQ(EvidenceScene(tasks(1, 4000, 60s)).lossesUntilFailure(Loss::Crash), 3);
  EXPECT_EQ(EvidenceScene(gang(60s)).lossesUntilFailure(Loss::Crash), 3);
}

// Guards against a task that goes on crashing workers since none of them answers its start.
TEST(CrashEvidence, FourStartsThatCrashBeforeTheirAnswersGiveUpTheJob) {
  EXPECT_EQ(EvidenceScene(tasks(1, 4000, 60s)).lossesUntilFailure(Loss::CrashBeforeAnswer), 4);
  EXPECT_EQ(EvidenceScene(gang(60s)).lossesUntilFailure(Loss::CrashBeforeAnswer), 4);
}

// Guards against crashes that are no longer confirmed if the run works for a while before.
TEST(CrashEvidence, LaterCrashesWithinARightEstimateGiveUpTheJob) {
  for (const StepSpec &Step : {tasks(1, 4000, 2s), gang(2s)}) {
    EvidenceScene Given(Step);
    Given.CrashDelay = 300ms;
    EXPECT_EQ(Given.lossesUntilFailure(Loss::Crash), 3) << Given.Trace.str();
  }
}

// The same without an estimate.
TEST(CrashEvidence, LaterCrashesWithoutAnEstimateGiveUpTheJob) {
  for (const StepSpec &Step : {tasks(1, 4000, 0ms), gang(0ms)}) {
    EvidenceScene Given(Step);
    Given.CrashDelay = 300ms;
    EXPECT_EQ(Given.lossesUntilFailure(Loss::Crash), 3) << Given.Trace.str();
  }
}

// Guards against a crashing member whose count is cleared by the others of its gang.
TEST(CrashEvidence, AMemberThatCrashesItsWorkerEachTimeGivesUpItsGang) {
  EvidenceScene Given(gang(2s, 40000), 2);
  EXPECT_EQ(Given.lossesUntilFailure(Loss::Crash), 3) << Given.Trace.str();
}

// Guards against crashes that are forgotten when the scheduler is replaced after each of them.
TEST(CrashEvidence, ACrasherIsGivenUpWithATakeoverAfterEachCrash) {
  for (const Loss How : {Loss::Crash, Loss::CrashBeforeAnswer}) {
    EvidenceScene Given(gang(2s));
    int Losses = 0;
    for (; Losses < 8 && !Given.hasFailed(); ++Losses) {
      Given.lose(How);
      Given.takeOver();
    }
    EXPECT_LE(Losses, 5) << Given.Trace.str();
  }
}

// Guards against a gang that is started, or stays in startup, beside a run that crashes the worker:
// the crash would count against the gang as well.
TEST(CrashEvidence, AGangAfterACrashStartsApartFromOtherStartups) {
  EvidenceScene Given(gang(60s, 4000), 2);
  Given.lose(Loss::Crash);
  Milliseconds Waited{0};
  for (; Given.workerOf(Given.Id).empty() && Waited < 3s; Waited += 20ms) {
    Given.submit(tasks(1, 500, 60s));
    Given.advance(20ms);
  }
  ASSERT_FALSE(Given.workerOf(Given.Id).empty()) << "other starts keep the gang waiting";
  for (Milliseconds T{0}; T < 400ms; T += 20ms) {
    for (const auto &[Run, Entry] : Given.Cell.Workers.at(Given.workerOf(Given.Id)).Attempts)
      EXPECT_TRUE(Run.Task.Step.Job == Given.Id || Entry.SurvivedStartup ||
                  Entry.Phase == AttemptPhase::Planned)
          << T.count() << " ms after the start of the gang";
    Given.submit(tasks(1, 500, 60s));
    Given.advance(20ms);
  }
}

// Guards against an accepted start that counts as an order without an answer because the answer
// came while the run was being stopped.
TEST(CrashEvidence, AStartThatIsAnsweredDuringItsStopWasAccepted) {
  CrashScene Given(1);
  const JobId Id = Given.submit(gang(60s));
  Given.Silent.insert("w0");
  Given.advance(20ms);
  ASSERT_EQ(Given.Started.size(), 2u);
  const auto Answer = [&](size_t Order, StartResult What) {
    Effects Out;
    startAnswered(Given.Cell, "w0", Given.Started[Order].Run, What, Given.Now, Out);
    Given.apply(Out);
  };
  Answer(1, StartResult::RefusedUnhealthy);
  Answer(0, StartResult::Started);
  Given.advance(100ms);
  Given.fallSilent("w0");
  Given.advance(20ms);
  EXPECT_EQ(Given.taskOf(Id).SuspectWorkers.size(), 1u);
  EXPECT_EQ(Given.taskOf(Id).AcceptedSuspects.size(), 1u);
}

// Guards against one more crash after a takeover: a recorded start whose worker is found dead
// counts before the task is started again.
TEST(CrashEvidence, AnInheritedStartOnADeadWorkerCountsBeforeTheNextStart) {
  EvidenceScene Given(tasks(1, 4000, 60s));
  Given.lose(Loss::Crash);
  Given.lose(Loss::Crash);
  ASSERT_TRUE(Given.advanceUntilRuns(Given.Id));
  const std::string WorkerId = Given.workerOf(Given.Id);
  Given.Silent.insert(WorkerId); // it has crashed, which this scheduler does not notice
  Given.takeOver();
  Given.replace(WorkerId);
  Given.advance(3s);
  EXPECT_EQ(Given.startsOf(Given.Id), 3u);
  EXPECT_TRUE(Given.hasFailed());
}

// Guards against a crasher that goes on if the leases of its workers expire before they are
// replaced or leave the list.
TEST(CrashEvidence, ACrasherIsGivenUpIfLeasesExpireBeforeItsWorkersAreReplaced) {
  for (const bool IsAnswered : {true, false})
    for (const StepSpec &Step : {tasks(1, 4000, 0ms), tasks(1, 4000, 2s), gang(0ms), gang(60s)}) {
      EvidenceScene Given(Step);
      Given.CrashesBeforeAnswers = !IsAnswered;
      const auto IsOrderedOn = [&](const std::string &WorkerId) {
        return std::any_of(Given.Started.begin(), Given.Started.end(),
                           [&](const Effects::Start &Order) { return Order.Worker == WorkerId; });
      };
      int Losses = 0;
      for (; Losses < 8 && !Given.hasFailed(); ++Losses) {
        const std::string WorkerId = Given.Ports.begin()->first;
        for (Milliseconds T{0}; T < 8s && !IsOrderedOn(WorkerId); T += 10ms)
          Given.advance(10ms);
        Given.advance(IsAnswered ? 300ms : 10ms);
        Given.fallSilent(WorkerId);
        Given.advance(8s);
        Given.replace(WorkerId);
        Given.advance(10ms);
      }
      EXPECT_LE(Losses, IsAnswered ? 3 : 4) << "estimate " << Step.Estimate.count();
    }
}

// Guards against a gang with a count that keeps all other work off its workers for as long as it
// reports no progress.
TEST(CrashEvidence, AGangWithoutProgressIsNotIsolatedForGood) {
  EvidenceScene Given(gang(3600s, 4000));
  Given.ReportedPercent = 0;
  Given.lose(Loss::Crash);
  ASSERT_TRUE(Given.advanceUntilRuns(Given.Id));
  const JobId Other = Given.submit(tasks(1, 500, 1s));
  EXPECT_TRUE(Given.advanceUntilRuns(Other, 1500ms));
  Given.endRunsAsBroken(Given.workerOf(Given.Id));
}

// Gives the tasks of the job a count, without a crash.
void setCounted(CrashScene &Given, JobId Id) {
  for (TaskState &Task : Given.Cell.Jobs.at(Id).Rounds.at(0).Steps[0].Tasks)
    Task.StartupCrashes = 1;
}

// Guards against a gang that starts beside a run in startup on the only worker.
TEST(CrashEvidence, AGangAfterACrashWaitsForStartupsOnItsWorker) {
  CrashScene Given(1);
  const JobId Other = Given.submit(tasks(1, 500, 60s));
  ASSERT_TRUE(Given.advanceUntilRuns(Other));
  const JobId Id = Given.submit(gang(2s, 1000));
  setCounted(Given, Id);
  ASSERT_TRUE(Given.advanceUntilRuns(Id));
  for (const auto &[Run, Entry] : Given.Cell.Workers.at("w0").Attempts)
    EXPECT_TRUE(Run.Task.Step.Job == Id || Entry.SurvivedStartup);
}

// Guards against a gang that waits for startups while another worker has none.
TEST(CrashEvidence, AGangAfterACrashPrefersWorkersWithoutStartups) {
  CrashScene Given(2);
  const JobId Other = Given.submit(tasks(1, 500, 60s));
  ASSERT_TRUE(Given.advanceUntilRuns(Other));
  const JobId Id = Given.submit(gang(2s, 1000));
  setCounted(Given, Id);
  ASSERT_TRUE(Given.advanceUntilRuns(Id, 200ms));
  EXPECT_NE(Given.workerOf(Id), Given.workerOf(Other));
}

// Guards against accepted starts that a later scheduler takes for orders without an answer.
TEST(CrashEvidence, AcceptedStartsSurviveATakeover) {
  EvidenceScene Given(gang(2s));
  Given.CrashDelay = 300ms;
  Given.lose(Loss::Crash);
  Given.lose(Loss::Crash);
  EXPECT_EQ(Given.taskOf(Given.Id).AcceptedSuspects.size(), 2u);
  Given.takeOver();
  Given.lose(Loss::Crash);
  EXPECT_TRUE(Given.hasFailed()) << Given.Trace.str();
}

// Guards against a late tick that makes a certain crash a suspicion.
TEST(CrashEvidence, ASilenceBeginsWhenItIsNoticed) {
  CrashScene Given(1);
  const JobId Id = Given.submit(gang(60s));
  ASSERT_TRUE(Given.advanceUntilRuns(Id));
  Given.Now += 30ms;
  Given.fallSilent("w0");
  Given.advance(20ms);
  EXPECT_EQ(Given.taskOf(Id).WitnessedSuspects.size(), 1u);
}

// Guards against a fifth start after two accepted ones of which one certainly crashed, and against
// giving up a task that certainly crashed no worker.
TEST(CrashEvidence, TwoUnansweredOrdersGiveUpAJobOnlyBesideACertainCrash) {
  EvidenceScene Given(gang(60s));
  for (const Loss How : {Loss::Crash, Loss::UnheardEnd, Loss::DeadBeforeOrder})
    Given.lose(How);
  EXPECT_FALSE(Given.hasFailed());
  Given.lose(Loss::DeadBeforeOrder);
  EXPECT_TRUE(Given.hasFailed()) << Given.Trace.str();
  expectSurvives(
      {Loss::UnheardEnd, Loss::UnheardEnd, Loss::DeadBeforeOrder, Loss::DeadBeforeOrder});
}

// Guards against a recorded start that counts before its worker was heard.
TEST(CrashEvidence, AnInheritedStartWaitsForTheReportOfItsWorker) {
  EvidenceScene Given(tasks(1, 4000, 60s));
  Given.lose(Loss::Crash);
  Given.lose(Loss::Crash);
  ASSERT_TRUE(Given.advanceUntilRuns(Given.Id));
  Given.takeOver();
  Given.advance(20ms);
  EXPECT_FALSE(Given.hasFailed());
  Given.expectCompletes();
}

// Guards against a record whose pending start names a worker that is counted already.
TEST(CrashEvidence, APendingStartOnACountedWorkerIsCountedOnce) {
  CrashScene Given(1);
  const JobId Id = Given.submit(gang(60s));
  SavedTask Saved;
  Saved.StartupCrashes = 2;
  Saved.SuspectWorkers = Saved.AcceptedSuspects = {"a", "b"};
  Saved.PendingStartWorker = "b";
  restoreStep(Given.Cell, {Id, 0, 0}, {Saved});
  EXPECT_EQ(Given.taskOf(Id).StartupCrashes, 2u);
  EXPECT_EQ(Given.taskOf(Id).SuspectWorkers.size(), 2u);
}

// Guards against a task that is given up as an earlier worker's end is learned of while the present
// one is only silent, which may be a cut link.
TEST(CrashEvidence, ASilentWorkerThatHoldsTheTaskIsNotCountedForAnEarlierOnesEnd) {
  EvidenceScene Given(gang(2s));
  Given.CrashDelay = 300ms;
  Given.lose(Loss::Crash);
  ASSERT_TRUE(Given.advanceUntilRuns(Given.Id));
  const std::string Second = Given.workerOf(Given.Id);
  Given.advance(300ms);
  Given.fallSilent(Second);
  Given.advance(7s); // its lease expires
  Given.addWorker("third", 9300);
  ASSERT_TRUE(Given.advanceUntilRuns(Given.Id, 5s));
  ASSERT_EQ(Given.workerOf(Given.Id), "third");
  Given.advance(300ms);
  Given.fallSilent("third");
  Given.advance(20ms);
  ASSERT_EQ(Given.taskOf(Given.Id).StartupCrashes, 3u);
  Given.replace(Second);
  Given.advance(20ms);
  EXPECT_FALSE(Given.hasFailed());
  Given.replace("third");
  Given.advance(20ms);
  EXPECT_TRUE(Given.hasFailed());
}

// A task with one crash and one run that ended unheard is started once more; its worker is seen
// with the run, confirms the stop of it and answers nothing more from \p Silence after that on.
void loseWhileStopping(EvidenceScene &Given, Milliseconds Silence) {
  Given.lose(Loss::Crash);
  Given.lose(Loss::UnheardEnd);
  ASSERT_TRUE(Given.advanceUntilRuns(Given.Id)) << Given.Trace.str();
  Given.advance(110ms);
  const std::string On = Given.workerOf(Given.Id);
  const RunKey Run = Given.Started.back().Run;
  Effects Out;
  stopAttempt(Given.Cell, Given.Cell.Workers.at(On), Run, "its room is needed", Given.Now, Out);
  stopAnswered(Given.Cell, On, Run, true, Given.Now, Out);
  Given.Silent.insert(On);
  Given.advance(Silence);
  Given.fallSilent(On);
  Given.advance(1s);
  Given.replace(On);
  Given.save();
  Given.Trace << "\nstopped on " << On << ": " << Given.CrashCountChanges.back().Why << " "
              << Given.CrashCountChanges.back().StartupCrashes << ", unconfirmed "
              << Given.CrashCountChanges.back().UnconfirmedCrashes << ", unanswered "
              << Given.CrashCountChanges.back().UnansweredOrders;
}

// Guards against a sound task that is given up for a run that was over: a stop takes only so long.
TEST(CrashEvidence, AStoppedRunIsNoAcceptedStartOnceItsStopIsOver) {
  EvidenceScene Given(tasks(1, 30000, 100ms));
  loseWhileStopping(Given, Given.Cell.Limits.StopTime + 100ms);
  Given.expectCompletes();
}

// Guards against a task that crashes its workers while it is being stopped, and goes on.
TEST(CrashEvidence, ARunThatIsBeingStoppedIsAnAcceptedStart) {
  EvidenceScene Given(tasks(1, 30000, 100ms));
  loseWhileStopping(Given, 50ms);
  EXPECT_TRUE(Given.hasFailed()) << Given.Trace.str();
}

} // namespace
} // namespace valveshelf::sched
