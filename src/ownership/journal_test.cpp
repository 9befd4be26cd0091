// SPDX-License-Identifier: Apache-2.0
// Tests that records appended during a store outage are stored afterwards and their callbacks run.
#include "valveshelf/journal.h"

#include "fakes/fake_store.h"
#include "valveshelf/coroutines.h"

#include <boost/asio.hpp>
#include <gtest/gtest.h>

namespace valveshelf {
namespace {
namespace asio = boost::asio;
using namespace std::chrono_literals;

// A journal whose guardians accept all entries, with short retry pauses.
class JournalTest : public ::testing::Test {
protected:
  JournalTest()
      : Budget(100000, 100000),
        Log(Io.get_executor(), "owner.1", Store.ops(), Clock{}, limits(), Budget,
            [](std::vector<wire::JournalEntry>) -> Awaitable<bool> { co_return true; }) {
    spawnLater(Io.get_executor(), Log.run());
  }

  static JournalLimits limits() {
    JournalLimits Limits;
    Limits.RetryPause = 1ms;
    Limits.DownAfter = 2ms;
    return Limits;
  }

  // Runs the context until the condition holds. Returns false on timeout.
  template <class Condition> bool runUntil(Condition Holds, Milliseconds Most = 2s) {
    const TimePoint Until = Steady::now() + Most;
    while (!Holds() && Steady::now() < Until)
      Io.run_one_for(10ms);
    return Holds();
  }

  void append(const std::string &Job) {
    wire::Record Record;
    Record.set_shard(1);
    Record.mutable_job_cancelled()->set_job(Job);
    Appended.push_back(Job);
    Log.append({Record}, [this, Job](Durability Value) { Outcomes[Job].push_back(Value); });
  }

  // Appends a record during an outage and waits until the guardians hold it as an entry of its own.
  void appendWitnessed(const std::string &Job) {
    append(Job);
    ASSERT_TRUE(runUntil([&] { return !Outcomes[Job].empty(); })) << Job;
    ASSERT_EQ(Outcomes[Job].front(), Durability::Witnessed) << Job;
  }

  bool allStored() const {
    return std::all_of(Appended.begin(), Appended.end(), [&](const std::string &Job) {
      const auto Found = Outcomes.find(Job);
      return Found != Outcomes.end() && !Found->second.empty() &&
             Found->second.back() == Durability::Stored;
    });
  }

  std::vector<std::string> stored() {
    std::optional<Result<JournalView>> View;
    asio::co_spawn(Io, readJournal(Store.ops(), "owner.1", limits().RingSlots),
                   [&](std::exception_ptr, Result<JournalView> Read) { View = std::move(Read); });
    runUntil([&] { return View.has_value(); });
    std::vector<std::string> Jobs;
    if (ok(*View))
      for (const wire::Record &Record : recordsOf(value(*View), 1))
        Jobs.push_back(Record.job_cancelled().job());
    return Jobs;
  }

  asio::io_context Io;
  fakes::FakeStore Store;
  WriteBudget Budget;
  Journal Log;
  std::vector<std::string> Appended;
  std::map<std::string, std::vector<Durability>> Outcomes;
};

// Entries built during an outage are merged into the first one. Merging four or more must not
// invalidate the first, which would lose their records and the callbacks that reports wait for.
TEST_F(JournalTest, StoresAllRecordsAppendedDuringOutage) {
  append("before");
  ASSERT_TRUE(runUntil([&] { return allStored(); }));
  Store.Outage = true;
  for (const std::string Job : {"1", "2", "3", "4", "5", "6", "7", "8"})
    appendWitnessed(Job);
  Store.Outage = false;
  EXPECT_TRUE(runUntil([&] { return allStored(); }));
  append("after");
  EXPECT_TRUE(runUntil([&] { return allStored(); }));
  EXPECT_EQ(stored(), Appended);
}

} // namespace
} // namespace valveshelf
