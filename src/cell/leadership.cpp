// SPDX-License-Identifier: Apache-2.0
// The claim on the cell, its renewal and its end.
#include "cell/leadership.h"

#include "valveshelf/events.h"

#include <boost/asio.hpp>

#include <algorithm>

namespace valveshelf {
using namespace sched;

namespace {
// How often a process looks whether it should claim; a claim is worth a few calls to the store.
constexpr Milliseconds LookEvery{40};
// After a claim that failed.
constexpr Milliseconds RetryPause{150};
// Renewals in one life of the claim; two may be lost.
constexpr int RenewalsPerLife = 4;
// A planned stop waits so long for what has to be saved.
constexpr Milliseconds FlushTime{600};
// Added to the turn of a process that reaches the store only through peers.
constexpr Milliseconds DetourTurn{500};
// So many of the strongest processes are told that the scheduler is gone; some may be gone too.
constexpr size_t MostTold = 4;
// A term is given to a process with so many times the processor, or to an equal one if the store
// does not serve this one for some time. A change costs about half a second, so it is rare.
constexpr double MuchStronger = 1.5;
constexpr Milliseconds DetourTime{1000};
constexpr Milliseconds LeastTerm{2000};
constexpr Milliseconds HandOverEvery{10000};
} // namespace

Leadership::Leadership(const SchedulerTools &Tools, CellView &View, LeadershipCallbacks Callbacks)
    : Tools(Tools), View(View), Callbacks(std::move(Callbacks)) {}

void Leadership::start() { spawnLater(Tools.Where, loop()); }

std::shared_ptr<SchedulerRunner> Leadership::scheduler() const {
  return Runner && Runner->loaded() ? Runner : nullptr;
}

std::set<std::string> Leadership::memberNames() const {
  std::set<std::string> Names{Tools.Settings.Member};
  for (const auto &[Name, Info] : View.picture().Members)
    Names.insert(Name);
  return Names;
}

void Leadership::viewChanged() {
  if (View.picture().Leader)
    noteTerm(Terms, View.picture().Leader->Term, Tools.Time.Now());
  // A process that has just started looks at once whether the scheduler that it reads of is there.
  // When all lost power, the claim would wait for that one's box or the end of its lease.
  if (!HasLooked && View.picture().Leader) {
    HasLooked = true;
    spawnLater(Tools.Where, suspect());
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
    Runner->setEvacuated(Evacuated);
}

bool Leadership::mayClaim() const {
  const CellPicture &Now = View.picture();
  const bool Own = Now.Leader && Now.Leader->Name == Tools.Settings.Member;
  const bool Gone = Now.Leader && Now.Leader->Term == GoneTerm;
  return Now.Known && (Now.LeaderRevision == 0 || Own || Gone);
}

Awaitable<void> Leadership::suspect() {
  const std::optional<Leader> Suspect = View.picture().Leader;
  if (Probing || Stopped || !Suspect || Suspect->Name == Tools.Settings.Member)
    co_return;
  Probing = true;
  const Milliseconds Time = probeTime(Terms, Tools.Settings.Timing.LeaderLease, Tools.Time.Now());
  const ProbeResult Found = co_await Callbacks.Probe(Suspect->Peers, Time);
  Probing = false;
  if (Found == ProbeResult::Listening)
    co_return;
  logEvent(events::SchedulerGone, {{"scheduler", Suspect->Name},
                                   {"term", std::to_string(Suspect->Term)},
                                   {"refused", Found == ProbeResult::Refused ? "yes" : "no"},
                                   {"probe_ms", std::to_string(Time.count())}});
  GoneTerm = Suspect->Term;
  tellStronger(*Suspect);
}

// The other members, the strongest first.
std::vector<Member> Leadership::membersByPower() const {
  std::vector<Member> Others;
  for (const auto &[Name, Info] : View.picture().Members)
    if (Name != Tools.Settings.Member)
      Others.push_back(Info);
  std::stable_sort(Others.begin(), Others.end(),
                   [](const Member &A, const Member &B) { return A.Power > B.Power; });
  return Others;
}

void Leadership::tellStronger(const Leader &Gone) {
  size_t Told = 0;
  for (const Member &Other : membersByPower()) {
    if (Other.Power <= Tools.Settings.Power || Told == MostTold)
      break;
    if (Other.Name == Gone.Name)
      continue;
    ++Told;
    spawnLater(Tools.Where,
               [](LeadershipCallbacks Callbacks, Endpoint To, uint64_t Term) -> Awaitable<void> {
                 co_await Callbacks.CouldSchedule(To, Term);
               }(Callbacks, Other.Peers, Gone.Term));
  }
}

bool Leadership::couldSchedule(uint64_t ToldGone) {
  const std::optional<Leader> &Known = View.picture().Leader;
  if (ToldGone != 0 && Known && Known->Term == ToldGone && GoneTerm != ToldGone)
    spawnLater(Tools.Where, suspect());
  return !Stopped && View.picture().Known && Callbacks.StoreIsStraight();
}

// True if another process should schedule from now on, and is ready to.
Awaitable<bool> Leadership::someoneIsBetter(TimePoint Begun) {
  const TimePoint Now = Tools.Time.Now();
  if (Callbacks.StoreIsStraight())
    StraightAt = Now;
  const bool Early = Now - Begun < LeastTerm ||
                     (LastHandOver != TimePoint{} && Now - LastHandOver < HandOverEvery);
  const bool Detours = Now - std::max(StraightAt, Begun) > DetourTime;
  const double Least = Tools.Settings.Power * (Detours ? 1 : MuchStronger);
  if (Early)
    co_return false;
  size_t Asked = 0;
  for (const Member &Other : membersByPower()) {
    if (Other.Power < Least || Asked++ == MostTold)
      break;
    if (co_await Callbacks.CouldSchedule(Other.Peers, 0))
      co_return true;
  }
  co_return false;
}

// Saves what is known and gives the claim up, so that another can claim at once.
Awaitable<void> Leadership::handOver(std::shared_ptr<SchedulerRunner> Current) {
  co_await Current->flush(FlushTime);
  Current->stop();
  co_await Tools.Store.EndLease(CurrentLease);
}

Milliseconds Leadership::turn() const {
  const Member Self{Tools.Settings.Member, Tools.Settings.Peers, Tools.Settings.Zone,
                    Tools.Settings.Power};
  return claimDelay(View.picture().Members, Self) +
         (Callbacks.StoreIsStraight() ? Milliseconds(0) : DetourTurn);
}

Awaitable<void> Leadership::loop() {
  while (!Stopped) {
    if (!mayClaim()) {
      co_await sleepFor(LookEvery);
      continue;
    }
    co_await sleepFor(turn());
    if (!mayClaim() || Stopped)
      continue;
    Result<Claim> Mine = co_await claim(View.picture().LeaderRevision);
    if (ok(Mine) && !Stopped)
      co_await serve(value(Mine));
    else
      co_await sleepFor(RetryPause);
  }
}

// \p Standing is the revision of the leader's key when the claim was decided on; one that another
// process has written since is left alone.
Awaitable<Result<Claim>> Leadership::claim(uint64_t Standing) {
  Result<KeyValue> Term = co_await Tools.Store.Get(std::string(TermKey));
  if (!ok(Term))
    co_return error(Term);
  Result<uint64_t> Lease = co_await Tools.Store.GrantLease(Tools.Settings.Timing.LeaderLease);
  if (!ok(Lease))
    co_return error(Lease);
  const std::string &Last = value(Term).Value;
  Claim Mine;
  Mine.Lease = value(Lease);
  Mine.Term = (Last.empty() ? 0 : std::stoull(Last)) + 1;
  const Leader Self{Tools.Settings.Member, Tools.Settings.Peers, Mine.Term};
  Transaction Put;
  Put.Conditions.push_back({std::string(LeaderKey), Standing});
  Put.Conditions.push_back({std::string(TermKey), value(Term).Revision});
  Put.Puts.push_back({std::string(LeaderKey), encodeLeader(Self), 0, Mine.Lease});
  Put.Puts.push_back({std::string(TermKey), std::to_string(Mine.Term), 0, 0});
  Result<TransactionResult> Written = co_await Tools.Store.Commit(std::move(Put));
  if (!ok(Written))
    co_return error(Written); // if it was done after all, the lease lapses or the key is our own
  if (!value(Written).Applied)
    co_return Error{ErrorKind::Conflict, "another process was faster"};
  Mine.LeaderRevision = value(Written).Revision;
  logEvent(events::ClaimMade, {{"term", std::to_string(Mine.Term)},
                               {"revision", std::to_string(Mine.LeaderRevision)}});
  co_return Mine;
}

Awaitable<void> Leadership::serve(Claim Mine) {
  bool Over = false;
  Runner = std::make_shared<SchedulerRunner>(Tools, Mine, [&Over] { Over = true; });
  CurrentLease = Mine.Lease;
  Runner->setMembers(memberNames());
  if (Config)
    Runner->setConfiguration(*Config);
  Runner->setEvacuated(Evacuated);
  Runner->start();
  MemberList::Callbacks ListCallbacks;
  ListCallbacks.Changed = [this] {
    if (AllMembers)
      View.setAllMembers(AllMembers->members());
  };
  ListCallbacks.CurrentRoster = [this]() -> const Roster & { return View.picture().Roster; };
  AllMembers = std::make_shared<MemberList>(Tools.Where, Tools.Store, Tools.Settings,
                                            Mine.LeaderRevision, std::move(ListCallbacks));
  AllMembers->start();
  const auto Current = Runner;
  const TimePoint Begun = Tools.Time.Now();
  const char *Why = "claim-lapsed";
  while (!Over && !Stopped) {
    co_await sleepFor(Tools.Settings.Timing.LeaderLease / RenewalsPerLife);
    const auto &Seen = View.picture().Leader;
    if (Seen && Seen->Term > Mine.Term)
      break;
    Result<Done> Kept = co_await Tools.Store.KeepLease(Mine.Lease);
    if (!ok(Kept) && error(Kept).Kind == ErrorKind::NotFound)
      break;
    // A store that serves nobody is no reason to hand over just as it comes back.
    if (!ok(Kept))
      StraightAt = Tools.Time.Now();
    if (Current->loaded() && !Over && co_await someoneIsBetter(Begun)) {
      Why = "handed-over";
      LastHandOver = Tools.Time.Now();
      co_await handOver(Current);
      break;
    }
  }
  Current->stop();
  if (Runner == Current)
    Runner.reset();
  std::exchange(AllMembers, nullptr)->stop();
  View.setAllMembers({});
  if (!Over)
    logEvent(events::TermEnded,
             {{"term", std::to_string(Mine.Term)}, {"why", Stopped ? "planned-stop" : Why}});
}

Awaitable<void> Leadership::leave() {
  Stopped = true;
  if (const auto Current = Runner)
    co_await handOver(Current);
}

} // namespace valveshelf
