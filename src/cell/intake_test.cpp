// SPDX-License-Identifier: Apache-2.0
// Guards against refusing, as not run, a job that the store holds or may yet hold, and against
// submissions that take longer than their caller waits.
#include "cell/intake.h"

#include "fakes/fake_key_value_store.h"

#include <boost/asio.hpp>
#include <gtest/gtest.h>

#include <map>

namespace valveshelf {
namespace {
using sched::jobKey;
using namespace std::chrono_literals;

constexpr sched::JobId Id = 0x8b6e4f1b4f0a3c11;

// The intakes of two processes on one store.
struct Bench {
  struct Process {
    explicit Process(Bench &Of)
        : In(
              Of.Io.get_executor(), storeOps(Of.Store.ops()),
              Clock{[&Of] { return Steady::now() + Of.Passed; }, wallNow}, Of.Settings,
              [this] { return IsSilent; }, [this](const IntakeUpdate &) { ++Announced; },
              [this](sched::JobId, const std::string &, TimePoint) -> Awaitable<Result<Done>> {
                ++Revoked;
                OnRevoke();
                co_return RevokeAnswer;
              }) {}
    KeyValueStore storeOps(KeyValueStore Ops) {
      Ops.Commit = [this,
                    Inner = Ops.Commit](Transaction What) -> Awaitable<Result<TransactionResult>> {
        for (const KeyValue &Row : What.Puts)
          ++Writes[Row.Key];
        MostJobs = std::max(MostJobs, What.Puts.size());
        if (!What.Removes.empty())
          MostReturns = std::max(MostReturns, What.Puts.size());
        co_await sleepFor(CommitTime);
        while (IsHeld)
          co_await sleepFor(1ms);
        Result<TransactionResult> Written = co_await Inner(std::move(What));
        co_await sleepFor(AnswerTime);
        co_return Written;
      };
      Ops.GrantLease = [this,
                        Inner = Ops.GrantLease](Milliseconds Life) -> Awaitable<Result<uint64_t>> {
        ++Grants;
        co_return co_await Inner(Life);
      };
      return Ops;
    }
    Milliseconds CommitTime{0}; ///< Until a transaction is carried out.
    Milliseconds AnswerTime{0}; ///< From then until it is answered.
    bool IsHeld = false;        ///< Transactions are not carried out.
    bool IsSilent = false;
    int Announced = 0;
    int Revoked = 0;
    Result<Done> RevokeAnswer = Done{};
    std::function<void()> OnRevoke = [] {};
    int Grants = 0;
    std::map<std::string, int> Writes; ///< By key: in how many transactions it was put.
    size_t MostJobs = 0;               ///< In a transaction.
    size_t MostReturns = 0;            ///< In a transaction that removes marks.
    Intake In;
  };
  using Outcome = std::shared_ptr<std::optional<Result<Done>>>;

  boost::asio::io_context Io;
  fakes::FakeKeyValueStore Store{Io};
  CellSettings Settings;
  Steady::duration Passed{0}; ///< Added to the clock, but not to timers.
  Process Here{*this}, Elsewhere{*this};

  ~Bench() { run(150ms); }
  Outcome submit(Process &At, std::optional<SubmitBounds> Bounds = {}, sched::JobId Job = Id) {
    sched::JobSpec Spec;
    Spec.Id = Job;
    auto Given = std::make_shared<std::optional<Result<Done>>>();
    boost::asio::co_spawn(
        Io, At.In.submit(std::move(Spec), Bounds),
        [Given](std::exception_ptr, Result<Done> Answer) { *Given = std::move(Answer); });
    return Given;
  }
  // Of a call that comes now.
  SubmitBounds bounds(const Process &At, Milliseconds Limit = 800ms) const {
    return {At.In.seenRevision(), Steady::now() + Passed + Limit};
  }
  Outcome cancel(Process &At, const std::string &Organisation = "") {
    auto Given = std::make_shared<std::optional<Result<Done>>>();
    boost::asio::co_spawn(
        Io, At.In.cancel(Id, Organisation),
        [Given](std::exception_ptr, Result<Done> Answer) { *Given = std::move(Answer); });
    return Given;
  }
  void store(sched::JobPhase Phase, const std::string &Organisation = "") {
    sched::JobSpec Spec;
    Spec.Id = Id;
    Spec.Organisation = Organisation;
    Store.put(jobKey(Id),
              Phase == sched::JobPhase::Live ? sched::encodeJob(Spec)
                                             : sched::encodeEndedJob(Spec, Phase, wallNow()),
              0);
  }
  // Returns how many of \p Calls refusals are certain.
  int refusable(Process &At, int Calls = 1, Milliseconds Limit = 200ms) {
    int Certain = 0;
    int Answered = 0;
    for (int I = 0; I < Calls; ++I)
      boost::asio::co_spawn(Io, At.In.markRefused(Id, Steady::now() + Passed + Limit),
                            [&](std::exception_ptr, bool Answer) {
                              Certain += Answer;
                              ++Answered;
                            });
    while (Answered < Calls)
      run(1ms);
    return Certain;
  }
  // Runs until the submission has been answered.
  void finish(const Outcome &Of) {
    for (int I = 0; I < 3000 && !*Of; ++I)
      run(1ms);
  }
  void run(Milliseconds Time) {
    Io.restart();
    Io.run_for(Time);
  }
  bool hasJob() const { return !Store.value(jobKey(Id)).empty(); }
  bool hasMark() const { return !Store.value(sched::refusalKey(Id)).empty(); }
};

bool isDone(const Bench::Outcome &Of) { return *Of && ok(**Of); }
bool isError(const Bench::Outcome &Of, ErrorKind Kind) {
  return *Of && !ok(**Of) && error(**Of).Kind == Kind;
}

TEST(Intake, OnlyTheStoreCanSayThatAJobMayBeRefused) {
  Bench Cell;
  EXPECT_EQ(Cell.refusable(Cell.Here), 1);
  EXPECT_TRUE(Cell.hasMark());
  Cell.Store.put(jobKey(Id), "written by another process", 0);
  EXPECT_EQ(Cell.refusable(Cell.Here), 0);
  Cell.Store.remove(jobKey(Id));
  Cell.Store.Down = true;
  EXPECT_EQ(Cell.refusable(Cell.Here), 0) << "no answer";
  Cell.Store.Down = false;
  Cell.Here.IsSilent = true;
  const int Commits = Cell.Store.Commits;
  EXPECT_EQ(Cell.refusable(Cell.Here), 0);
  EXPECT_EQ(Cell.Store.Commits, Commits) << "not asked";
}

TEST(Intake, AJobSubmittedHereIsNotRefusedWhileItsWriteMayLand) {
  Bench Cell;
  Cell.Here.CommitTime = 20ms;
  Cell.submit(Cell.Here);
  Cell.run(5ms);
  EXPECT_EQ(Cell.refusable(Cell.Here), 0) << "in flight";
  Cell.run(50ms);
  Cell.Store.remove(jobKey(Id));
  EXPECT_EQ(Cell.refusable(Cell.Here), 0) << "its write may be carried out late";
  Cell.Passed = 11s;
  EXPECT_EQ(Cell.refusable(Cell.Here), 1);
}

TEST(Intake, AJobSubmittedWhileItsMarkIsWrittenIsNotRefused) {
  Bench Cell;
  Cell.Here.AnswerTime = 20ms;
  bool Answer = true;
  boost::asio::co_spawn(Cell.Io, Cell.Here.In.markRefused(Id, Steady::now() + 200ms),
                        [&Answer](std::exception_ptr, bool Certain) { Answer = Certain; });
  Cell.run(5ms);
  Cell.submit(Cell.Here);
  Cell.run(60ms);
  EXPECT_FALSE(Answer);
}

TEST(Intake, MarksOfAFloodAreBounded) {
  Bench Cell;
  EXPECT_EQ(Cell.refusable(Cell.Here, 100), 16);
  EXPECT_EQ(Cell.Store.Commits, 16) << "one write for each refusal";
  EXPECT_EQ(Cell.refusable(Cell.Here), 1);
  EXPECT_EQ(Cell.Here.Grants, 1);
  Cell.Passed = 31s;
  EXPECT_EQ(Cell.refusable(Cell.Here), 1);
  EXPECT_EQ(Cell.Here.Grants, 2) << "a mark outlives the writes that it stops";
}

TEST(Intake, AJobWhoseEarlierWriteLandsFirstIsNotRefused) {
  Bench Cell;
  Cell.Here.IsHeld = true;
  const auto Certain = std::make_shared<std::optional<bool>>();
  boost::asio::co_spawn(Cell.Io, Cell.Here.In.markRefused(Id, Steady::now() + 2s),
                        [Certain](std::exception_ptr, bool Answer) { *Certain = Answer; });
  Cell.run(5ms);
  const Bench::Outcome Earlier = Cell.submit(Cell.Elsewhere, Cell.bounds(Cell.Elsewhere));
  Cell.finish(Earlier);
  EXPECT_TRUE(isDone(Earlier));
  Cell.Here.IsHeld = false;
  for (int I = 0; I < 1000 && !*Certain; ++I)
    Cell.run(1ms);
  EXPECT_EQ(*Certain, false);
  EXPECT_FALSE(Cell.hasMark());
  const Bench::Outcome Repeated = Cell.submit(Cell.Here, Cell.bounds(Cell.Here));
  Cell.finish(Repeated);
  EXPECT_TRUE(isDone(Repeated));
}

TEST(Intake, AnEarlierWriteThatLandsAfterTheMarkIsNotAccepted) {
  Bench Cell;
  Cell.Elsewhere.IsHeld = true;
  const Bench::Outcome Earlier = Cell.submit(Cell.Elsewhere, Cell.bounds(Cell.Elsewhere, 5s));
  const Bench::Outcome Other = Cell.submit(Cell.Elsewhere, Cell.bounds(Cell.Elsewhere, 5s), Id + 1);
  Cell.run(5ms);
  EXPECT_EQ(Cell.refusable(Cell.Here), 1);
  Cell.Elsewhere.IsHeld = false;
  Cell.finish(Earlier);
  Cell.finish(Other);
  EXPECT_TRUE(isError(Earlier, ErrorKind::Overloaded));
  EXPECT_FALSE(Cell.hasJob());
  EXPECT_TRUE(isDone(Other)) << "submitted at the same time";
  EXPECT_EQ(Cell.Elsewhere.Announced, 1);
}

TEST(Intake, AnEarlierWriteWithAnUnknownOutcomeIsNotRepeatedAfterTheMark) {
  Bench Cell;
  Cell.Store.LoseAnswers = 1;
  const Bench::Outcome Earlier = Cell.submit(Cell.Elsewhere, Cell.bounds(Cell.Elsewhere, 5s));
  for (int I = 0; I < 1000 && !Cell.hasJob(); ++I)
    Cell.run(1ms);
  Cell.Elsewhere.IsHeld = true;
  Cell.Store.remove(jobKey(Id)); // as if the write had not been carried out
  EXPECT_EQ(Cell.refusable(Cell.Here), 1);
  Cell.Elsewhere.IsHeld = false;
  Cell.finish(Earlier);
  EXPECT_TRUE(isError(Earlier, ErrorKind::Overloaded));
  EXPECT_FALSE(Cell.hasJob());
}

TEST(Intake, AMarkWithoutAnAnswerDoesNotHoldTheJob) {
  Bench Cell;
  Cell.Here.IsHeld = true;
  EXPECT_EQ(Cell.refusable(Cell.Here, 1, 50ms), 0);
  const Bench::Outcome Admitted = Cell.submit(Cell.Elsewhere, Cell.bounds(Cell.Elsewhere));
  Cell.finish(Admitted);
  EXPECT_TRUE(isDone(Admitted));
  Cell.Here.IsHeld = false;
  Cell.run(20ms);
  EXPECT_FALSE(Cell.hasMark()) << "it lands after the job and has no effect";
  EXPECT_TRUE(Cell.hasJob());
}

TEST(Intake, AMarkThatLandsWithoutAnAnswerStopsTheJob) {
  Bench Cell;
  const SubmitBounds Bounds = Cell.bounds(Cell.Here, 5s);
  Cell.Store.LoseAnswers = 1;
  EXPECT_EQ(Cell.refusable(Cell.Here), 0);
  EXPECT_TRUE(Cell.hasMark());
  const Bench::Outcome Admitted = Cell.submit(Cell.Here, Bounds);
  Cell.finish(Admitted);
  EXPECT_TRUE(isError(Admitted, ErrorKind::Overloaded)) << "both answers say that it never runs";
  EXPECT_FALSE(Cell.hasJob());
}

TEST(Intake, AJobThatReturnsAfterItsRefusalIsAccepted) {
  Bench Cell;
  EXPECT_EQ(Cell.refusable(Cell.Here), 1);
  const Bench::Outcome Returned = Cell.submit(Cell.Here, Cell.bounds(Cell.Here));
  Cell.finish(Returned);
  EXPECT_TRUE(isDone(Returned));
  EXPECT_TRUE(Cell.hasJob());
  EXPECT_FALSE(Cell.hasMark()) << "removed with the acceptance";

  // A process that has seen nothing since the refusal can't tell a return from an earlier call.
  Bench Apart;
  EXPECT_EQ(Apart.refusable(Apart.Here), 1);
  const Bench::Outcome First = Apart.submit(Apart.Elsewhere, Apart.bounds(Apart.Elsewhere));
  Apart.finish(First);
  EXPECT_TRUE(isError(First, ErrorKind::Overloaded));
  EXPECT_FALSE(Apart.hasJob());
  const Bench::Outcome Second = Apart.submit(Apart.Elsewhere, Apart.bounds(Apart.Elsewhere));
  Apart.finish(Second);
  EXPECT_TRUE(isDone(Second));
}

// Guards against jobs that reach their deadline because their transactions fail again and again by
// the first writes of others.
TEST(Intake, JobsBesideReturnsAreWrittenTwiceAtMost) {
  constexpr int Jobs = 90;
  Bench Cell;
  for (int I = 0; I < Jobs; I += 3)
    Cell.Store.put(sched::refusalKey(Id + I), "1", 0);
  const Bench::Outcome Before = Cell.submit(Cell.Here, Cell.bounds(Cell.Here), Id + Jobs);
  Cell.finish(Before); // the process sees a revision since the refusals
  Cell.Here.CommitTime = 20ms;
  std::vector<Bench::Outcome> Given;
  for (int I = 0; I < Jobs; ++I) {
    Given.push_back(Cell.submit(Cell.Here, Cell.bounds(Cell.Here, 5s), Id + I));
    Cell.run(1ms);
  }
  int Accepted = 0;
  int Most = 0;
  for (int I = 0; I < Jobs; ++I) {
    Cell.finish(Given[I]);
    Accepted += isDone(Given[I]);
    Most = std::max(Most, Cell.Here.Writes[jobKey(Id + I)]);
  }
  EXPECT_EQ(Accepted, Jobs);
  EXPECT_EQ(Most, 2);
}

// Guards against transactions of more rows than the store takes, and against half-empty ones.
TEST(Intake, TransactionsAreFilledToTheRowLimit) {
  for (const bool IsBound : {false, true}) {
    Bench Cell;
    for (int I = 0; I < 40; ++I)
      Cell.Store.put(sched::refusalKey(Id + I), "1", 0);
    const Bench::Outcome Before = Cell.submit(Cell.Here, Cell.bounds(Cell.Here), Id + 100);
    Cell.finish(Before); // the process sees a revision since the refusals
    Cell.Here.CommitTime = 20ms;
    std::vector<Bench::Outcome> Given;
    Given.reserve(40);
    for (int I = 0; I < 40; ++I)
      Given.push_back(Cell.submit(
          Cell.Here, IsBound ? std::optional(Cell.bounds(Cell.Here, 5s)) : std::nullopt, Id + I));
    for (const Bench::Outcome &One : Given) {
      Cell.finish(One);
      EXPECT_TRUE(isDone(One));
    }
    EXPECT_EQ(Cell.Here.MostJobs, IsBound ? 10u : 16u);
    EXPECT_EQ(Cell.Here.MostReturns, IsBound ? 8u : 0u);
  }
}

TEST(Intake, AReturnThatIsRefusedAgainElsewhereIsNotAccepted) {
  Bench Cell;
  EXPECT_EQ(Cell.refusable(Cell.Here), 1);
  const int Before = Cell.Store.Commits;
  Cell.Here.AnswerTime = 10ms;
  const Bench::Outcome Returned = Cell.submit(Cell.Here, Cell.bounds(Cell.Here, 5s));
  while (Cell.Store.Commits == Before)
    Cell.run(1ms);
  Cell.Here.IsHeld = true; // its second write, which expects the first mark
  Cell.run(20ms);
  EXPECT_EQ(Cell.refusable(Cell.Elsewhere), 1);
  Cell.Here.IsHeld = false;
  Cell.finish(Returned);
  EXPECT_TRUE(isError(Returned, ErrorKind::Overloaded));
  EXPECT_FALSE(Cell.hasJob());
}

TEST(Intake, AJobWhoseMarkHasExpiredIsAccepted) {
  Bench Cell;
  EXPECT_EQ(Cell.refusable(Cell.Here), 1);
  const int Before = Cell.Store.Commits;
  Cell.Here.AnswerTime = 10ms;
  const Bench::Outcome Returned = Cell.submit(Cell.Here, Cell.bounds(Cell.Here, 5s));
  while (Cell.Store.Commits == Before)
    Cell.run(1ms);
  Cell.Store.remove(sched::refusalKey(Id));
  Cell.finish(Returned);
  EXPECT_TRUE(isDone(Returned));
}

TEST(Intake, ASubmissionWithBoundsReturnsByItsDeadline) {
  Bench Cell;
  Cell.Here.IsHeld = true;
  std::vector<Bench::Outcome> Written;
  for (sched::JobId I = 1; I <= 4; ++I) { // takes all writes that may be in flight
    Written.push_back(Cell.submit(Cell.Here, Cell.bounds(Cell.Here, 200ms), Id + I));
    Cell.run(1ms);
  }
  const Bench::Outcome Queued = Cell.submit(Cell.Here, Cell.bounds(Cell.Here, 200ms));
  Cell.finish(Queued);
  for (const Bench::Outcome &One : Written)
    EXPECT_TRUE(isError(One, ErrorKind::OutcomeUnknown));
  EXPECT_TRUE(isError(Queued, ErrorKind::StoreUnavailable));
  Cell.Here.IsHeld = false;
  Cell.run(100ms);
  EXPECT_FALSE(Cell.hasJob()) << "it was said not to run";
  EXPECT_EQ(Cell.Here.Announced, 4) << "the others were written late";
}

// Guards against a job that runs although its caller was told that it does not: the write of the
// first attempt lands after the second attempt has been answered.
TEST(Intake, ARepeatedIdIsNotSaidNotToRunWhileAnEarlierWriteMayLand) {
  Bench Cell;
  Cell.Here.IsHeld = true;
  const Bench::Outcome First = Cell.submit(Cell.Here, Cell.bounds(Cell.Here, 100ms));
  Cell.run(1ms);
  for (sched::JobId I = 1; I <= 3; ++I) {
    Cell.submit(Cell.Here, Cell.bounds(Cell.Here, 400ms), Id + I);
    Cell.run(1ms);
  }
  const Bench::Outcome During = Cell.submit(Cell.Here, Cell.bounds(Cell.Here, 50ms));
  Cell.finish(During);
  EXPECT_FALSE(*First);
  EXPECT_TRUE(isError(During, ErrorKind::OutcomeUnknown)) << "the first is in progress";
  Cell.finish(First);
  EXPECT_TRUE(isError(First, ErrorKind::OutcomeUnknown));
  const Bench::Outcome After = Cell.submit(Cell.Here, Cell.bounds(Cell.Here, 50ms));
  Cell.finish(After);
  EXPECT_TRUE(isError(After, ErrorKind::OutcomeUnknown)) << "the first has ended";
  EXPECT_FALSE(Cell.hasJob());
  Cell.Here.IsHeld = false;
  Cell.run(100ms);
  EXPECT_TRUE(Cell.hasJob());
}

TEST(Intake, ARepeatedIdThatExpiresBeforeItIsSentIsNotSaidNotToRun) {
  Bench Cell;
  Cell.Here.IsHeld = true;
  const Bench::Outcome First = Cell.submit(Cell.Here, Cell.bounds(Cell.Here, 100ms));
  Cell.run(1ms);
  for (sched::JobId I = 1; I <= 3; ++I) {
    Cell.submit(Cell.Here, Cell.bounds(Cell.Here, 5s), Id + I);
    Cell.run(1ms);
  }
  Cell.finish(First);
  const Bench::Outcome Second = Cell.submit(Cell.Here, Cell.bounds(Cell.Here, 2s));
  Cell.run(1ms);
  Cell.Passed = 3s; // the process was suspended
  Cell.Here.IsHeld = false;
  Cell.run(100ms);
  EXPECT_TRUE(Cell.hasJob());
  EXPECT_TRUE(isError(Second, ErrorKind::OutcomeUnknown));
}

// Guards against a job that runs after its caller was told that there is none to cancel: the write
// of its submission may still be carried out.
TEST(Intake, TheAbsenceOfAJobAloneDoesNotAnswerItsCancellation) {
  Bench Cell;
  const Bench::Outcome Proven = Cell.cancel(Cell.Here);
  Cell.finish(Proven);
  EXPECT_EQ(Cell.Here.Revoked, 1);
  EXPECT_TRUE(isError(Proven, ErrorKind::NotFound));

  Cell.Here.RevokeAnswer = Error{ErrorKind::OutcomeUnknown, "not held"};
  const Bench::Outcome InDoubt = Cell.cancel(Cell.Here);
  Cell.finish(InDoubt);
  EXPECT_TRUE(isError(InDoubt, ErrorKind::OutcomeUnknown));

  Cell.Here.RevokeAnswer = Error{ErrorKind::NotCarriedOut, "too many"};
  const Bench::Outcome Refused = Cell.cancel(Cell.Here);
  Cell.finish(Refused);
  EXPECT_TRUE(isError(Refused, ErrorKind::NotCarriedOut));
}

// Guards against "not run" for a job that was written while it was being revoked: it may have
// begun.
TEST(Intake, AJobThatIsWrittenWhileItIsRevokedIsCancelledAsAnyOther) {
  Bench Cell;
  Cell.Here.OnRevoke = [&Cell] { Cell.store(sched::JobPhase::Live); };
  const Bench::Outcome Cancelled = Cell.cancel(Cell.Here);
  Cell.finish(Cancelled);
  EXPECT_TRUE(isDone(Cancelled));
  EXPECT_FALSE(Cell.Store.value(sched::cancelKey(Id)).empty());

  // The scheduler may have ended it already.
  Bench Ended;
  Ended.Here.OnRevoke = [&Ended] { Ended.store(sched::JobPhase::Cancelled); };
  const Bench::Outcome Again = Ended.cancel(Ended.Here);
  Ended.finish(Again);
  EXPECT_TRUE(isDone(Again));

  Bench Other;
  Other.Here.OnRevoke = [&Other] { Other.store(sched::JobPhase::Live, "north"); };
  const Bench::Outcome Forbidden = Other.cancel(Other.Here, "south");
  Other.finish(Forbidden);
  EXPECT_TRUE(isError(Forbidden, ErrorKind::Forbidden));
}

TEST(Intake, AnUnreadableStoreAfterTheRevocationLeavesItInDoubt) {
  Bench Cell;
  Cell.Here.OnRevoke = [&Cell] { Cell.Store.Down = true; };
  const Bench::Outcome Given = Cell.cancel(Cell.Here);
  Cell.finish(Given);
  EXPECT_TRUE(isError(Given, ErrorKind::OutcomeUnknown));
}

// Guards against "not run" for a job that has run.
TEST(Intake, TheCancellationOfAJobThatHasEndedSaysSo) {
  for (const sched::JobPhase Phase : {sched::JobPhase::Completed, sched::JobPhase::Failed}) {
    Bench Cell;
    Cell.store(Phase);
    const Bench::Outcome Given = Cell.cancel(Cell.Here);
    Cell.finish(Given);
    EXPECT_TRUE(isError(Given, ErrorKind::AlreadyEnded));
    EXPECT_EQ(answerFor(ErrorKind::AlreadyEnded).HttpStatus, 410);
    EXPECT_EQ(answerFor(ErrorKind::AlreadyEnded).Outcome, Outcome::Ran);
    EXPECT_EQ(Cell.Here.Revoked, 0);
  }
}

TEST(Intake, WriteTimeIsThatOfRecentWrites) {
  Bench Cell;
  EXPECT_EQ(Cell.Here.In.recentWriteTime(), 0ms);
  Cell.Here.CommitTime = 60ms;
  Cell.submit(Cell.Here);
  Cell.run(30ms);
  EXPECT_GE(Cell.Here.In.recentWriteTime(), 15ms) << "in flight";
  Cell.run(100ms);
  EXPECT_GE(Cell.Here.In.recentWriteTime(), 60ms);
  Cell.Passed = 2s;
  EXPECT_EQ(Cell.Here.In.recentWriteTime(), 0ms) << "an old one must not keep jobs out";
}

} // namespace
} // namespace valveshelf
