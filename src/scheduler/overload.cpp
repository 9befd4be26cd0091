// SPDX-License-Identifier: Apache-2.0
// Order of the queue while a service has more work than it can finish on time: the jobs with the
// most work are left out until the others are on time (Moore and Hodgson). In a queue by objective
// each late job would make the next one late.
#include "scheduler/overload.h"

#include "scheduler/job_services.h"
#include "scheduler/pass.h"
#include "scheduler/run_times.h"

#include <algorithm>
#include <numeric>
#include <queue>

namespace valveshelf::sched {
namespace {
constexpr size_t Dimensions = std::tuple_size_v<ResourceAmounts>;
// Left-out entries are taken again, and the overload ends, only if the work fits with this ratio to
// spare. Without it steps at the limit would change their place in each update.
constexpr double ReturnMargin = 1.2;
// An overload is reported as over once it has not been observed for this time, which bounds the
// number of log lines.
constexpr Milliseconds OverloadEndDelay{1000};
// Expected time from when a step can run to the start of its tasks in a full service: advice, then
// capacity. It is shorter for jobs that have begun, which go first. If it did not count, each step
// of a chain would start at the last moment, and the last ones late.
constexpr Milliseconds StartDelay{100};
constexpr Milliseconds BegunStartDelay{50};
// Jobs that have not begun and have to start within this time are ordered by their work, so that
// those that the selection took too many of are the largest. The others follow by latest start.
constexpr Milliseconds StartHorizon{1000};

double seconds(Steady::duration Time) { return std::chrono::duration<double>(Time).count(); }

ResourceAmounts operator+(ResourceAmounts A, const ResourceAmounts &B) {
  for (size_t D = 0; D < Dimensions; ++D)
    A[D] += B[D];
  return A;
}

ResourceAmounts operator*(ResourceAmounts A, double Times) {
  for (double &Amount : A)
    Amount *= Times;
  return A;
}

ResourceAmounts atLeastZero(ResourceAmounts A) {
  for (double &Amount : A)
    Amount = std::max(Amount, 0.0);
  return A;
}

constexpr double MilliCoresPerCore = 1000;
constexpr double MbPerGb = 1024;

ResourceAmounts amountsOf(const Resources &Of) {
  return {static_cast<double>(Of.MilliCores) / MilliCoresPerCore,
          static_cast<double>(Of.Accelerators), static_cast<double>(Of.MemoryMb) / MbPerGb};
}
} // namespace

double workStartedBy(double Total, double Free, double Released, double TaskSeconds,
                     Milliseconds Time) {
  const double T = std::max(0.0, seconds(Time));
  Free = std::min(Free, Total);
  const double AtOnce = Free * TaskSeconds;
  const double InUse = Free + Released * TaskSeconds;
  if (InUse >= Total)
    return AtOnce + Total * T;
  const double Growth = Released > 0 ? std::min(T, (Total - InUse) / Released) : T;
  return AtOnce + InUse * Growth + Released * Growth * Growth / 2 + Total * (T - Growth);
}

namespace {
/// One class of entries, and the work of those before it. On time means by the objective or, for
/// entries that are late or left out, by the end of their use.
class ClassSelection {
public:
  enum class Deadline { Objective, UsefulUntil };

  ClassSelection(std::span<const OverloadEntry> Entries, const std::vector<size_t> &InClass,
                 Deadline By, const OverloadCapacity &Capacity, ResourceAmounts TaskSeconds,
                 ResourceAmounts Ahead, TimePoint Now)
      : Entries(Entries), InClass(InClass), By(By), Capacity(Capacity), TaskSeconds(TaskSeconds),
        Ahead(Ahead), Now(Now) {
    for (const size_t I : InClass)
      addStages(I);
    std::sort(Stages.begin(), Stages.end(), [](const Stage &A, const Stage &B) {
      return std::tuple(A.LatestStart, A.Entry, A.Number) <
             std::tuple(B.LatestStart, B.Entry, B.Number);
    });
  }

  // True if an entry that could be on time by itself is late in this order.
  bool isOverloaded() const {
    const double Margin = Capacity.WasOverloaded ? ReturnMargin : 1;
    ResourceAmounts Sum = Ahead;
    for (const Stage &Each : Stages) {
      Sum = Sum + Each.Work;
      if (Entries[Each.Entry].IsQueued && !cannotBeOnTime(Each.Entry) &&
          exceededDimension(Sum * Margin, Each))
        return true;
    }
    return false;
  }

  // True if an overload that was observed before goes on since an entry waits that is late, or too
  // large to be on time: in the order without overload it would go before others.
  bool lasts() const {
    return Capacity.WasOverloaded && std::any_of(InClass.begin(), InClass.end(), [&](size_t I) {
             return Entries[I].IsQueued && startSlack(I) >= Milliseconds(0) &&
                    (By == Deadline::UsefulUntil || cannotBeOnTime(I));
           });
  }

  // Marks the entries that are left out, and returns the work of the others. Entries that were left
  // out before are taken again only if that serves more jobs with room to spare.
  ResourceAmounts leaveOut(std::vector<bool> &LeftOut) const {
    const bool HadLeftOut = std::any_of(InClass.begin(), InClass.end(),
                                        [&](size_t I) { return Entries[I].WasLeftOut; });
    const bool KeepsOut = By == Deadline::Objective;
    Choice Chosen = choose(KeepsOut, 1);
    if (KeepsOut && HadLeftOut)
      if (Choice Again = choose(false, ReturnMargin); Again.Taken.size() > Chosen.Taken.size())
        Chosen = std::move(Again);
    for (const size_t I : InClass)
      LeftOut[I] = true;
    for (const size_t I : Chosen.Taken)
      LeftOut[I] = false;
    return Chosen.Work;
  }

private:
  /// Work that has to start by a time.
  struct Stage {
    TimePoint LatestStart{};
    size_t Entry = 0;
    size_t Number = 0;
    ResourceAmounts Work{};
  };

  struct Choice {
    std::vector<size_t> Taken;
    ResourceAmounts Work{}; ///< Of the taken entries.
  };

  // Of an entry: those that have not begun are removed first, then the one with the most work.
  using RemovalKey = std::tuple<bool, double, size_t>;

  TimePoint deadline(size_t I) const {
    return By == Deadline::Objective ? Entries[I].Objective : Entries[I].UsefulUntil;
  }

  void addStages(size_t I) {
    ResourceAmounts First = Entries[I].Work;
    for (size_t Later = 0; Later < Entries[I].Later.size(); ++Later) {
      const OverloadStage &Each = Entries[I].Later[Later];
      Stages.push_back({deadline(I) - Each.Chain, I, Later + 1, Each.Work});
      First = First + Each.Work * -1;
    }
    Stages.push_back({deadline(I) - Entries[I].Chain, I, 0, atLeastZero(First)});
  }

  // The largest set of entries that are on time with \p Margin. \p KeepsOut: without those that
  // were left out before.
  Choice choose(bool KeepsOut, double Margin) const {
    std::vector<size_t> Taken;
    std::vector<ResourceAmounts> Counted(Entries.size()); // of the stages so far
    std::vector<bool> IsSeen(Entries.size());
    std::vector<bool> IsRemoved(Entries.size());
    ResourceAmounts Sum = Ahead;
    // By dimension: taken entries, the one to be removed next first. Entries that were removed
    // through another dimension are dropped when they come up.
    std::array<std::priority_queue<RemovalKey>, Dimensions> Removable;
    for (const Stage &Each : Stages) {
      const size_t I = Each.Entry;
      const OverloadEntry &Entry = Entries[I];
      if (!IsSeen[I]) {
        IsSeen[I] = true;
        IsRemoved[I] = cannotBeOnTime(I) || (KeepsOut && Entry.WasLeftOut);
        if (!IsRemoved[I]) {
          Taken.push_back(I);
          for (size_t D = 0; D < Dimensions; ++D)
            Removable[D].emplace(!Entry.HasBegun, Entry.Work[D], I);
        }
      }
      if (IsRemoved[I])
        continue;
      Sum = Sum + Each.Work;
      Counted[I] = Counted[I] + Each.Work;
      while (const std::optional<size_t> D = exceededDimension(Sum * Margin, Each)) {
        auto &Next = Removable[*D];
        while (!Next.empty() && IsRemoved[std::get<size_t>(Next.top())])
          Next.pop();
        if (Next.empty())
          break;
        const size_t Most = std::get<size_t>(Next.top());
        Next.pop();
        IsRemoved[Most] = true;
        Sum = Sum + Counted[Most] * -1;
        if (Most == I)
          break;
      }
    }
    std::erase_if(Taken, [&](size_t I) { return IsRemoved[I]; });
    return {std::move(Taken), Sum + Ahead * -1};
  }

  Milliseconds slackOf(TimePoint LatestStart) const {
    return std::chrono::duration_cast<Milliseconds>(LatestStart - Now);
  }

  Milliseconds startSlack(size_t I) const { return slackOf(deadline(I) - Entries[I].Chain); }

  // True if the entry would be late even if all of the capacity were free for it.
  bool cannotBeOnTime(size_t I) const {
    if (startSlack(I) < Milliseconds(0))
      return true;
    const double Seconds =
        seconds(startSlack(I)) + (Entries[I].Later.empty() ? 0 : seconds(Entries[I].Chain));
    for (size_t D = 0; D < Dimensions; ++D)
      if (Entries[I].Work[D] > Capacity.Total[D] * (TaskSeconds[D] + Seconds))
        return true;
    return false;
  }

  // A kind of resource, of those that the stage uses, for which \p Sum does not start in time.
  std::optional<size_t> exceededDimension(const ResourceAmounts &Sum, const Stage &Of) const {
    for (size_t D = 0; D < Dimensions; ++D)
      if (Of.Work[D] > 0 &&
          Sum[D] > workStartedBy(Capacity.Total[D], Capacity.Free[D], Capacity.Released[D],
                                 TaskSeconds[D], slackOf(Of.LatestStart)))
        return D;
    return std::nullopt;
  }

  std::span<const OverloadEntry> Entries;
  const std::vector<size_t> &InClass;
  const Deadline By;
  const OverloadCapacity &Capacity;
  ResourceAmounts TaskSeconds; ///< Mean run time of the tasks of this class and those before it.
  ResourceAmounts Ahead;
  TimePoint Now;
  std::vector<Stage> Stages; ///< By latest start.
};

// Visits the classes in queue order, each with the capacity that is left to it: on each side of the
// share the entries that can be on time, then those that can't or are left out.
class ServiceSelection {
public:
  using Deadline = ClassSelection::Deadline;

  ServiceSelection(std::span<const OverloadEntry> Entries, const OverloadCapacity &Capacity,
                   TimePoint Now)
      : Entries(Entries), Capacity(Capacity), Now(Now) {
    for (size_t I = 0; I < Entries.size(); ++I)
      Sides[Entries[I].IsOverShare ? 1 : 0][Entries[I].Priority].push_back(I);
  }

  OverloadSelection select() {
    const std::vector<bool> None(Entries.size());
    OverloadSelection Result{false, None, None};
    visit(None, [&](const ClassSelection &Class, Deadline, const ResourceAmounts &Work) {
      Result.IsOverloaded = Result.IsOverloaded || Class.lasts() || Class.isOverloaded();
      return Work;
    });
    if (!Result.IsOverloaded)
      return Result;
    visit(Result.LeftOut, [&](const ClassSelection &Class, Deadline By, const ResourceAmounts &) {
      return Class.leaveOut(By == Deadline::Objective ? Result.LeftOut : Result.LateLeftOut);
    });
    return Result;
  }

private:
  using Classes = std::map<int, std::vector<size_t>>; ///< By priority.

  /// The work of the classes visited so far.
  struct Visited {
    ResourceAmounts Ahead{}, Need{}, ReadyWork{}, LongRunning{};
  };

  // \p Each gets the work of all entries of a class, and returns that of those that go before the
  // next class. \p LeftOut may be updated by it.
  template <typename Visitor> void visit(const std::vector<bool> &LeftOut, const Visitor &Each) {
    Visited So;
    ResourceAmounts Within{};
    for (const bool IsOverShare : {false, true}) {
      if (IsOverShare)
        So.Ahead = Within; // left-out work within a share goes before all work beyond one
      const Classes &Side = Sides[IsOverShare ? 1 : 0];
      for (const auto &[Priority, All] : Side) {
        std::vector<size_t> InClass;
        for (const size_t I : All) {
          if (Entries[I].IsLongRunning)
            So.LongRunning = So.LongRunning + Entries[I].Need;
          else if (!IsOverShare)
            Within = Within + Entries[I].Work;
          if (!Entries[I].IsLongRunning && !Entries[I].IsLate)
            InClass.push_back(I);
        }
        visitClass(So, IsOverShare, Priority, Deadline::Objective, InClass, Each);
      }
      for (const auto &[Priority, All] : Side) {
        std::vector<size_t> InClass;
        for (const size_t I : All)
          if (!Entries[I].IsLongRunning && (Entries[I].IsLate || LeftOut[I]))
            InClass.push_back(I);
        visitClass(So, IsOverShare, Priority, Deadline::UsefulUntil, InClass, Each);
      }
    }
  }

  template <typename Visitor>
  void visitClass(Visited &So, bool IsOverShare, int Priority, Deadline By,
                  const std::vector<size_t> &InClass, const Visitor &Each) const {
    if (InClass.empty())
      return;
    ResourceAmounts Work{};
    for (const size_t I : InClass) {
      Work = Work + Entries[I].Work;
      // The mean run time is that of the work before and in the class.
      So.Need = So.Need + Entries[I].Need;
      So.ReadyWork = So.ReadyWork + Entries[I].ReadyWork;
    }
    ResourceAmounts TaskSeconds{};
    for (size_t D = 0; D < Dimensions; ++D)
      TaskSeconds[D] = So.Need[D] > 0 ? So.ReadyWork[D] / So.Need[D] : 0;
    const OverloadCapacity Left = capacityOf(IsOverShare, Priority, By, So.LongRunning);
    const ClassSelection Class(Entries, InClass, By, Left, TaskSeconds, So.Ahead, Now);
    So.Ahead = So.Ahead + Each(Class, By, Work);
  }

  OverloadCapacity capacityOf(bool IsOverShare, int Priority, Deadline By,
                              const ResourceAmounts &LongRunning) const {
    OverloadCapacity Left = Capacity;
    Left.Total = atLeastZero(Left.Total + LongRunning * -1);
    Left.Free = atLeastZero(Left.Free + LongRunning * -1);
    // Late and left-out steps preempt nothing.
    for (const auto &[Other, Amounts] : Capacity.Preemptible)
      if (!IsOverShare && By == Deadline::Objective && Other > Priority)
        Left.Free = Left.Free + Amounts;
    return Left;
  }

  std::span<const OverloadEntry> Entries;
  const OverloadCapacity &Capacity;
  TimePoint Now;
  std::array<Classes, 2> Sides; ///< Within the share, beyond it.
};
} // namespace

OverloadSelection selectInTime(std::span<const OverloadEntry> Entries,
                               const OverloadCapacity &Capacity, TimePoint Now) {
  return ServiceSelection(Entries, Capacity, Now).select();
}

namespace {
TimePoint submittedAt(const CellState &Cell, const Job &J, uint32_t Round) {
  const JobSpec &Spec = *J.Spec;
  const WallTime At =
      Spec.Repetitions > 0 ? Spec.FirstDue + Spec.Interval * Round : Spec.AcceptedAt;
  return Cell.WallAt + (At - Cell.Wall);
}
} // namespace

TimePoint usefulUntil(const CellState &Cell, const Job &J, uint32_t Round, TimePoint Objective) {
  const TimePoint Submitted = submittedAt(Cell, J, Round);
  return Submitted + (Objective - Submitted) * UsefulSpans;
}

namespace {
// The expected run time of a task of the step: of its ended tasks, or as learned for its queue if
// enough is known of that. Unlike other decisions this one uses learned times also while the
// workers are even, since estimates may be far off in any case.
Milliseconds runTimeOf(const CellState &Cell, const Job &J, const StepState &Step) {
  if (Step.Spec->LongRunning || !Cell.InForce.LearnRunTimes)
    return Step.Timing.Expected;
  if (Step.Timing.Observed.count() > 0)
    return Step.Timing.Observed;
  return learnedRunTime(Cell, J, Step).Expected;
}

// True if a task of the round is done or has been ordered to start.
bool hasBegun(const RoundState &Round) {
  return std::any_of(Round.Steps.begin(), Round.Steps.end(), [](const StepState &Step) {
    return Step.OpenTasks < Step.Tasks.size() || Step.BookedTasks > Step.PlannedTasks;
  });
}

// How long a step of the round is expected to wait for advice and capacity.
Milliseconds delayOf(const RoundState &Round) {
  return hasBegun(Round) ? BegunStartDelay : StartDelay;
}

uint32_t unplacedTasks(const StepState &Step) {
  return Step.OpenTasks - std::min(Step.OpenTasks, Step.BookedTasks);
}

/// The steps of a round: run times, and the longest chain from the start of each to the end.
struct RoundChains {
  std::vector<Milliseconds> RunTimes;
  std::vector<Milliseconds> Tails;
  Milliseconds Longest{0}; ///< Of the whole round, with the steps that have ended.
};

RoundChains chainsOf(const CellState &Cell, const Job &J, const RoundState &Round) {
  RoundChains Found;
  const size_t Count = Round.Steps.size();
  Found.Tails.resize(Count);
  Found.RunTimes.resize(Count);
  const Milliseconds Delay = delayOf(Round);
  for (size_t I = Count; I-- > 0;) {
    const StepState &Step = Round.Steps[I];
    if (!Step.Spec->LongRunning)
      Found.RunTimes[I] = runTimeOf(Cell, J, Step);
    Found.Tails[I] += Found.RunTimes[I];
    if (Step.OpenTasks > 0)
      Found.Tails[I] += Delay;
    for (const uint32_t Earlier : Step.Spec->DependsOn)
      Found.Tails[Earlier] = std::max(Found.Tails[Earlier], Found.Tails[I]);
  }
  std::vector<Milliseconds> Whole(Count);
  for (size_t I = Count; I-- > 0;) {
    Whole[I] += Found.RunTimes[I];
    Found.Longest = std::max(Found.Longest, Whole[I]);
    for (const uint32_t Earlier : Round.Steps[I].Spec->DependsOn)
      Whole[Earlier] = std::max(Whole[Earlier], Whole[I]);
  }
  return Found;
}

// How long the capacity of the service is needed for the tasks that have not been placed: the
// largest of the times by kind of resource.
double workLeft(const CellState &Cell, const Job &J, const RoundState &Round,
                const RoundChains &Chains) {
  const auto Load = Cell.Loads.find(J.Services.Current);
  if (Load == Cell.Loads.end())
    return 0;
  ResourceAmounts Work{};
  for (size_t I = 0; I < Round.Steps.size(); ++I)
    Work = Work + amountsOf(needOf(Round.Steps[I])) *
                      (unplacedTasks(Round.Steps[I]) * seconds(Chains.RunTimes[I]));
  const ResourceAmounts Capacity = amountsOf(Load->second.Capacity);
  double Longest = 0;
  for (size_t D = 0; D < Dimensions; ++D)
    if (Capacity[D] > 0)
      Longest = std::max(Longest, Work[D] / Capacity[D]);
  return Longest;
}

// The objective follows from the run times of the whole job, so where other times than those at
// its acceptance are expected now, it moves with them.
TimePoint expectedObjective(const Job &J, const RoundChains &Chains) {
  return J.Objective + std::chrono::duration_cast<Milliseconds>(
                           (Chains.Longest - J.ObjectiveChain) * J.Spec->CriticalPathFactor);
}

bool isOverloaded(const CellState &Cell, const std::string &Service) {
  const auto Found = Cell.Overload.Services.find(Service);
  return Found != Cell.Overload.Services.end() && Found->second.IsOverloaded;
}

LateRank rankOf(const CellState &Cell, const StepState &Step, bool IsUseful, bool LeftOut,
                TimePoint Now) {
  const bool IsAged = Now - Step.RunnableSince > Cell.Limits.LeftOutBound;
  if (!IsUseful)
    return IsAged ? LateRank::AgedUseless : LateRank::Useless;
  if (IsAged)
    return LateRank::AgedUseful;
  return LeftOut ? LateRank::UsefulLeftOut : LateRank::Useful;
}

/// A step in the queue and the entry that it belongs to.
struct QueuedStep {
  Job *J = nullptr;
  StepState *Step = nullptr;
  std::optional<size_t> Entry; ///< Empty: it takes no part in the selection.
};

/// The queue of one service.
struct ServiceQueue {
  std::vector<OverloadEntry> Entries;
  std::vector<QueuedStep> Steps;
  std::map<std::pair<JobId, uint32_t>, size_t> ByRound; ///< Entries of rounds with several steps.
  Resources Need;                                       ///< Of all tasks that wait.
};

OverloadEntry makeEntry(const CellState &Cell, const Job &J, const RoundState &Round) {
  OverloadEntry Entry;
  const RoundChains Chains = chainsOf(Cell, J, Round);
  Entry.IsOverShare = J.IsOverShare;
  Entry.Priority = J.Spec->Priority;
  Entry.Objective = expectedObjective(J, Chains);
  Entry.UsefulUntil = usefulUntil(Cell, J, Round.Number, Entry.Objective);
  Entry.HasBegun = hasBegun(Round);
  Entry.IsQueued = false;
  Milliseconds LongestLater{0};
  for (size_t I = 0; I < Round.Steps.size(); ++I) {
    const StepState &Step = Round.Steps[I];
    const uint32_t Tasks = unplacedTasks(Step);
    if (Tasks == 0 || Step.Spec->LongRunning)
      continue;
    const ResourceAmounts Work = amountsOf(needOf(Step)) * (Tasks * seconds(Chains.RunTimes[I]));
    Entry.Work = Entry.Work + Work;
    Milliseconds &Chain = Step.Queued ? Entry.Chain : LongestLater;
    Chain = std::max(Chain, Chains.Tails[I]);
    Entry.IsQueued = Entry.IsQueued || Step.Queued;
    if (!Step.Queued)
      Entry.Later.push_back({Chains.Tails[I], Work});
  }
  if (!Entry.IsQueued)
    Entry.Chain = LongestLater;
  return Entry;
}

void addStep(const CellState &Cell, ServiceQueue &To, const Job &J, const RoundState &Round,
             QueuedStep Queued) {
  const StepState &Step = *Queued.Step;
  const ResourceAmounts Need = amountsOf(needOf(Step)) * unplacedTasks(Step);
  const bool IsShared = Round.Steps.size() > 1 && !Step.Spec->LongRunning;
  auto Known = To.ByRound.end();
  if (IsShared)
    Known = To.ByRound.find({Step.Key.Job, Step.Key.Round});
  if (Known != To.ByRound.end()) {
    Queued.Entry = Known->second;
  } else {
    Queued.Entry = To.Entries.size();
    To.Entries.push_back(makeEntry(Cell, J, Round));
    if (IsShared)
      To.ByRound.emplace(std::pair(Step.Key.Job, Step.Key.Round), *Queued.Entry);
  }
  OverloadEntry &Entry = To.Entries[*Queued.Entry];
  Entry.IsLongRunning = Step.Spec->LongRunning;
  Entry.Need = Entry.Need + Need;
  Entry.ReadyWork = Entry.ReadyWork + Need * seconds(runTimeOf(Cell, J, Step));
  Entry.IsLate = Entry.IsLate || Step.Queued->Late;
  Entry.WasLeftOut = Entry.WasLeftOut || Step.Queued->LeftOut;
  To.Need += needOf(Step) * unplacedTasks(Step);
  To.Steps.push_back(Queued);
}

bool isMeasured(const ServiceLoad &Load, TimePoint Now) {
  return Load.MeasuredSince != TimePoint{} && Now - Load.MeasuredSince >= ReleaseWindow;
}

// Steps that wait for their organisation's quota need no capacity now and delay no others.
std::map<std::string, ServiceQueue> collectQueues(CellState &Cell) {
  std::map<std::string, ServiceQueue> Found;
  for (const QueueKey &Key : Cell.Queue) {
    StepState *Step = findStep(Cell, Key.Step);
    if (!Step || !Step->Queued)
      continue;
    Job &J = Cell.Jobs.at(Key.Step.Job);
    ServiceQueue &Of = Found[J.Services.Current];
    if (unplacedTasks(*Step) > 0 && isWithinQuota(Cell, J.Owner, minCharge(*Step->Spec)))
      addStep(Cell, Of, J, J.Rounds.at(Key.Step.Round), {&J, Step, {}});
    else
      Of.Steps.push_back({&J, Step, {}});
  }
  return Found;
}

/// Resources that the live jobs of a service hold.
struct HeldResources {
  ResourceAmounts LongRunning{};
  ResourceAmounts Finite{};
  ResourceAmounts FiniteWork{}; ///< Times the run times of the tasks.
  std::map<int, ResourceAmounts> Preemptible;
};

void addHeld(const CellState &Cell, HeldResources &To, const Job &J, const StepState &Step,
             uint32_t Tasks) {
  const ResourceAmounts Held = amountsOf(needOf(Step)) * Tasks;
  if (Step.Spec->LongRunning) {
    To.LongRunning = To.LongRunning + Held;
    return;
  }
  To.Finite = To.Finite + Held;
  To.FiniteWork = To.FiniteWork + Held * seconds(runTimeOf(Cell, J, Step));
  if (!Step.Spec->Checkpointable || Step.Spec->Gang)
    return;
  ResourceAmounts &Sum = To.Preemptible[J.IsOverShare ? OverSharePriority : J.Spec->Priority];
  Sum = Sum + Held;
}

std::map<std::string, HeldResources> collectHeld(const CellState &Cell) {
  std::map<std::string, HeldResources> Found;
  for (const auto &[Id, J] : Cell.Jobs)
    for (const auto &[Number, Round] : J.Rounds)
      for (const StepState &Step : Round.Steps)
        forEachServiceInUse(J, Step, [&, &Of = J](const std::string &Service, uint32_t Tasks) {
          addHeld(Cell, Found[Service], Of, Step, Tasks);
        });
  return Found;
}

// Of the measured rate of release and the one that the run times let expect, the higher counts. The
// former is zero while many runs that began together have not ended yet; too low a rate would leave
// out jobs that can be on time.
OverloadCapacity capacityOf(const ServiceLoad &Load, const HeldResources &Held,
                            bool WasOverloaded) {
  OverloadCapacity Capacity;
  Capacity.Total = atLeastZero(amountsOf(Load.Capacity) + Held.LongRunning * -1);
  Capacity.Free = amountsOf(Load.Free);
  Capacity.Released = {Load.Released.MilliCores / MilliCoresPerCore, Load.Released.Accelerators,
                       Load.Released.MemoryMb / MbPerGb};
  for (size_t D = 0; D < Dimensions; ++D)
    if (Held.FiniteWork[D] > 0)
      Capacity.Released[D] =
          std::max(Capacity.Released[D], Held.Finite[D] * Held.Finite[D] / Held.FiniteWork[D]);
  Capacity.Preemptible.assign(Held.Preemptible.begin(), Held.Preemptible.end());
  Capacity.WasOverloaded = WasOverloaded;
  return Capacity;
}

// The steps to come of rounds whose steps are all running: work that goes before that of new jobs.
void addRunningRounds(const CellState &Cell, const std::string &Service, ServiceQueue &To) {
  for (const auto &[Id, J] : Cell.Jobs) {
    if (J.Phase != JobPhase::Live || J.Services.Current != Service || J.Spec->Steps.size() < 2)
      continue;
    for (const auto &[Number, Round] : J.Rounds) {
      if (Round.Done || To.ByRound.count({Id, Number}) > 0)
        continue;
      const bool Waits = std::any_of(Round.Steps.begin(), Round.Steps.end(),
                                     [](const StepState &Step) { return Step.Queued.has_value(); });
      OverloadEntry Entry = makeEntry(Cell, J, Round);
      if (!Waits && !Entry.Later.empty())
        To.Entries.push_back(std::move(Entry));
    }
  }
}

void setKey(CellState &Cell, const QueuedStep &Of, const OverloadMarks &Marks, TimePoint Now) {
  const QueueKey Key = makeQueueKey(Cell, *Of.J, *Of.Step, Marks, Now);
  if (Key == *Of.Step->Queued)
    return;
  Cell.Queue.erase(*Of.Step->Queued);
  Of.Step->Queued = Key;
  Cell.Queue.insert(Key);
}

void reportChange(ServiceOverload &Known, const std::string &Service, const ServiceQueue &Queue,
                  const OverloadSelection &Selection, double Cores, TimePoint Now, Effects &Out) {
  if (Known.IsOverloaded)
    Known.LastOverloadedAt = Now;
  const bool IsOver = Now - Known.LastOverloadedAt >= OverloadEndDelay;
  if (Known.IsReported == Known.IsOverloaded || (Known.IsReported && !IsOver))
    return;
  Known.IsReported = Known.IsOverloaded;
  double Work = 0;
  for (const OverloadEntry &Entry : Queue.Entries)
    Work += Entry.Work[0];
  Out.OverloadChanges.push_back(
      {Service, Known.IsOverloaded,
       static_cast<uint32_t>(std::count(Selection.LeftOut.begin(), Selection.LeftOut.end(), true)),
       Work, Cores});
}
} // namespace

OverloadMarks marksOf(const StepState &Step) {
  if (!Step.Queued)
    return {};
  return {Step.Queued->LeftOut, Step.Queued->Rank == LateRank::UsefulLeftOut};
}

QueueKey makeQueueKey(const CellState &Cell, const Job &J, StepState &Step,
                      const OverloadMarks &Marks, TimePoint Now) {
  QueueKey Key;
  Key.IsOverShare = J.IsOverShare;
  Key.Priority = J.Spec->Priority;
  Key.Objective = J.Objective;
  Key.Step = Step.Key;
  Step.LatestStart = {};
  if (!Cell.InForce.OverloadOrder || Step.Spec->LongRunning ||
      !isOverloaded(Cell, J.Services.Current)) {
    Key.Late = isLate(J, Step, Now);
    return Key;
  }
  const RoundState &Round = J.Rounds.at(Step.Key.Round);
  const RoundChains Chains = chainsOf(Cell, J, Round);
  const Milliseconds Tail = Chains.Tails[Step.Key.Step];
  const TimePoint Objective = expectedObjective(J, Chains);
  // A step that waits already may start at once, so its own delay does not count here.
  Step.LatestStart = Objective - Tail + delayOf(Round);
  Key.Late = isLate(J, Step, Now);
  Key.Objective = Objective - Tail;
  Key.HasNotBegun = !hasBegun(Round);
  if (!Key.Late && !Marks.LeftOut) {
    Key.HasTime = Key.HasNotBegun && Key.Objective - Now > StartHorizon;
    if (Key.HasNotBegun && !Key.HasTime)
      Key.Work = workLeft(Cell, J, Round, Chains);
    return Key;
  }
  const TimePoint UsefulStart = usefulUntil(Cell, J, Step.Key.Round, Objective) - Tail;
  Key.LeftOut = Marks.LeftOut;
  Key.Objective = UsefulStart;
  Key.Rank = rankOf(Cell, Step, Now <= UsefulStart, Marks.LateLeftOut, Now);
  if (Key.isAged())
    Key.WaitingSince = Step.RunnableSince;
  return Key;
}

void updateOverloadOrder(CellState &Cell, TimePoint Now, Effects &Out) {
  OverloadState &State = Cell.Overload;
  if (Now < State.NextUpdate)
    return;
  State.NextUpdate = Now + OverloadUpdateInterval;
  State.LeftOutSteps = 0;
  std::map<std::string, ServiceQueue> Queues = collectQueues(Cell);
  std::optional<std::map<std::string, HeldResources>> Held;
  for (const auto &[Service, Load] : Cell.Loads) {
    ServiceQueue &Queue = Queues[Service];
    ServiceOverload &Known = State.Services[Service];
    OverloadSelection Selection;
    double Cores = amountsOf(Load.Capacity)[0];
    if (isMeasured(Load, Now) && (Known.IsOverloaded || !fits(Queue.Need, Load.Free))) {
      if (!Held)
        Held = collectHeld(Cell);
      addRunningRounds(Cell, Service, Queue);
      const OverloadCapacity Capacity = capacityOf(Load, (*Held)[Service], Known.IsOverloaded);
      Cores = Capacity.Total[0];
      Selection = selectInTime(Queue.Entries, Capacity, Now);
    }
    const bool WasOverloaded = std::exchange(Known.IsOverloaded, Selection.IsOverloaded);
    reportChange(Known, Service, Queue, Selection, Cores, Now, Out);
    if (!Known.IsOverloaded && !WasOverloaded)
      continue;
    for (const QueuedStep &Queued : Queue.Steps) {
      OverloadMarks Marks;
      if (Selection.IsOverloaded && Queued.Entry)
        Marks = {Selection.LeftOut[*Queued.Entry], Selection.LateLeftOut[*Queued.Entry]};
      setKey(Cell, Queued, Marks, Now);
      State.LeftOutSteps += Queued.Step->Queued->LeftOut ? 1 : 0;
    }
  }
}

void clearOverloadOrder(CellState &Cell) {
  if (Cell.Overload.Services.empty())
    return;
  Cell.Overload = {};
  for (auto &[Id, J] : Cell.Jobs)
    for (auto &[Number, Round] : J.Rounds)
      for (StepState &Step : Round.Steps)
        Step.LatestStart = {};
  const std::vector<QueueKey> Order(Cell.Queue.begin(), Cell.Queue.end());
  for (const QueueKey &Key : Order)
    if (StepState *Step = findStep(Cell, Key.Step))
      setKey(Cell, {&Cell.Jobs.at(Key.Step.Job), Step, {}}, {}, Cell.WallAt);
}

} // namespace valveshelf::sched
