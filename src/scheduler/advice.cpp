// SPDX-License-Identifier: Apache-2.0
// Advice: which workers to ask about, when, and what the answers mean.
#include "scheduler/pass.h"

#include <algorithm>

namespace valveshelf::sched {
namespace {
// Most workers named in one question for advice. (The platform's limit.)
constexpr size_t MaxNamed = 100;
// Workers named for a step of single tasks. Seven of ten are good for quick checks, and not all of
// those that had room have it still when the answer comes.
constexpr size_t NamedAtLeast = 8;
constexpr size_t NamedPerTask = 6;
// Tickets of waiting steps are renewed where asking takes longer than this; a shorter wait for them
// costs less than the question.
constexpr Milliseconds LeastRenewal{100};
// They are asked for so long before they are needed, beyond the time of the question.
constexpr Milliseconds RenewalSlack{200};
// Part of the lanes that renewals may take: a third, so that first questions find one free.
constexpr uint32_t RenewalLanesOf = 3;
// A question that got no answer is asked again after this time.
constexpr Milliseconds AskAgain{50};

// How many workers a question names: a gang needs many at a time; for others a few for each task
// are enough, and a short question is answered sooner.
size_t namedFor(const StepState &Step) {
  if (Step.Spec->Gang)
    return MaxNamed;
  return std::min<size_t>(MaxNamed, NamedAtLeast + NamedPerTask * Step.Spec->Count);
}

// Wishes for more workers, if one of those that are not ready yet could take the step.
void noteStarved(Pass &In, const Job &Of, const StepState &Step) {
  if (In.Cell.Starved)
    return;
  const Resources Need = needOf(Step);
  In.Cell.Starved =
      std::any_of(In.Cell.Workers.begin(), In.Cell.Workers.end(), [&](const auto &Entry) {
        const Worker &On = Entry.second;
        return !On.Wanted && On.Listed && !On.Info.Draining &&
               On.Info.Service == Of.Spec->Service && fits(Need, On.Info.Capacity) &&
               hasLabel(On.Info, Step.Spec->RequiredLabel);
      });
}

bool isBefore(const AdviceState::Permit &Known, uint32_t Slot) { return Known.Slot < Slot; }

// Keeps the newest permit of each worker.
void permit(AdviceState &Known, AdviceState::Permit New) {
  const auto At = std::lower_bound(Known.Good.begin(), Known.Good.end(), New.Slot, isBefore);
  if (At != Known.Good.end() && At->Slot == New.Slot)
    *At = std::move(New);
  else
    Known.Good.insert(At, std::move(New));
}
} // namespace

bool hasTicket(const Pass &In, const Job &Of, const StepState &Step, const Worker &On) {
  if (!Of.Spec->Advice)
    return true;
  const AdviceState::Permit *Known = permitOn(Step, On);
  return Known && Known->ValidUntil > In.Now;
}

void askAdvice(Pass &In, const Job &Of, StepState &Step, std::vector<std::string> Workers) {
  if (Step.Advice.Asking || Workers.empty() || Step.Advice.NotBefore > In.Now)
    return;
  if (Workers.size() > MaxNamed)
    Workers.resize(MaxNamed);
  Step.Advice.Asking = true;
  const auto Time = Of.Spec->Advice->Decide + Of.Spec->Advice->EachWorker * Workers.size();
  In.Out.Asks.push_back({Step.Key, Of.Spec->Priority, std::move(Workers),
                         std::chrono::duration_cast<Milliseconds>(Time)});
}

// Asks about workers of which nothing is known yet, those with the most room first.
void askUnknown(Pass &In, const Job &Of, StepState &Step) {
  if (!Of.Spec->Advice || Step.Advice.Asking || Step.Advice.NotBefore > In.Now)
    return;
  std::vector<std::pair<int64_t, const Worker *>> Unknown;
  for (const Worker *On : In.Cell.Slots)
    if (On && !isAnswered(Step, *On) && isUsable(In, *On, Of, Step) &&
        fits(needOf(Step), On->Info.Capacity))
      Unknown.emplace_back(-roomFor(In, *On, Of, Step).MilliCores, On);
  if (Unknown.empty())
    noteStarved(In, Of, Step);
  const size_t Count = std::min(Unknown.size(), namedFor(Step));
  const auto BySlot = [](const auto &A, const auto &B) {
    return std::pair(A.first, A.second->Slot) < std::pair(B.first, B.second->Slot);
  };
  std::partial_sort(Unknown.begin(), Unknown.begin() + static_cast<ptrdiff_t>(Count), Unknown.end(),
                    BySlot);
  std::vector<std::string> Names;
  Names.reserve(Count);
  for (size_t I = 0; I < Count; ++I)
    Names.push_back(Unknown[I].second->Info.Id);
  askAdvice(In, Of, Step, std::move(Names));
}

// Keeps tickets valid for a step that waits for room. Otherwise the room that it gets stands empty
// until they have been asked for again: 0.5 s before each run of 3.6 s on accelerators.
void renewTickets(Pass &In, const Job &Of, StepState &Step) {
  if (!Of.Spec->Advice || Step.Advice.Asking || Step.Queued->Late ||
      In.Cell.Renewing.size() >= In.Cell.AdviceLanes / RenewalLanesOf)
    return;
  std::vector<std::pair<int64_t, const AdviceState::Permit *>> Usable;
  for (const AdviceState::Permit &Known : Step.Advice.Good)
    if (const Worker *On = In.Cell.Slots[Known.Slot]; On && isUsable(In, *On, Of, Step))
      Usable.emplace_back(-roomFor(In, *On, Of, Step).MilliCores, &Known);
  std::sort(Usable.begin(), Usable.end());
  Usable.resize(std::min(Usable.size(), namedFor(Step)));
  const std::chrono::duration<double, std::milli> Time =
      Of.Spec->Advice->Decide + Of.Spec->Advice->EachWorker * Usable.size();
  const auto Needed = std::chrono::duration_cast<Milliseconds>(Time) + RenewalSlack;
  const bool Expires = std::any_of(Usable.begin(), Usable.end(), [&](const auto &Entry) {
    return Entry.second->ValidUntil < In.Now + Needed;
  });
  if (!Expires || Time < LeastRenewal)
    return;
  std::vector<std::string> Names;
  Names.reserve(Usable.size());
  for (const auto &[Room, Known] : Usable)
    Names.push_back(In.Cell.Slots[Known->Slot]->Info.Id);
  askAdvice(In, Of, Step, std::move(Names));
  if (Step.Advice.Asking)
    In.Cell.Renewing.insert(Step.Key);
}

// A step found no place among the workers known to be good for it.
void lookFurther(Pass &In, const Job &Of, StepState &Step) {
  if (Of.Spec->Advice)
    askUnknown(In, Of, Step);
  else
    noteStarved(In, Of, Step);
}

// Just after a takeover most steps turn out to be running. To ask for advice on all of them before
// the workers have answered would hold up those that need it (a gang's question: 1.6 s for 0.6 s).
bool mayAsk(const Pass &In, const Job &Of, const StepState &Step) {
  return In.Asked.count(Of.Spec->Service) == 0 ||
         std::any_of(Step.Tasks.begin(), Step.Tasks.end(),
                     [](const TaskState &Task) { return !Task.At && !Task.MayRunElsewhere; });
}

const AdviceState::Permit *permitOn(const StepState &Step, const Worker &On) {
  const auto &Good = Step.Advice.Good;
  const auto At = std::lower_bound(Good.begin(), Good.end(), On.Slot, isBefore);
  return At != Good.end() && At->Slot == On.Slot ? &*At : nullptr;
}

AdviceState::Permit *permitOn(StepState &Step, const Worker &On) {
  return const_cast<AdviceState::Permit *>(permitOn(std::as_const(Step), On));
}

bool isAnswered(const StepState &Step, const Worker &On) {
  return On.Slot < Step.Advice.Answered.size() && Step.Advice.Answered[On.Slot];
}

void adviceAnswered(CellState &Cell, const StepKey &Key, const std::vector<std::string> &Named,
                    const std::vector<std::pair<std::string, std::string>> &Good,
                    Milliseconds Valid, TimePoint Now) {
  Cell.Renewing.erase(Key);
  StepState *Step = findStep(Cell, Key);
  if (!Step)
    return;
  AdviceState &Known = Step->Advice;
  Known.Asking = false;
  Known.Answered.resize(Cell.Slots.size());
  for (const std::string &Id : Named)
    if (const auto On = Cell.Workers.find(Id); On != Cell.Workers.end())
      Known.Answered[On->second.Slot] = true;
  for (const auto &[Id, Ticket] : Good)
    if (const auto On = Cell.Workers.find(Id); On != Cell.Workers.end())
      permit(Known, {On->second.Slot, Ticket, Now + Valid - Cell.Limits.TicketMargin});
  queueStep(Cell, Cell.Jobs.at(Key.Job), *Step, Now);
}

void adviceFailed(CellState &Cell, const StepKey &Key, TimePoint Now) {
  Cell.Renewing.erase(Key);
  StepState *Step = findStep(Cell, Key);
  if (!Step)
    return;
  Step->Advice.Asking = false;
  Step->Advice.NotBefore = Now + AskAgain;
}

} // namespace valveshelf::sched
