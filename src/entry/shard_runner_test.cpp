// SPDX-License-Identifier: Apache-2.0
// Hand-over of a shard. Guards against acknowledging a report, cancel or resize after the state for
// the next owner was captured: the change would be lost, and the job could stay active forever.
#include "fakes/fake_store.h"
#include "valveshelf/coroutines.h"
#include "valveshelf/shard_runner.h"

#include <boost/asio.hpp>
#include <gtest/gtest.h>

namespace valveshelf {
namespace {
namespace asio = boost::asio;
using namespace std::chrono_literals;

constexpr uint32_t Shard = 2;

class ShardHandOver : public ::testing::Test {
protected:
  ShardHandOver()
      : Budget(100000, 100000),
        Log(Io.get_executor(), "owner.1", Store.ops(), Clock{}, {}, Budget,
            [](std::vector<wire::JournalEntry>) -> Awaitable<bool> { co_return true; }),
        Watch(Store.ops(), Clock{}), Directory(16) {
    spawnLater(Io.get_executor(), Log.run());
    Runner = std::make_shared<ShardRunner>(Shard, 1, tools());
    JobSpec Spec;
    Spec.Id = "job-69";
    Spec.Kind = JobKind::Service;
    ShardState State;
    State.Id = Shard;
    Runner->load(acceptJob(State, Spec, Steady::now()).Records, "", {}, true);
  }

  ShardTools tools() {
    return {Io.get_executor(),
            Clock{},
            {},
            {},
            16,
            "owner.1",
            {},
            Store.ops(),
            {},
            Log,
            Shared,
            Watch,
            Directory,
            [] { return std::make_shared<const CellConfig>(); }};
  }

  // Runs the operation to completion; throws if it takes longer than 2 s.
  template <class T> T wait(Awaitable<T> Operation) {
    std::optional<T> Answer;
    asio::co_spawn(Io, std::move(Operation),
                   [&](std::exception_ptr, T Read) { Answer = std::move(Read); });
    const TimePoint Until = Steady::now() + 2s;
    while (!Answer && Steady::now() < Until)
      Io.run_one_for(10ms);
    return std::move(Answer).value();
  }

  bool isReportRecorded() {
    wire::ReportRequest Report;
    wire::PartStatus *Status = Report.add_status();
    Status->mutable_key()->set_job("job-69");
    Status->set_phase(static_cast<uint32_t>(AssignedPhase::Ended));
    return wait(Runner->onReportReceived(Report)).recorded();
  }

  bool isCancelAccepted() {
    wire::CancelRequest Request;
    Request.add_key()->set_job("job-69");
    return wait(Runner->onCancel(Request)).done();
  }

  asio::io_context Io;
  fakes::FakeStore Store;
  WriteBudget Budget;
  Journal Log;
  SharedAuthority Shared;
  CellWatch Watch;
  ShardDirectory Directory;
  std::shared_ptr<ShardRunner> Runner;
};

TEST_F(ShardHandOver, DrainedShardRejectsChanges) {
  ASSERT_FALSE(wait(Runner->drain()).empty());
  EXPECT_FALSE(isReportRecorded());
  EXPECT_FALSE(isCancelAccepted());
  EXPECT_FALSE(ok(wait(Runner->resize("job-69", 5))));
  const Result<std::string> Cancelled = wait(Runner->cancel("job-69"));
  ASSERT_FALSE(ok(Cancelled));
  EXPECT_EQ(error(Cancelled).Kind, ErrorKind::NotOwner);
}

TEST_F(ShardHandOver, ResumedShardAcceptsChanges) {
  wait(Runner->drain());
  Runner->resume();
  EXPECT_TRUE(isReportRecorded());
  EXPECT_TRUE(isCancelAccepted());
  EXPECT_TRUE(ok(wait(Runner->resize("job-69", 5))));
  EXPECT_TRUE(ok(wait(Runner->cancel("job-69"))));
}

TEST_F(ShardHandOver, StoppedShardRejectsChanges) {
  wait(Runner->drain());
  Runner->stop();
  EXPECT_FALSE(isReportRecorded());
  EXPECT_FALSE(isCancelAccepted());
}

} // namespace
} // namespace valveshelf
