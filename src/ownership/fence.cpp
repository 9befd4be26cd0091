// SPDX-License-Identifier: Apache-2.0
// Fencing by a claimant. The order of the steps ensures that a takeover and an extension of the
// owner's authority cannot both succeed; see valveshelf/authority.h.
#include "valveshelf/fence.h"

#include "valveshelf/membership.h"

#include <boost/asio.hpp>

namespace valveshelf {
namespace {

// A guardian's answer to a claimant, or the result of probing it.
struct GuardianAnswer {
  bool Gone = false;     ///< The incarnation that promised is proven gone.
  bool Answered = false; ///< The incarnation that promised has answered.
  bool Refused = false;  ///< The guardian gives no further promises.
  Milliseconds Wait{0};
  std::vector<wire::JournalEntry> Held;
};

Awaitable<Result<Done>> checkLeaseLapsed(const StoreOps &Store, std::string LogId) {
  Result<StoreItems> Members = co_await Store.List("cell/member/");
  if (!ok(Members))
    co_return error(Members);
  for (const StoreItem &Item : value(Members).Items) {
    const Result<MemberInfo> Member = decodeMember(Item.Value);
    if (ok(Member) && value(Member).Log == LogId)
      co_return Error{ErrorKind::Conflict, LogId + " still has its lease"};
  }
  co_return Done{};
}

Awaitable<GuardianAnswer> requestRefusal(const FenceTools &Tools, std::string LogId,
                                         wire::Guardian Guardian) {
  GuardianAnswer Answer;
  const Result<Endpoint> Address = parseEndpoint(Guardian.address());
  if (!ok(Address))
    co_return Answer;
  wire::RefuseRequest Request;
  Request.set_log(LogId);
  Request.set_guardian(Guardian.incarnation());
  Request.set_claimant(Tools.Claimant);
  Result<wire::RefuseReply> Reply = Error{};
  if (value(Address) == Tools.Address)
    Reply = Tools.RefuseLocally(Request);
  else
    Reply = co_await Tools.Peers.Refuse(value(Address), Request);
  if (ok(Reply)) {
    Answer.Refused = value(Reply).refused();
    Answer.Gone = value(Reply).gone();
    Answer.Answered = !Answer.Gone;
    Answer.Wait = Milliseconds(value(Reply).wait_ms());
    Answer.Held.assign(value(Reply).unstored().begin(), value(Reply).unstored().end());
    co_return Answer;
  }
  const PeerOps::ProbeResult Probed = co_await Tools.Peers.Probe(value(Address));
  Answer.Gone = Probed == PeerOps::ProbeResult::Refused;
  Answer.Refused = Answer.Gone;
  Answer.Wait = Tools.Promise;
  co_return Answer;
}

// Gets one guardian to refuse, and waits until its last promise has expired.
Awaitable<Result<Done>> waitForRefusal(const FenceTools &Tools, std::string LogId,
                                       const std::vector<wire::Guardian> &Guardians) {
  for (const wire::Guardian &Guardian : Guardians) {
    GuardianAnswer Answer = co_await requestRefusal(Tools, LogId, Guardian);
    if (!Answer.Refused)
      continue;
    co_await sleepFor(Answer.Wait + Tools.Margin);
    co_return Done{};
  }
  co_return Error{ErrorKind::Conflict, "no guardian refused further promises to " + LogId};
}

// Collects the entries that the owner could not store, once it can add no more. Every guardian
// holds all of them, so one answer is enough. Fails if no guardian answers and one may be alive.
Awaitable<Result<std::vector<wire::JournalEntry>>>
collectWitnessed(const FenceTools &Tools, std::string LogId,
                 const std::vector<wire::Guardian> &Guardians) {
  bool AllGone = true;
  for (const wire::Guardian &Guardian : Guardians) {
    GuardianAnswer Answer = co_await requestRefusal(Tools, LogId, Guardian);
    if (Answer.Answered)
      co_return std::move(Answer.Held);
    AllGone = AllGone && Answer.Gone;
  }
  if (!AllGone)
    co_return Error{ErrorKind::Conflict,
                    "no guardian of " + LogId + " answered, and not all are proven gone"};
  co_return std::vector<wire::JournalEntry>{};
}

} // namespace

Awaitable<Result<Done>> fenceJournal(FenceTools Tools, std::string LogId) {
  Result<JournalView> View = co_await readJournal(Tools.Store, LogId, Tools.RingSlots);
  if (!ok(View))
    co_return error(View);
  if (value(View).Sealed)
    co_return Done{};
  // A process that is gone cannot act, even if its lease and promises have not expired.
  const bool Gone = Tools.ProvenGone(LogId);
  if (!Gone) {
    Result<Done> Lapsed = co_await checkLeaseLapsed(Tools.Store, LogId);
    if (!ok(Lapsed))
      co_return Lapsed;
  }
  // Without guardians, the owner's authority came from its lease alone.
  std::vector<wire::JournalEntry> Held;
  const std::vector<wire::Guardian> Guardians = value(View).Guardians;
  if (!Guardians.empty()) {
    Result<Done> Refused = Done{};
    if (!Gone)
      Refused = co_await waitForRefusal(Tools, LogId, Guardians);
    if (!ok(Refused))
      co_return Refused;
    Result<std::vector<wire::JournalEntry>> Gathered =
        co_await collectWitnessed(Tools, LogId, Guardians);
    if (!ok(Gathered))
      co_return error(Gathered);
    Held = std::move(value(Gathered));
  }
  co_return co_await sealJournal(Tools.Store, LogId, Tools.Claimant, std::move(value(View)),
                                 std::move(Held), Tools.RingSlots);
}

} // namespace valveshelf
