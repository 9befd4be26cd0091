// SPDX-License-Identifier: Apache-2.0
// Guards against the answer that a job will not run without a proof: the record is durable, the
// present scheduler holds it, and no other one has claimed before that.
#include "cell/revocations.h"

#include "fakes/fake_key_value_store.h"

#include <boost/asio.hpp>
#include <gtest/gtest.h>

namespace valveshelf {
namespace {
using namespace sched;
using namespace std::chrono_literals;

constexpr uint64_t Term = 7;

struct Bench {
  boost::asio::io_context Io;
  fakes::FakeKeyValueStore Store{Io};
  CellSettings Settings;
  std::vector<std::vector<Revocation>> Held;
  uint64_t HoldAnswer = Term;
  std::function<void()> OnHold = [] {};
  Steady::duration Passed{0}; ///< Added to the clock, but not to timers.
  int Writes = 0;
  Milliseconds CommitTime{0};
  std::unique_ptr<Revocations> Under;
  using Outcome = std::shared_ptr<std::optional<Result<Done>>>;

  Bench() {
    Settings.Member = "a";
    lead(Term);
    KeyValueStore Ops = Store.ops();
    Ops.Commit = [this,
                  Inner = Ops.Commit](Transaction What) -> Awaitable<Result<TransactionResult>> {
      ++Writes;
      EXPECT_LE(What.rows(), 1U) << "a condition would fail the whole batch";
      co_await sleepFor(CommitTime);
      co_return co_await Inner(std::move(What));
    };
    Under = std::make_unique<Revocations>(
        Io.get_executor(), Ops, Clock{[this] { return Steady::now() + Passed; }, wallNow}, Settings,
        [this](std::vector<Revocation> Batch) -> Awaitable<uint64_t> {
          EXPECT_EQ(recorded(), Recorded) << "held before it is durable";
          Held.push_back(std::move(Batch));
          OnHold();
          co_return HoldAnswer;
        });
  }
  ~Bench() { run(150ms); }

  void lead(uint64_t Of) {
    Store.put(std::string(LeaderKey), encodeLeader({"b", {"127.0.0.1", 1}, Of}), 0);
  }
  // How many revocations the store's records hold.
  size_t recorded() {
    size_t Sum = 0;
    boost::asio::io_context Own;
    boost::asio::co_spawn(
        Own,
        [this, &Sum]() -> Awaitable<void> {
          KeyValueStore Ops = Store.ops();
          const Result<KeyRange> Read = co_await Ops.Range(std::string(RevocationPrefix), false);
          for (const KeyValue &Item : value(Read).Items)
            Sum += value(decodeRevocations(Item.Value)).size();
        },
        boost::asio::detached);
    Own.run();
    return Sum;
  }
  size_t Recorded = 0; ///< Expected when the scheduler is asked to hold.

  Outcome revoke(JobId Id, Milliseconds Limit = 400ms) {
    auto Given = std::make_shared<std::optional<Result<Done>>>();
    boost::asio::co_spawn(
        Io, Under->revoke(Id, "north", Steady::now() + Passed + Limit),
        [Given](std::exception_ptr, Result<Done> Answer) { *Given = std::move(Answer); });
    return Given;
  }
  void run(Milliseconds Time) {
    Io.restart();
    Io.run_for(Time);
  }
  void finish(const Outcome &Of) {
    for (int I = 0; I < 3000 && !*Of; ++I)
      run(1ms);
  }
};

bool isDone(const Bench::Outcome &Of) { return *Of && ok(**Of); }
bool isError(const Bench::Outcome &Of, ErrorKind Kind) {
  return *Of && !ok(**Of) && error(**Of).Kind == Kind;
}

TEST(Revocations, AreProvenOnceTheyAreRecordedAndHeld) {
  Bench Given;
  Given.Recorded = 1;
  const Bench::Outcome One = Given.revoke(5);
  Given.finish(One);
  EXPECT_TRUE(isDone(One));
  ASSERT_EQ(Given.Held.size(), 1U);
  EXPECT_EQ(Given.Held[0][0].Job, 5U);
  EXPECT_EQ(Given.Held[0][0].Organisation, "north");
}

TEST(Revocations, AreInDoubtWhileNoSchedulerHoldsThem) {
  Bench Given;
  Given.Recorded = 1;
  Given.HoldAnswer = 0;
  const Bench::Outcome One = Given.revoke(5);
  Given.finish(One);
  EXPECT_TRUE(isError(One, ErrorKind::OutcomeUnknown));
  EXPECT_GT(Given.Held.size(), 1U) << "asked again";
}

// A scheduler that has been replaced may answer before it learns of that; its successor may have
// loaded its state before the record was written.
TEST(Revocations, AreInDoubtIfTheSchedulerThatHoldsThemIsNotTheNewest) {
  Bench Given;
  Given.Recorded = 1;
  Given.OnHold = [&Given] { Given.lead(Term + 1); };
  const Bench::Outcome One = Given.revoke(5);
  Given.finish(One);
  EXPECT_TRUE(isError(One, ErrorKind::OutcomeUnknown));

  Given.HoldAnswer = Term + 1;
  Given.Recorded = 2;
  const Bench::Outcome Two = Given.revoke(6);
  Given.finish(Two);
  EXPECT_TRUE(isDone(Two)) << "the successor holds it";
}

TEST(Revocations, AreInDoubtWhileTheStoreDoesNotTakeThem) {
  Bench Given;
  Given.Store.Down = true;
  const Bench::Outcome One = Given.revoke(5);
  Given.finish(One);
  EXPECT_TRUE(isError(One, ErrorKind::OutcomeUnknown));
  EXPECT_TRUE(Given.Held.empty());
}

TEST(Revocations, AreWrittenAgainIfTheAnswerWasLost) {
  Bench Given;
  Given.Recorded = 1;
  Given.Store.LoseAnswers = 2;
  const Bench::Outcome One = Given.revoke(5);
  Given.finish(One);
  EXPECT_TRUE(isDone(One));
  EXPECT_EQ(Given.Writes, 3);
  EXPECT_EQ(Given.recorded(), 1U) << "under the same key";
}

// Guards against a flood of cancellations of jobs that never existed.
TEST(Revocations, OfAFloodAreBatchedAndBounded) {
  Bench Given;
  Given.CommitTime = 5ms;
  std::vector<Bench::Outcome> All;
  for (JobId Id = 1; Id <= 2000; ++Id)
    All.push_back(Given.revoke(Id));
  Given.Recorded = 500;
  int Proven = 0;
  int Refused = 0;
  for (const Bench::Outcome &One : All) {
    Given.finish(One);
    Proven += isDone(One);
    Refused += isError(One, ErrorKind::NotCarriedOut);
  }
  EXPECT_EQ(Proven, 500);
  EXPECT_EQ(Refused, 1500);
  EXPECT_LE(Given.Writes, 3);
  Given.Passed = 10s;
  Given.Recorded = 501;
  const Bench::Outcome Later = Given.revoke(5000);
  Given.finish(Later);
  EXPECT_TRUE(isDone(Later));
}

TEST(Revocations, OfTwoLivesOfAProcessHaveKeysOfTheirOwn) {
  Bench Given;
  Given.Recorded = 1;
  Given.finish(Given.revoke(5));
  EXPECT_NE(revocationKey("a", 1, 1), revocationKey("a", 2, 1));
  EXPECT_NE(revocationKey("a", 1, 1), revocationKey("a", 1, 2));
  EXPECT_GT(std::string(RevocationPrefix), std::string(JobPrefix))
      << "a read in the order of the keys finds jobs first";
  EXPECT_TRUE(std::string(RevocationPrefix).starts_with(IntakePrefix));
}

} // namespace
} // namespace valveshelf
