// SPDX-License-Identifier: Apache-2.0
// Claiming, renewing and handing over leadership.
#include "cell/leadership.h"

#include "valveshelf/events.h"
#include "valveshelf/steady_timer.h"

#include <boost/asio.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>

#include <algorithm>
#include <sstream>
#include <utility>

namespace valveshelf {
using namespace sched;

namespace {
// Interval at which a process checks whether it should claim leadership; a claim takes a few calls
// to the store.
constexpr Milliseconds ClaimPollInterval{40};
// After a failed claim.
constexpr Milliseconds RetryDelay{150};
// Renewals in the lifetime of a lease; two may be lost.
constexpr int RenewalsPerLease = 4;
// Peers are asked to confirm the term if it was last confirmed longer ago than this; two renewals
// may be late.
constexpr Milliseconds MaxConfirmationAge{750};
// Interval at which that is checked.
constexpr Milliseconds ConfirmInterval{250};
// Time limit for saving pending state before leadership is given up.
constexpr Milliseconds FlushTimeout{600};
// Added to the claim delay of a process that reaches the store only through peers.
constexpr Milliseconds IndirectClaimDelay{500};
// Maximum number of members that are notified or asked; some may have failed too.
constexpr size_t MaxCandidatesContacted = 4;
// Leadership is handed over to a member with this many times the power, or to an equal one if the
// store has not served this process directly for IndirectHandOverDelay. A change interrupts
// scheduling for about half a second, so it must be rare.
constexpr double HandOverPowerRatio = 1.5;
constexpr Milliseconds IndirectHandOverDelay{1000};
constexpr Milliseconds MinTermDuration{2000};
constexpr Milliseconds MinHandOverInterval{10000};

// The value of the term key: the newest term and, if its claim has overwritten the key of a
// scheduler whose lease had not ended, that lease. Whoever claims next ends it too, in case nobody
// has yet.
struct StoredTerm {
  uint64_t Term = 0;
  uint64_t OverwrittenLease = 0; ///< 0: none.
  /// The scheduler of this term has found that those before it can start nothing any more.
  bool IsSettled = false;
  /// This scheduler and those before it, as far as their leases have not ended, have shortened
  /// leases by the drift since they read the worker's clock. Earlier versions don't.
  bool AreLeasesBounded = false;
};
// Earlier versions read the first mark only.
constexpr std::string_view SettledMark = "settled";
constexpr std::string_view BoundedMark = "bounded";

std::string encodeTerm(const StoredTerm &Value) {
  std::string Text = std::to_string(Value.Term);
  if (Value.IsSettled || Value.AreLeasesBounded || Value.OverwrittenLease != 0)
    Text += " " + std::to_string(Value.IsSettled ? 0 : Value.OverwrittenLease);
  if (Value.IsSettled)
    Text += " " + std::string(SettledMark);
  if (Value.AreLeasesBounded)
    Text += " " + std::string(BoundedMark);
  return Text;
}

StoredTerm decodeTerm(const std::string &Text) {
  StoredTerm Value;
  std::istringstream From(Text);
  From >> Value.Term >> Value.OverwrittenLease;
  for (std::string Mark; From >> Mark;) {
    Value.IsSettled = Value.IsSettled || Mark == SettledMark;
    Value.AreLeasesBounded = Value.AreLeasesBounded || Mark == BoundedMark;
  }
  return Value;
}
} // namespace

Leadership::Leadership(const SchedulerDependencies &Tools, CellView &View,
                       LeadershipCallbacks Callbacks)
    : Tools(Tools), View(View), Callbacks(std::move(Callbacks)) {}

void Leadership::start() { spawnLater(Tools.Where, loop()); }

std::shared_ptr<SchedulerRunner> Leadership::scheduler() const {
  return Runner && Runner->loaded() ? Runner : nullptr;
}

std::set<std::string> Leadership::memberNames() const {
  std::set<std::string> Names{Tools.Settings.Member};
  for (const auto &[Name, Info] : View.snapshot().Members)
    Names.insert(Name);
  return Names;
}

void Leadership::viewChanged() {
  if (View.snapshot().Leader)
    noteTerm(Terms, View.snapshot().Leader->Term, Tools.Time.Now());
  // The known scheduler is probed as soon as this process has started. Otherwise, after a power
  // loss of all boxes, a claim would wait for its box to return or its lease to expire.
  if (!ProbedAtStart && View.snapshot().Leader) {
    ProbedAtStart = true;
    spawnLater(Tools.Where, probeLeader());
  }
  if (Runner)
    Runner->setMembers(memberNames());
}

void Leadership::configurationChanged(ConfigurationPtr Now) {
  Config = std::move(Now);
  if (Runner)
    Runner->setConfiguration(*Config);
}

void Leadership::zonesChanged(EvacuatedZones Now) {
  Evacuated = std::move(Now);
  if (Runner)
    Runner->setEvacuatedZones(Evacuated);
}

bool Leadership::mayClaim() const {
  const CellSnapshot &Now = View.snapshot();
  const bool IsSelf = Now.Leader && Now.Leader->Name == Tools.Settings.Member;
  const bool HasFailed = Now.Leader && Now.Leader->Term == FailedTerm;
  return Now.IsLoaded && (Now.LeaderRevision == 0 || IsSelf || HasFailed);
}

Awaitable<void> Leadership::probeLeader() {
  const std::optional<Leader> Suspect = View.snapshot().Leader;
  if (Probing || Stopped || !Suspect || Suspect->Name == Tools.Settings.Member)
    co_return;
  Probing = true;
  const Milliseconds Time =
      probeTimeout(Terms, Tools.Settings.Timing.LeaderLease, Tools.Time.Now());
  const ProbeResult Found = co_await Callbacks.Probe(Suspect->Peers, Time);
  Probing = false;
  if (Found == ProbeResult::Listening)
    co_return;
  logEvent(events::SchedulerGone, {{"scheduler", Suspect->Name},
                                   {"term", std::to_string(Suspect->Term)},
                                   {"refused", Found == ProbeResult::Refused ? "yes" : "no"},
                                   {"probe_ms", std::to_string(Time.count())}});
  FailedTerm = Suspect->Term;
  notifyStrongerMembers(*Suspect);
  // Nothing listens at its address, while a box that is cut off does not answer. A second refusal
  // excludes a connection that was reset by chance.
  if (Found == ProbeResult::Refused &&
      co_await Callbacks.Probe(Suspect->Peers, Time) == ProbeResult::Refused) {
    EndedTerm = Suspect->Term;
    EndedTermAt = Tools.Time.Now();
  }
}

// The other members by descending power.
std::vector<Member> Leadership::membersByPower() const {
  std::vector<Member> Others;
  for (const auto &[Name, Info] : View.snapshot().Members)
    if (Name != Tools.Settings.Member)
      Others.push_back(Info);
  std::stable_sort(Others.begin(), Others.end(),
                   [](const Member &A, const Member &B) { return A.Power > B.Power; });
  return Others;
}

// Tells stronger members that the leader seems to be gone, so that they probe it themselves and can
// claim first. Their answers are not needed.
void Leadership::notifyStrongerMembers(const Leader &Failed) {
  size_t Notified = 0;
  for (const Member &Other : membersByPower()) {
    if (Other.Power <= Tools.Settings.Power || Notified == MaxCandidatesContacted)
      break;
    if (Other.Name == Failed.Name)
      continue;
    ++Notified;
    spawnLater(Tools.Where,
               [](LeadershipCallbacks Callbacks, Endpoint To, uint64_t Term) -> Awaitable<void> {
                 co_await Callbacks.CanSchedule(To, Term);
               }(Callbacks, Other.Peers, Failed.Term));
  }
}

bool Leadership::canSchedule(uint64_t ReportedTerm) {
  const std::optional<Leader> &Known = View.snapshot().Leader;
  if (ReportedTerm != 0 && Known && Known->Term == ReportedTerm && FailedTerm != ReportedTerm)
    spawnLater(Tools.Where, probeLeader());
  return !Stopped && View.snapshot().IsLoaded && Callbacks.IsStoreDirectlyReachable();
}

TermAnswer Leadership::answerTerm(uint64_t Term, bool IsClaimed) {
  const std::optional<Leader> &Known = View.snapshot().Leader;
  if (IsClaimed) {
    NewestClaim = std::max(NewestClaim, Term);
    if (Runner && CurrentTerm < Term)
      Runner->replaced();
  }
  // A process that has restarted knows the newest term once it has read it.
  const bool IsNewest =
      !IsClaimed && !Stopped && !Runner && Known && Known->Term == Term && NewestClaim <= Term;
  if (IsNewest)
    LastConfirmedAt = Tools.Time.Now();
  return {Tools.Settings.Member, IsNewest};
}

// Asks the members at the same time, until \p Enough have answered or each has or has not. Answers
// of others at their addresses are left out.
Awaitable<std::vector<TermAnswer>> Leadership::askMembers(std::map<std::string, Member> Members,
                                                          uint64_t Term, bool IsClaimed,
                                                          size_t Enough) {
  struct Round {
    size_t Outstanding = 0;
    std::vector<TermAnswer> Answers;
    SteadyTimer Done;
  };
  const auto State = std::make_shared<Round>(
      Round{Members.size(), {}, SteadyTimer(Tools.Where, TimePoint::max())});
  for (const auto &[Name, One] : Members)
    spawnLater(Tools.Where,
               [](std::shared_ptr<Round> State, LeadershipCallbacks Callbacks, Member To,
                  uint64_t Term, bool IsClaimed, size_t Enough) -> Awaitable<void> {
                 std::optional<TermAnswer> Answer =
                     co_await Callbacks.AskTerm(To.Peers, Term, IsClaimed);
                 if (Answer && Answer->Member == To.Name)
                   State->Answers.push_back(std::move(*Answer));
                 if (--State->Outstanding == 0 || State->Answers.size() == Enough)
                   State->Done.cancel();
               }(State, Callbacks, One, Term, IsClaimed, Enough));
  if (State->Outstanding > 0)
    co_await State->Done.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
  co_return State->Answers;
}

// While renewals get no answer, asks all other members of the roster whether one has taken over.
Awaitable<void> Leadership::confirmLoop(std::shared_ptr<SchedulerRunner> Current,
                                        std::shared_ptr<MemberList> List, Claim Own) {
  while (Runner == Current) {
    co_await sleepFor(ConfirmInterval);
    const TimePoint AskedAt = Tools.Time.Now();
    // The roster is known once the own claim, which is newer, has been read.
    const bool KnowsRoster = View.snapshot().LeaderRevision == Own.LeaderRevision;
    if (Runner != Current || !KnowsRoster ||
        AskedAt - Current->leadershipConfirmedAt() <= MaxConfirmationAge)
      continue;
    const auto Asked =
        membersToAsk(View.snapshot().Roster, List->possiblyWritten(), Tools.Settings.Member);
    const std::vector<TermAnswer> Answers =
        co_await askMembers(Asked, Own.Term, false, Asked.size());
    const bool AllConfirm = !Asked.empty() && Answers.size() == Asked.size() &&
                            std::all_of(Answers.begin(), Answers.end(),
                                        [](const TermAnswer &Answer) { return Answer.IsNewest; });
    if (AllConfirm && Runner == Current)
      Current->leadershipConfirmedByPeers(AskedAt);
  }
}

// True if no claim has to be announced: this process is a member of the stored roster, or there is
// none, without which no peer confirms a term.
Awaitable<bool> Leadership::isInStoredRoster() {
  Result<KeyValue> Read = Error{};
  while (!ok(Read) && !Stopped) {
    Read = co_await Tools.Store.Get(std::string(RosterKey));
    if (!ok(Read))
      co_await sleepFor(RetryDelay);
  }
  StoredRoster = {};
  if (!ok(Read) || value(Read).Value.empty())
    co_return true;
  if (const Result<Roster> Stored = decodeRoster(value(Read).Value); ok(Stored))
    StoredRoster = value(Stored);
  co_return std::any_of(StoredRoster.Members.begin(), StoredRoster.Members.end(),
                        [&](const Member &One) { return One.Name == Tools.Settings.Member; });
}

// Tells members of the stored roster that this process has claimed \p Term: they no longer confirm
// the term before. If none can be told, returns how much longer the scheduler before may go on.
Awaitable<Milliseconds> Leadership::announceClaim(uint64_t Term) {
  std::map<std::string, Member> Others;
  for (const Member &One : StoredRoster.Members)
    Others[One.Name] = One;
  const std::vector<TermAnswer> Answers = co_await askMembers(Others, Term, true, 1);
  if (!Answers.empty())
    co_return Milliseconds(0);
  const Milliseconds Wait = Tools.Settings.Timing.MaxOutage;
  logEvent(events::PredecessorUnknown, {{"term", std::to_string(Term)},
                                        {"asked", std::to_string(Others.size())},
                                        {"wait_ms", std::to_string(Wait.count())}});
  co_return Wait;
}

// Ends the lease of a scheduler whose key this process has overwritten, so that none of its
// renewals is answered from now on. \p Lease 0: there is none.
Awaitable<void> Leadership::endLease(uint64_t Lease) {
  while (Lease != 0 && !Stopped) {
    Result<Done> Ended = co_await Tools.Store.RevokeLease(Lease);
    if (ok(Ended) || error(Ended).Kind == ErrorKind::NotFound)
      co_return;
    co_await sleepFor(RetryDelay);
  }
}

// True if another member should take over and can.
Awaitable<bool> Leadership::hasBetterCandidate(TimePoint TermStart) {
  const TimePoint Now = Tools.Time.Now();
  if (Callbacks.IsStoreDirectlyReachable())
    LastDirectlyReachable = Now;
  const bool TooEarly =
      Now - TermStart < MinTermDuration ||
      (LastHandOverAt != TimePoint{} && Now - LastHandOverAt < MinHandOverInterval);
  const bool UsesPeers = Now - std::max(LastDirectlyReachable, TermStart) > IndirectHandOverDelay;
  const double MinPower = Tools.Settings.Power * (UsesPeers ? 1 : HandOverPowerRatio);
  if (TooEarly)
    co_return false;
  size_t Asked = 0;
  for (const Member &Other : membersByPower()) {
    if (Other.Power < MinPower || Asked++ == MaxCandidatesContacted)
      break;
    if (co_await Callbacks.CanSchedule(Other.Peers, 0))
      co_return true;
  }
  co_return false;
}

// Saves pending state and ends the lease, so that another process can claim at once. What is known
// of workers that can't be reached is passed on, so that the next scheduler waits for them only for
// the rest of the time.
Awaitable<void> Leadership::handOver(std::shared_ptr<SchedulerRunner> Current) {
  co_await Current->flush(FlushTimeout);
  // A successor takes a key that is gone for one of a scheduler whose predecessors have ended.
  const bool MayEndLease = !Current->mayPredecessorStart();
  Current->stop();
  if (std::optional<Transaction> Note = Current->leaseEndsNote()) {
    const Result<TransactionResult> Written = co_await Tools.Store.Commit(std::move(*Note));
    logEvent(
        events::LeaseEndsNoted,
        {{"term", std::to_string(CurrentTerm)},
         {"written", !ok(Written)             ? "\"" + error(Written).Detail + "\""
                     : value(Written).Applied ? "yes"
                                              : "\"another process has claimed leadership\""}});
  }
  if (MayEndLease)
    co_await Tools.Store.RevokeLease(CurrentLease);
}

Milliseconds Leadership::ownClaimDelay() const {
  const Member Self{Tools.Settings.Member, Tools.Settings.Peers, Tools.Settings.Zone,
                    Tools.Settings.Power};
  return claimDelay(View.snapshot().Members, Self) +
         (Callbacks.IsStoreDirectlyReachable() ? Milliseconds(0) : IndirectClaimDelay);
}

// Since when the process of the scheduler \p Before has certainly ended; empty: it may go on.
std::optional<TimePoint> Leadership::endOf(const std::optional<Leader> &Before,
                                           TimePoint DecidedAt) const {
  if (!Before)
    return std::nullopt;
  // It ran in this process, or in an earlier one at this address.
  if (Before->Name == Tools.Settings.Member && Before->Peers == Tools.Settings.Peers)
    return DecidedAt;
  if (Before->Term == EndedTerm)
    return EndedTermAt;
  return std::nullopt;
}

// Notes in the term key that no scheduler before this one can start anything, and that none of
// their leases lasts longer than those of this one. A successor then has to allow only for this
// one.
Awaitable<void> Leadership::storeSettled(Claim Own) {
  Transaction Put;
  Put.Conditions.push_back({std::string(LeaderKey), Own.LeaderRevision});
  Put.Conditions.push_back({std::string(TermKey), Own.LeaderRevision});
  Put.Puts.push_back({std::string(TermKey), encodeTerm({Own.Term, 0, true, true}), 0, 0});
  const Result<TransactionResult> Written = co_await Tools.Store.Commit(std::move(Put));
  if (!ok(Written))
    logEvent(
        events::ClaimFailed,
        {{"why", "\"the term could not be noted as settled: " + error(Written).Detail + "\""}});
}

Awaitable<void> Leadership::loop() {
  while (!Stopped) {
    if (!mayClaim()) {
      co_await sleepFor(ClaimPollInterval);
      continue;
    }
    co_await sleepFor(ownClaimDelay());
    if (!mayClaim() || Stopped)
      continue;
    const uint64_t LeaseBefore = View.snapshot().LeaderLease;
    const uint64_t RevisionBefore = View.snapshot().LeaderRevision;
    const std::optional<Leader> Before = View.snapshot().Leader;
    const TimePoint DecidedAt = Tools.Time.Now();
    Result<Claim> Own = co_await claim(RevisionBefore, LeaseBefore);
    if (ok(Own) && !Stopped) {
      bool HadLease = false;
      for (const uint64_t Lease : value(Own).LeasesBefore) {
        HadLease = HadLease || Lease != 0;
        co_await endLease(Lease);
      }
      // A key that was gone has lapsed, or its owner has ended its term.
      if (RevisionBefore == 0 && !HadLease)
        value(Own).PredecessorConfirmedAt = LastConfirmedAt;
      if (value(Own).IsPredecessorSettled)
        value(Own).PredecessorEndedAt = endOf(Before, DecidedAt);
      co_await runTerm(value(Own));
      continue;
    }
    if (!ok(Own))
      logEvent(events::ClaimFailed, {{"why", "\"" + error(Own).Detail + "\""}});
    co_await sleepFor(RetryDelay);
  }
}

// \p ExpectedRevision is the revision of the leader key when the claim was decided on, \p
// LeaseBefore the lease that it is bound to. The claim fails if another process has written the key
// since.
Awaitable<Result<Claim>> Leadership::claim(uint64_t ExpectedRevision, uint64_t LeaseBefore) {
  using namespace boost::asio::experimental::awaitable_operators;
  const auto [Term, Lease] = co_await (Tools.Store.Get(std::string(TermKey)) &&
                                       Tools.Store.GrantLease(Tools.Settings.Timing.LeaderLease));
  if (!ok(Term))
    co_return error(Term);
  if (!ok(Lease))
    co_return error(Lease);
  const StoredTerm Last = decodeTerm(value(Term).Value);
  Claim Own;
  Own.Lease = value(Lease);
  Own.Term = Last.Term + 1;
  Own.LeasesBefore = {LeaseBefore, Last.OverwrittenLease};
  Own.IsPredecessorSettled = Last.IsSettled;
  Own.AreEarlierLeasesBounded = Last.Term == 0 || Last.AreLeasesBounded;
  const Leader Self{Tools.Settings.Member, Tools.Settings.Peers, Own.Term};
  Transaction Put;
  Put.Conditions.push_back({std::string(LeaderKey), ExpectedRevision});
  Put.Conditions.push_back({std::string(TermKey), value(Term).Revision});
  Put.Puts.push_back({std::string(LeaderKey), encodeLeader(Self), 0, Own.Lease});
  Put.Puts.push_back({std::string(TermKey),
                      encodeTerm({Own.Term, LeaseBefore, false, Own.AreEarlierLeasesBounded}), 0,
                      0});
  Own.SentAt = Tools.Time.Now();
  Result<TransactionResult> Written = co_await Tools.Store.Commit(std::move(Put));
  // If the write was applied after all, the lease expires or the key is this process's own.
  if (!ok(Written))
    co_return error(Written);
  if (!value(Written).Applied)
    co_return Error{ErrorKind::Conflict, "another process has claimed leadership first"};
  Own.LeaderRevision = value(Written).Revision;
  logEvent(events::ClaimMade,
           {{"term", std::to_string(Own.Term)}, {"revision", std::to_string(Own.LeaderRevision)}});
  co_return Own;
}

Awaitable<void> Leadership::runTerm(Claim Own) {
  NewestClaim = std::max(NewestClaim, Own.Term);
  if (!co_await isInStoredRoster()) {
    // A member may have confirmed the scheduler before just now.
    Own.PredecessorConfirmedAt.reset();
    Own.PredecessorEndedAt.reset();
    Own.PredecessorOutage = co_await announceClaim(Own.Term);
  }
  // Earlier leases have ended, and no member confirms an earlier term any more.
  Own.NoLeasesSince = Tools.Time.Now();
  bool RunnerEnded = false;
  Runner = std::make_shared<SchedulerRunner>(Tools, Own, [&RunnerEnded] { RunnerEnded = true; });
  CurrentLease = Own.Lease;
  CurrentTerm = Own.Term;
  Runner->setMembers(memberNames());
  if (Config)
    Runner->setConfiguration(*Config);
  Runner->setEvacuatedZones(Evacuated);
  Runner->start();
  MemberList::Callbacks ListCallbacks;
  ListCallbacks.Changed = [this] {
    if (AllMembers)
      View.setAllMembers(AllMembers->members());
  };
  ListCallbacks.CurrentRoster = [this]() -> const Roster & { return View.snapshot().Roster; };
  AllMembers =
      std::make_shared<MemberList>(Tools.Where, Tools.Store, Tools.Settings, Own.LeaderRevision,
                                   Own.PredecessorOutage, std::move(ListCallbacks));
  AllMembers->start();
  const auto Current = Runner;
  spawnLater(Tools.Where, confirmLoop(Current, AllMembers, Own));
  const TimePoint TermStart = Tools.Time.Now();
  const char *Reason = "claim-lapsed";
  bool IsSettled = false;
  while (!RunnerEnded && !Stopped) {
    co_await sleepFor(Tools.Settings.Timing.LeaderLease / RenewalsPerLease);
    const auto &Seen = View.snapshot().Leader;
    if (Seen && Seen->Term > Own.Term)
      break;
    const TimePoint SentAt = Tools.Time.Now();
    Result<Done> Kept = co_await Tools.Store.RenewLease(Own.Lease);
    if (ok(Kept))
      Current->leadershipRenewed(SentAt);
    const bool AreLeasesBounded =
        Own.AreEarlierLeasesBounded ||
        Tools.Time.Now() - TermStart >=
            driftDuring(MaxClockReadingAge, Tools.Settings.Scheduler.ClockDrift);
    if (ok(Kept) && Current->loaded() && !Current->mayPredecessorStart() && AreLeasesBounded &&
        !std::exchange(IsSettled, true))
      spawnLater(Tools.Where, storeSettled(Own));
    if (!ok(Kept) && error(Kept).Kind == ErrorKind::NotFound)
      break;
    // After repeated direct failures, calls go through peers. If the renewal fails there too, the
    // store is taken to be down for every process, and that time does not count towards
    // IndirectHandOverDelay.
    if (!ok(Kept))
      LastDirectlyReachable = Tools.Time.Now();
    // A successor can claim while the store answers, and once the lease of this term has ended.
    const bool MayHandOver = ok(Kept) && Current->loaded() && !Current->mayPredecessorStart();
    if (MayHandOver && !RunnerEnded && co_await hasBetterCandidate(TermStart)) {
      Reason = "handed-over";
      LastHandOverAt = Tools.Time.Now();
      co_await handOver(Current);
      break;
    }
  }
  Current->stop();
  if (Runner == Current)
    Runner.reset();
  std::exchange(AllMembers, nullptr)->stop();
  View.setAllMembers({});
  if (!RunnerEnded)
    logEvent(events::TermEnded,
             {{"term", std::to_string(Own.Term)}, {"why", Stopped ? "planned-stop" : Reason}});
}

Awaitable<void> Leadership::leave() {
  Stopped = true;
  if (const auto Current = Runner)
    co_await handOver(Current);
}

} // namespace valveshelf
