// SPDX-License-Identifier: Apache-2.0
// Tests fencing of owners that are alive, gone, or have records held only by guardians.
#include "valveshelf/fence.h"

#include "fakes/fake_store.h"
#include "valveshelf/membership.h"

#include <boost/asio.hpp>
#include <gtest/gtest.h>

namespace valveshelf {
namespace {
namespace asio = boost::asio;
using namespace std::chrono_literals;

const Endpoint First{"127.0.0.1", 1};
const Endpoint Second{"127.0.0.1", 2};

wire::Guardian guardian(const std::string &Name, const Endpoint &Address) {
  wire::Guardian Made;
  Made.set_incarnation(Name);
  Made.set_address(toString(Address));
  return Made;
}

wire::Record cancelOf(const std::string &Job) {
  wire::Record Record;
  Record.set_shard(1);
  Record.mutable_job_cancelled()->set_job(Job);
  return Record;
}

// Runs one coroutine to completion.
template <class T> T runOne(asio::io_context &Io, Awaitable<T> Task) {
  std::optional<T> Out;
  asio::co_spawn(Io, std::move(Task), [&](std::exception_ptr Fault, T Value) {
    if (Fault)
      std::rethrow_exception(Fault);
    Out = std::move(Value);
  });
  Io.restart();
  while (!Out)
    Io.run_one();
  return *Out;
}

// An owner with two guardians and one stored record, and a claimant for its journal.
class FenceTest : public ::testing::Test {
protected:
  FenceTest()
      : Budget(1000, 1000),
        Log(Io.get_executor(), "owner.1", Store.ops(), Clock{}, JournalLimits{}, Budget,
            [](std::vector<wire::JournalEntry>) -> Awaitable<bool> { co_return true; }) {
    Log.setGuardians({guardian("first.1", First), guardian("second.1", Second)}, {});
    Log.append({cancelOf("stored")}, {});
    spawnLater(Io.get_executor(), Log.run());
    while (Store.Writes == 0)
      Io.run_one();
    Tools.Store = Store.ops();
    Tools.Claimant = "claimant.1";
    Tools.Address = {"127.0.0.1", 9};
    Tools.Promise = 1ms;
    Tools.Margin = 0ms;
    Tools.Peers.Refuse = [this](Endpoint To,
                                wire::RefuseRequest) -> Awaitable<Result<wire::RefuseReply>> {
      if (OnAsk)
        OnAsk();
      const auto Found = Replies.find(To);
      if (Found == Replies.end())
        co_return Error{ErrorKind::UpstreamUnavailable, "no answer"};
      co_return Found->second;
    };
    Tools.Peers.Probe = [this](Endpoint To) -> Awaitable<PeerOps::ProbeResult> {
      co_return Closed.count(To) ? PeerOps::ProbeResult::Refused : PeerOps::ProbeResult::NoAnswer;
    };
  }

  wire::JournalEntry held(const std::string &Job, uint64_t Record) {
    wire::JournalEntry Entry;
    Entry.set_first_record(Record);
    *Entry.add_record() = cancelOf(Job);
    return Entry;
  }

  wire::RefuseReply reply(bool Refused, bool Gone, std::vector<wire::JournalEntry> Held) {
    wire::RefuseReply Made;
    Made.set_refused(Refused);
    Made.set_gone(Gone);
    for (const wire::JournalEntry &Entry : Held)
      *Made.add_unstored() = Entry;
    return Made;
  }

  std::vector<std::string> jobsAfter() {
    Result<JournalView> View = runOne(Io, readJournal(Store.ops(), "owner.1", Tools.RingSlots));
    std::vector<std::string> Jobs;
    if (ok(View))
      for (const wire::Record &Record : recordsOf(value(View), 1))
        Jobs.push_back(Record.job_cancelled().job());
    return Jobs;
  }

  asio::io_context Io;
  fakes::FakeStore Store;
  WriteBudget Budget;
  Journal Log;
  FenceTools Tools;
  std::map<Endpoint, wire::RefuseReply> Replies;
  std::set<Endpoint> Closed;
  std::function<void()> OnAsk;
};

TEST_F(FenceTest, GoneGuardianDoesNotHideRecordsOfAnother) {
  // The first guardian restarted and answers that the requested incarnation is gone. That must not
  // be taken to mean that no records are held.
  Replies[First] = reply(true, true, {});
  Replies[Second] = reply(true, false, {held("witnessed", 1)});
  EXPECT_TRUE(ok(runOne(Io, fenceJournal(Tools, "owner.1"))));
  EXPECT_EQ(jobsAfter(), (std::vector<std::string>{"stored", "witnessed"}));
}

TEST_F(FenceTest, UnreachableGuardianBlocksSealUnlessGone) {
  Replies[First] = reply(true, true, {});
  EXPECT_FALSE(ok(runOne(Io, fenceJournal(Tools, "owner.1"))));
  Closed.insert(Second);
  EXPECT_TRUE(ok(runOne(Io, fenceJournal(Tools, "owner.1"))));
}

TEST_F(FenceTest, OwnerWithLeaseIsNotFenced) {
  Replies[First] = reply(true, false, {});
  MemberInfo Owner{"owner", "owner.1", "olano", "z1", First, First, First};
  Store.put(memberKey("owner"), encodeMember(Owner), 0, 0);
  EXPECT_FALSE(ok(runOne(Io, fenceJournal(Tools, "owner.1"))));
}

TEST_F(FenceTest, GoneOwnerIsFencedBeforeLeaseExpiry) {
  Replies[Second] = reply(false, false, {held("witnessed", 1)});
  Replies[First] = reply(false, false, {held("witnessed", 1)});
  MemberInfo Owner{"owner", "owner.1", "olano", "z1", First, First, First};
  Store.put(memberKey("owner"), encodeMember(Owner), 0, 0);
  EXPECT_FALSE(ok(runOne(Io, fenceJournal(Tools, "owner.1"))));
  Tools.ProvenGone = [](const std::string &Log) { return Log == "owner.1"; };
  EXPECT_TRUE(ok(runOne(Io, fenceJournal(Tools, "owner.1"))));
  EXPECT_EQ(jobsAfter(), (std::vector<std::string>{"stored", "witnessed"}));
}

TEST_F(FenceTest, NoSealWithoutGuardianRefusal) {
  Replies[First] = reply(false, false, {});
  Replies[Second] = reply(false, false, {});
  EXPECT_FALSE(ok(runOne(Io, fenceJournal(Tools, "owner.1"))));
  EXPECT_FALSE(Log.fenced());
}

TEST_F(FenceTest, OwnerThatWritesDuringTheClaimKeepsItsJournal) {
  Replies[First] = reply(true, false, {});
  OnAsk = [this] {
    // The owner regained its lease and wrote to its journal, as it does before it relies on the
    // lease.
    OnAsk = {};
    wire::JournalEntry Resume;
    Resume.set_log("owner.1");
    Resume.set_writer("owner.1");
    Resume.set_sequence(1);
    Store.put("log/owner.1/0001", R"({"log":"owner.1","sequence":"1","writer":"owner.1"})", 0, 0);
  };
  EXPECT_FALSE(ok(runOne(Io, fenceJournal(Tools, "owner.1"))));
}

TEST_F(FenceTest, SealedOwnerIsFencedOnNextWrite) {
  Replies[First] = reply(true, false, {});
  ASSERT_TRUE(ok(runOne(Io, fenceJournal(Tools, "owner.1"))));
  std::optional<Durability> Value;
  Log.append({cancelOf("late")}, [&](Durability D) { Value = D; });
  while (!Value)
    Io.run_one();
  EXPECT_EQ(*Value, Durability::Lost);
  EXPECT_TRUE(Log.fenced());
}

TEST_F(FenceTest, StoredRecordsAreNotDuplicated) {
  Replies[First] = reply(true, false, {held("stored", 0), held("witnessed", 1)});
  ASSERT_TRUE(ok(runOne(Io, fenceJournal(Tools, "owner.1"))));
  EXPECT_EQ(jobsAfter(), (std::vector<std::string>{"stored", "witnessed"}));
}

} // namespace
} // namespace valveshelf
