// SPDX-License-Identifier: Apache-2.0
// Requests promises as an owner, and grants or refuses them as a guardian.
#include "valveshelf/events.h"
#include "valveshelf/membership.h"
#include "valveshelf/steady_timer.h"

#include <boost/asio.hpp>
#include <boost/asio/experimental/parallel_group.hpp>

#include <algorithm>

namespace valveshelf {
namespace asio = boost::asio;
namespace {
constexpr size_t MaxGuardians = 3;
constexpr size_t MaxWitnessedEntries = 4096;
// After a store outage of this length, an owner reports itself as cut off, so that guardians may
// let others claim its shards.
constexpr Milliseconds CutOffAfter{10000};
} // namespace

PromiseKeeper::PromiseKeeper(PeerOps Peers, Clock Time, valveshelf::Timing Times, MemberInfo Self,
                             SharedAuthority &Shared, CellWatch &Watch)
    : Peers(std::move(Peers)), Time(std::move(Time)), Times(Times), Self(std::move(Self)),
      Shared(Shared), Watch(Watch), StartedAt(this->Time.Now()) {}

void PromiseKeeper::attach(Journal &Journal) { Log = &Journal; }
void PromiseKeeper::stop() { Stopped = true; }

// Chooses guardians from the view and records a changed set. Until the record is stored, promises
// of both the old and the new set are required.
void PromiseKeeper::updateGuardians() {
  const CellViewPtr View = Watch.view();
  std::map<std::string, std::string> Zones;
  for (const auto &[LogId, Member] : View->Members)
    if (!Member.Leaving)
      Zones[LogId] = Member.Zone;
  const std::vector<std::string> Wanted = chooseGuardians(Self.Log, Self.Zone, Zones, MaxGuardians);
  std::vector<wire::Guardian> Record;
  {
    std::lock_guard Lock(Mutex);
    if (GuardianUpdatePending || Wanted == RecordedGuardians || !Log->storeUp())
      return;
    GuardianUpdatePending = true;
    for (const std::string &Name : Wanted) {
      Addresses[Name] = View->Members.at(Name).Peers;
      Record.emplace_back().set_incarnation(Name);
      Record.back().set_address(toString(Addresses[Name]));
    }
  }
  {
    std::lock_guard Lock(Shared.Mutex);
    Shared.Own.Guardians.insert(Wanted.begin(), Wanted.end());
  }
  Log->setGuardians(std::move(Record), [this, Wanted](Durability Value) {
    if (Value == Durability::Witnessed)
      return;
    std::scoped_lock Lock(Mutex, Shared.Mutex);
    GuardianUpdatePending = false;
    if (Value == Durability::Lost)
      return;
    RecordedGuardians = Wanted;
    Shared.Own.Guardians = {Wanted.begin(), Wanted.end()};
    std::erase_if(Addresses, [&](const auto &Entry) {
      return std::find(Wanted.begin(), Wanted.end(), Entry.first) == Wanted.end();
    });
  });
}

Awaitable<bool> PromiseKeeper::renewAll(std::vector<wire::JournalEntry> Entries) {
  std::map<std::string, Endpoint> Asked;
  {
    std::lock_guard Lock(Mutex);
    Asked = Addresses;
  }
  if (Asked.empty())
    co_return false;
  struct Round {
    std::atomic<size_t> Granted{0};
    std::atomic<size_t> Left{0};
    SteadyTimer Finished;
    explicit Round(Executor Where) : Finished(Where, SteadyTimer::time_point::max()) {}
  };
  const Executor Where = co_await asio::this_coro::executor;
  auto Together = std::make_shared<Round>(asio::make_strand(Where));
  Together->Left = Asked.size();
  for (const auto &[Name, Address] : Asked) {
    wire::PromiseRequest Request;
    Request.set_log(Self.Log);
    Request.set_guardian(Name);
    Request.set_journalled(Log->storedRecords());
    Request.set_cut_off(Log->storeDownFor() > CutOffAfter);
    for (const wire::JournalEntry &Entry : Entries)
      *Request.add_unstored() = Entry;
    auto Ask = [](PromiseKeeper *This, std::shared_ptr<Round> Shared, std::string Guardian,
                  Endpoint To, wire::PromiseRequest Message) -> Awaitable<void> {
      const TimePoint SentAt = This->Time.Now();
      Result<wire::PromiseReply> Reply = co_await This->Peers.Promise(To, std::move(Message));
      if (ok(Reply) && value(Reply).granted()) {
        ++Shared->Granted;
        std::lock_guard Lock(This->Shared.Mutex);
        onPromise(This->Shared.Own, Guardian, SentAt, Milliseconds(value(Reply).valid_ms()),
                  This->Times.Margin);
      }
      if (--Shared->Left == 0)
        asio::post(Shared->Finished.get_executor(), [Shared] { Shared->Finished.cancel(); });
    };
    asio::co_spawn(Where, Ask(this, Together, Name, Address, std::move(Request)), asio::detached);
  }
  while (Together->Left > 0) {
    Together->Finished.expires_after(Times.Promise);
    co_await Together->Finished.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  co_return Together->Granted == Asked.size();
}

Awaitable<bool> PromiseKeeper::witness(std::vector<wire::JournalEntry> Entries) {
  return renewAll(std::move(Entries));
}

Awaitable<void> PromiseKeeper::run() {
  bool ByPromise = false;
  bool HadAuthority = true;
  while (!Stopped && !Log->fenced()) {
    updateGuardians();
    std::vector<wire::JournalEntry> NoEntries;
    co_await renewAll(std::move(NoEntries));
    bool Lease = false;
    bool Promises = false;
    {
      std::lock_guard Lock(Shared.Mutex);
      Lease = leaseHolds(Shared.Own, Time.Now());
      Promises = promisesHold(Shared.Own, Time.Now());
    }
    if (!Lease && Promises && !ByPromise)
      logEvent(events::AuthorityByPromise, {{"log", Self.Log}});
    if (!Lease && !Promises && HadAuthority)
      logEvent(events::AuthorityLost, {{"log", Self.Log}});
    ByPromise = !Lease && Promises;
    HadAuthority = Lease || Promises;
    co_await sleepFor(Times.Promise / 3);
  }
}

wire::PromiseReply PromiseKeeper::onPromiseAsked(const wire::PromiseRequest &Request) {
  wire::PromiseReply Reply;
  // A promise is bound to an incarnation: refusals by an earlier process at this address are not
  // known here.
  if (Request.guardian() != Self.Log)
    return Reply;
  std::lock_guard Lock(Shared.Mutex);
  const TimePoint Now = Time.Now();
  const TimePoint Until =
      promise(Shared.GivenPromises, Request.log(), Request.cut_off(), Now, Times.Promise);
  if (Until == TimePoint{})
    return Reply;
  auto &Held = Shared.Witnessed[Request.log()];
  std::erase_if(Held, [&](const wire::JournalEntry &Old) {
    return Old.first_record() + Old.record_size() <= Request.journalled();
  });
  for (const wire::JournalEntry &Entry : Request.unstored()) {
    const bool Known = std::any_of(Held.begin(), Held.end(), [&](const wire::JournalEntry &Old) {
      return Old.first_record() == Entry.first_record() && Old.record_size() == Entry.record_size();
    });
    if (!Known)
      Held.push_back(Entry);
  }
  if (Held.size() > MaxWitnessedEntries)
    return Reply;
  Reply.set_granted(true);
  Reply.set_valid_ms(Times.Promise.count());
  return Reply;
}

wire::RefuseReply PromiseKeeper::onRefuseAsked(const wire::RefuseRequest &Request) {
  wire::RefuseReply Reply;
  const TimePoint Now = Time.Now();
  if (Request.guardian() != Self.Log) {
    // The requested incarnation is gone and gives no further promises. Its last promise may still
    // be valid until this process has been up for the duration of one promise.
    const auto Uptime = std::chrono::duration_cast<Milliseconds>(Now - StartedAt);
    Reply.set_refused(true);
    Reply.set_gone(true);
    Reply.set_wait_ms(std::max<int64_t>(0, (Times.Promise - Uptime).count()));
    return Reply;
  }
  std::lock_guard Lock(Shared.Mutex);
  const Refusal Answer =
      refuse(Shared.GivenPromises, Request.log(), Log->storeUp(), Times.Promise, Now);
  Reply.set_refused(Answer.Agreed);
  Reply.set_wait_ms(Answer.Wait.count());
  // Returned even without a refusal: a claimant needs only the entries if the owner is proven gone
  // or another guardian has refused.
  const auto Held = Shared.Witnessed.find(Request.log());
  if (Held != Shared.Witnessed.end())
    for (const wire::JournalEntry &Entry : Held->second)
      *Reply.add_unstored() = Entry;
  return Reply;
}

} // namespace valveshelf
