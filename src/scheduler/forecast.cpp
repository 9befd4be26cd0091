// SPDX-License-Identifier: Apache-2.0
// The forecast: waiting work by service in the order of the queue, divided by the rate at which
// ended runs release resources. Work that waits for its organisation's quota delays no others.
#include "scheduler/forecast.h"

#include "scheduler/job_services.h"
#include "scheduler/pass.h"

#include <cmath>
#include <limits>
#include <utility>

namespace valveshelf::sched {
namespace {
// Time constant of the start rates, from which retries of refused jobs are spread.
constexpr std::chrono::duration<double> StartRateWindow{5};
// Weight of the newest job in the mean need of a first start.
constexpr double FirstNeedWeight = 1.0 / 32;
// A forecast that is further off than this and than half of the wait is logged, at most once per
// LargeErrorLogInterval.
constexpr Milliseconds MinLargeError{1000};
constexpr Milliseconds LargeErrorLogInterval{1000};
// A forecast that has not been renewed for this time is not published any more.
constexpr Milliseconds MaxPublishedAge{300};
// Below it, the wait of an organisation at its maximum is not published.
constexpr double MinQuotaConfidence = 0.5;
// Of a job in a process that has much to do, besides the wait for its turn: from acceptance to the
// scheduler, for advice, from the start order to the worker, and from its report to the caller.
// While that wait is short, so are they.
constexpr Milliseconds TimeOfStages{300};
// A process that orders fewer starts a second is at a standstill for the moment.
constexpr double MinStartRate = 1;
constexpr std::chrono::duration<double> MaxStartWait{60};
// The room of a dimension without a limit. Sums of such rooms do not overflow.
constexpr int64_t Unlimited = std::numeric_limits<int64_t>::max() / 4;

void updateMean(MeanResources &Mean, const Resources &Seen) {
  const double Weight = Mean.IsKnown ? FirstNeedWeight : 1;
  Mean.IsKnown = true;
  Mean.MilliCores += Weight * (static_cast<double>(Seen.MilliCores) - Mean.MilliCores);
  Mean.MemoryMb += Weight * (static_cast<double>(Seen.MemoryMb) - Mean.MemoryMb);
  Mean.Accelerators += Weight * (static_cast<double>(Seen.Accelerators) - Mean.Accelerators);
}

Resources rounded(const MeanResources &Mean) {
  return {std::llround(Mean.MilliCores), std::llround(Mean.MemoryMb),
          std::llround(Mean.Accelerators)};
}

// What the organisation may still use; beyond its maximum there is nothing.
Resources quotaLeft(const OrganisationState &Org) {
  const Resources Left = componentMax(Org.Maximum - Org.Usage - Org.UnreportedUsage, {});
  return {Org.Maximum.MilliCores > 0 ? Left.MilliCores : Unlimited,
          Org.Maximum.MemoryMb > 0 ? Left.MemoryMb : Unlimited,
          Org.Maximum.Accelerators > 0 ? Left.Accelerators : Unlimited};
}

// Tasks of the step that need an attempt and are not possibly running on an unreported worker.
int64_t countWaitingTasks(const StepState &Step, bool HasUnreportedWorkers) {
  if (!HasUnreportedWorkers)
    return static_cast<int64_t>(Step.OpenTasks) - static_cast<int64_t>(Step.BookedTasks);
  return std::count_if(Step.Tasks.begin(), Step.Tasks.end(), [](const TaskState &Task) {
    return !Task.Done && !Task.AssignedWorker && !Task.MayRunOnUnreportedWorker &&
           !Task.MayBeStartedByPredecessor;
  });
}

const StepState *findStep(const CellState &Cell, const StepKey &Key, const Job *&Of) {
  const auto Found = Cell.Jobs.find(Key.Job);
  if (Found == Cell.Jobs.end())
    return nullptr;
  Of = &Found->second;
  const auto Round = Of->Rounds.find(Key.Round);
  return Round == Of->Rounds.end() ? nullptr : &Round->second.Steps[Key.Step];
}

/// Adds up waiting work in the order of the queue.
class WaitingWork {
public:
  /// The work of one organisation with a maximum.
  struct OfOrganisation {
    Resources Waiting;          ///< All of its waiting work that is in time.
    Resources Startable;        ///< The part of Waiting that its quota allows now.
    bool WaitsForQuota = false; ///< Some of it is beyond the quota.
  };

  WaitingWork(const CellState &Cell, TimePoint Now) : Cell(Cell), Next(Cell.Queue.begin()) {
    UnreportedServices = unreportedServices(Cell);
    for (const QueueKey &Entry : Cell.Queue) {
      const Job *J = nullptr;
      const StepState *Step = findStep(Cell, Entry.Step, J);
      if (Step && Now - Step->RunnableSince > StarvationBound)
        Starts += countStarts(*Step);
    }
    AgedBefore = Now - StarvationBound;
  }

  // Adds the steps that are queued before a new step of this class. Late steps of its share and
  // those that are left out come after it.
  void addThrough(bool IsOverShare, int Priority) {
    QueueKey Last;
    Last.IsOverShare = IsOverShare;
    Last.Priority = Priority;
    Last.Objective = TimePoint::max();
    for (; Next != Cell.Queue.end() && *Next < Last; ++Next)
      add(*Next);
  }

  std::map<std::string, Resources> ByService; ///< What waits for capacity.
  std::map<std::string, OfOrganisation> ByOrganisation;
  /// To be ordered, over all services. Steps that wait for room on a worker don't count.
  int64_t Starts = 0;

private:
  static int64_t countStarts(const StepState &Step) {
    return Step.LastPlacementFailed ? 0 : countWaitingTasks(Step, false) + Step.PlannedTasks;
  }

  void add(const QueueKey &Entry) {
    const Job *J = nullptr;
    const StepState *Step = findStep(Cell, Entry.Step, J);
    if (!Step)
      return;
    if (Step->RunnableSince >= AgedBefore)
      Starts += countStarts(*Step);
    int64_t Count = countWaitingTasks(*Step, mayBeOnWorkersOf(*J, UnreportedServices));
    if (Count <= 0)
      return;
    if (J->Owner && J->Owner->Maximum != Resources{})
      Count = takeQuota(*J->Owner, *Step, Count);
    if (Count > 0)
      ByService[J->Services.Current] += needOf(*Step) * Count;
  }

  // Returns how many of the tasks the organisation's quota allows.
  int64_t takeQuota(const OrganisationState &Org, const StepState &Step, int64_t Count) {
    OfOrganisation &Work = ByOrganisation[Org.Name];
    const Resources &Need = Step.Spec->Need;
    Work.Waiting += Need * Count;
    int64_t Allowed = countFitting(Need, quotaLeft(Org) - Work.Startable, Count);
    Work.WaitsForQuota = Work.WaitsForQuota || Allowed < Count;
    if (Step.Spec->Gang && Allowed < Count)
      Allowed = 0;
    Work.Startable += Need * Allowed;
    return Allowed;
  }

  const CellState &Cell;
  std::set<QueueKey>::const_iterator Next;
  TimePoint AgedBefore{}; ///< Steps that became runnable earlier are counted from the beginning.
  std::set<std::string> UnreportedServices;
};

// The load with the rate at which the service, when it is full, releases resources. The rate of the
// last second varies with the times at which runs started, and is too low just after a rise.
ServiceLoad loadWhenFull(ServiceLoad Load, const Turnover &Mean) {
  const auto RateWhenFull = [](int64_t Capacity, double Released, double Used) {
    return Used > 0 ? static_cast<double>(Capacity) * Released / Used : 0;
  };
  Load.Released = {
      RateWhenFull(Load.Capacity.MilliCores, Mean.Released.MilliCores, Mean.Used.MilliCores),
      RateWhenFull(Load.Capacity.MemoryMb, Mean.Released.MemoryMb, Mean.Used.MemoryMb),
      RateWhenFull(Load.Capacity.Accelerators, Mean.Released.Accelerators, Mean.Used.Accelerators)};
  Load.EndsPerSecond = Mean.EndsPerSecond;
  return Load;
}

ServiceLoad loadWhenFull(const CellState &Cell, const std::string &Service) {
  const auto Found = Cell.Loads.find(Service);
  const auto Known = Cell.Forecasts.Turnovers.find(Service);
  if (Found == Cell.Loads.end() || Known == Cell.Forecasts.Turnovers.end())
    return {};
  return loadWhenFull(Found->second, Known->second);
}

// One less the relative standard error of the rate: an exponential average over a window has the
// error of a count over twice that window. Less while the rate has been measured for less than a
// run takes: runs that started together have not ended yet, and the rate seems too low.
double confidenceOf(const ServiceLoad &Load, TimePoint Now) {
  const double Ends =
      2 * Load.EndsPerSecond * std::chrono::duration<double>(TurnoverWindow).count();
  if (Ends <= 1)
    return 0;
  const std::chrono::duration<double> Measured = Now - Load.MeasuredSince;
  const double RunsMeasured = Load.Capacity.MilliCores > 0
                                  ? Measured.count() * Load.Released.MilliCores /
                                        static_cast<double>(Load.Capacity.MilliCores)
                                  : 1;
  return (1 - 1 / std::sqrt(Ends)) * std::min(1.0, RunsMeasured);
}

ClassForecast classForecast(const ServiceLoad &Load, const Resources &Ahead, TimePoint Now) {
  ClassForecast Class;
  if (Load.Capacity == Resources{})
    return Class;
  const std::optional<Milliseconds> Wait = timeUntilFree(Load, Ahead, Now);
  if (Wait && Wait->count() == 0)
    Class.Confidence = 1;
  else if (Wait)
    Class.Confidence = confidenceOf(Load, Now);
  if (Class.Confidence > 0)
    Class.Wait = *Wait;
  return Class;
}

// Takes the wait for the scheduler's starts if it is the longer one.
void considerStarts(const CellState &Cell, int64_t Ahead, ClassForecast &Class) {
  if (!Cell.InForce.StartAdmission || !Cell.StartRate)
    return;
  const double Seconds = static_cast<double>(Ahead) / std::max(*Cell.StartRate, MinStartRate);
  const auto ForTurn = std::chrono::duration_cast<Milliseconds>(
      std::min(std::chrono::duration<double>(Seconds), MaxStartWait));
  const Milliseconds Wait = ForTurn + std::min(TimeOfStages, 2 * ForTurn);
  if (Class.Confidence > 0 && Class.Wait >= Wait)
    return;
  Class.Wait = Wait;
  Class.Confidence = 1;
  Class.IsByStarts = true;
}

/// By service and priority of the attempts: resources of runs that may be preempted.
using PreemptibleWork = std::map<std::string, std::map<int, Resources>>;

PreemptibleWork collectPreemptible(const CellState &Cell) {
  PreemptibleWork Found;
  for (const auto &[Id, J] : Cell.Jobs)
    for (const auto &[Number, Round] : J.Rounds)
      for (const StepState &Step : Round.Steps)
        if (Step.BookedTasks > 0 && Step.Spec->Checkpointable && !Step.Spec->Gang &&
            !Step.Spec->LongRunning)
          forEachServiceInUse(J, Step, [&, &Of = J](const std::string &Service, uint32_t Tasks) {
            Found[Service][Of.IsOverShare ? OverSharePriority : Of.Spec->Priority] +=
                needOf(Step) * Tasks;
          });
  return Found;
}

// What a class may take besides free resources: those of runs that it may preempt.
Resources preemptibleBy(const PreemptibleWork &Work, const std::string &Service, bool IsOverShare,
                        int Priority) {
  Resources Sum;
  const auto Found = Work.find(Service);
  if (Found == Work.end() || IsOverShare)
    return Sum;
  for (auto At = Found->second.upper_bound(Priority); At != Found->second.end(); ++At)
    Sum += At->second;
  return Sum;
}

/// By organisation: its waiting work before a new job.
using OrganisationWork = std::map<std::string, WaitingWork::OfOrganisation>;

// The wait of each organisation's next job, which is within its share or over it, in the most
// urgent queue. Jobs of less urgent queues wait for longer.
void addOrganisationWaits(const CellState &Cell, const OrganisationWork &WithinShare,
                          const OrganisationWork &OverShare, TimePoint Now, Forecast &Out) {
  for (const auto &[Name, Quota] : Cell.Forecasts.Quotas) {
    Resources NewNeed;
    if (const auto Known = Cell.Forecasts.FirstNeeds.find(Name);
        Known != Cell.Forecasts.FirstNeeds.end())
      NewNeed = rounded(Known->second);
    const auto Turned = Cell.Forecasts.QuotaTurnovers.find(Name);
    if (Turned == Cell.Forecasts.QuotaTurnovers.end())
      continue;
    ServiceLoad Load = Quota;
    Load.Capacity = Cell.Organisations.at(Name).Maximum;
    Load = loadWhenFull(Load, Turned->second);
    Load.Free = quotaLeft(Cell.Organisations.at(Name));
    const OrganisationWork &Work =
        Out.OverShareOrganisations.count(Name) > 0 ? OverShare : WithinShare;
    const auto Found = Work.find(Name);
    const Resources Waiting = Found == Work.end() ? Resources{} : Found->second.Waiting;
    const bool IsAtMaximum = Found != Work.end() && Found->second.WaitsForQuota;
    if (!IsAtMaximum && fits(Waiting + NewNeed, Load.Free))
      continue;
    // Few runs of one organisation may end in the window, too few for a rate.
    const auto Wait = timeUntilFree(Load, Waiting + NewNeed, Now);
    if (Wait && Wait->count() > 0 && confidenceOf(Load, Now) >= MinQuotaConfidence)
      Out.OrganisationWaits[Name] = *Wait;
  }
}

// True if a job that the organisation submitted now would be beyond its share.
bool isNextJobOverShare(const OrganisationState &Org, WallTime At) {
  if (Org.Weight <= 0 || !Org.ShareTokensAt)
    return false;
  OrganisationState Trial;
  Trial.Weight = Org.Weight;
  Trial.ShareTokens = Org.ShareTokens;
  Trial.ShareTokensAt = Org.ShareTokensAt;
  return !consumeShare(Trial, At);
}

WallTime wallTimeAt(const CellState &Cell, TimePoint Now) {
  return Cell.Wall + std::chrono::duration_cast<WallTime::duration>(Now - Cell.WallAt);
}

bool hasShares(const CellState &Cell) {
  return std::any_of(Cell.Organisations.begin(), Cell.Organisations.end(),
                     [](const auto &Entry) { return Entry.second.Weight > 0; });
}

// The wait that the forecast gives for a job of this class and organisation.
std::optional<Milliseconds> waitOf(const Forecast &From, const Job &J) {
  const auto Service = From.Services.find(J.Services.Current);
  if (Service == From.Services.end())
    return std::nullopt;
  for (const ClassForecast &Class : Service->second) {
    if (Class.IsOverShare != J.IsOverShare || Class.Priority != J.Spec->Priority)
      continue;
    if (Class.Confidence <= 0)
      return std::nullopt;
    const auto Organisation = From.OrganisationWaits.find(J.Spec->Organisation);
    return Organisation == From.OrganisationWaits.end()
               ? Class.Wait
               : std::max(Class.Wait, Organisation->second);
  }
  return std::nullopt;
}

void updateTurnover(Turnover &Mean, const ServiceLoad &Load, const Resources &Used,
                    std::chrono::duration<double> Elapsed) {
  const double Weight = 1 - std::exp(-Elapsed / TurnoverWindow);
  const auto Blend = [&](ResourceRate &Mean, const ResourceRate &Seen) {
    Mean.MilliCores += Weight * (Seen.MilliCores - Mean.MilliCores);
    Mean.MemoryMb += Weight * (Seen.MemoryMb - Mean.MemoryMb);
    Mean.Accelerators += Weight * (Seen.Accelerators - Mean.Accelerators);
  };
  Blend(Mean.Released, Load.Released);
  Blend(Mean.Used, {static_cast<double>(Used.MilliCores), static_cast<double>(Used.MemoryMb),
                    static_cast<double>(Used.Accelerators)});
  Mean.EndsPerSecond += Weight * (Load.EndsPerSecond - Mean.EndsPerSecond);
}

void updateTurnovers(CellState &Cell, std::chrono::duration<double> Elapsed) {
  ForecastState &State = Cell.Forecasts;
  for (const auto &[Service, Load] : Cell.Loads)
    updateTurnover(State.Turnovers[Service], Load, Load.Capacity - Load.Free, Elapsed);
  for (const auto &[Name, Quota] : State.Quotas)
    updateTurnover(State.QuotaTurnovers[Name], Quota, Cell.Organisations.at(Name).Usage, Elapsed);
}

void updateStartRates(ForecastState &State, std::chrono::duration<double> Elapsed) {
  const double Weight = 1 - std::exp(-Elapsed / StartRateWindow);
  for (auto &[Service, Priorities] : State.Priorities)
    for (auto &[Priority, Kept] : Priorities)
      for (EventRate &Rate : Kept.Starts) {
        Rate.PerSecond += Weight * (Rate.SinceUpdate / Elapsed.count() - Rate.PerSecond);
        Rate.SinceUpdate = 0;
      }
}

void updateQuotas(CellState &Cell, TimePoint Now) {
  ServiceLoads &Quotas = Cell.Forecasts.Quotas;
  for (const auto &[Name, Org] : Cell.Organisations)
    if (Org.Maximum == Resources{}) {
      Quotas.erase(Name);
      Cell.Forecasts.QuotaTurnovers.erase(Name);
    } else {
      updateReleaseRate(Quotas[Name], Now);
    }
}

PriorityState *findPriority(CellState &Cell, const Job &J) {
  const auto Service = Cell.Forecasts.Priorities.find(J.Services.Current);
  if (Service == Cell.Forecasts.Priorities.end())
    return nullptr;
  const auto Found = Service->second.find(J.Spec->Priority);
  return Found == Service->second.end() ? nullptr : &Found->second;
}
} // namespace

Forecast forecastOf(const CellState &Cell, TimePoint Now) {
  Forecast Out;
  Out.Term = Cell.Fence;
  std::set<int> Levels;
  for (const auto &[Service, Priorities] : Cell.Forecasts.Priorities)
    for (const auto &[Priority, Kept] : Priorities)
      Levels.insert(Priority);
  WaitingWork Work(Cell, Now);
  const PreemptibleWork Preemptible =
      Cell.InForce.Admission ? collectPreemptible(Cell) : PreemptibleWork();
  OrganisationWork UrgentWithinShare, UrgentOverShare;
  const bool HasShares = hasShares(Cell);
  for (const bool IsOverShare : {false, true}) {
    if (IsOverShare && !HasShares)
      break;
    for (const int Priority : Levels) {
      Work.addThrough(IsOverShare, Priority);
      if (Priority == *Levels.begin())
        (IsOverShare ? UrgentOverShare : UrgentWithinShare) = Work.ByOrganisation;
      for (const auto &[Service, Priorities] : Cell.Forecasts.Priorities) {
        const auto Kept = Priorities.find(Priority);
        if (Kept == Priorities.end())
          continue;
        ClassForecast Class;
        if (Cell.InForce.Admission) {
          ServiceLoad Load = loadWhenFull(Cell, Service);
          Load.Free += preemptibleBy(Preemptible, Service, IsOverShare, Priority);
          Class =
              classForecast(Load, Work.ByService[Service] + rounded(Kept->second.FirstNeed), Now);
        }
        considerStarts(Cell, Work.Starts, Class);
        Class.IsOverShare = IsOverShare;
        Class.Priority = Priority;
        Class.StartsPerSecond = Kept->second.Starts[IsOverShare ? 1 : 0].PerSecond;
        Out.Services[Service].push_back(Class);
      }
    }
  }
  if (Cell.InForce.LearnRunTimes)
    for (const auto &[Queue, Times] : Cell.RunTimes.Queues)
      Out.RunTimeRatios[Queue] = runTimeRatio(Cell.RunTimes, Queue, Now);
  const WallTime Wall = wallTimeAt(Cell, Now);
  for (const auto &[Name, Org] : Cell.Organisations)
    if (isNextJobOverShare(Org, Wall))
      Out.OverShareOrganisations.insert(Name);
  addOrganisationWaits(Cell, UrgentWithinShare, UrgentOverShare, Now, Out);
  return Out;
}

void updateForecast(CellState &Cell, TimePoint Now) {
  ForecastState &State = Cell.Forecasts;
  if (!mayRefuse(Cell.InForce) || Now < State.NextAt)
    return;
  State.NextAt = Now + ForecastInterval;
  const TimePoint Before = std::exchange(State.UpdatedAt, Now);
  if (Before != TimePoint{} && Now > Before) {
    const std::chrono::duration<double> Elapsed = Now - Before;
    updateStartRates(State, Elapsed);
    if (Cell.InForce.Admission)
      updateTurnovers(Cell, Elapsed);
  }
  if (Cell.InForce.Admission)
    updateQuotas(Cell, Now);
  if (!Cell.Loaded || Now - State.LoadedAt < ForecastDelayAfterLoad)
    return;
  if (!Cell.InForce.Admission && !Cell.StartRate) {
    State.Latest = nullptr; // nobody has to wait
    return;
  }
  State.Latest = std::make_shared<const Forecast>(forecastOf(Cell, Now));
  State.LatestAt = Now;
}

std::shared_ptr<const Forecast> publishedForecast(const CellState &Cell, TimePoint Now) {
  return Now - Cell.Forecasts.LatestAt <= MaxPublishedAge ? Cell.Forecasts.Latest : nullptr;
}

void setForecastClasses(CellState &Cell, const CellConfiguration &Config) {
  auto Before = std::exchange(Cell.Forecasts.Priorities, {});
  for (const Queue &Each : Config.Queues)
    Cell.Forecasts.Priorities[Each.Service][Each.Priority] = Before[Each.Service][Each.Priority];
}

void resetForecasts(ForecastState &State) {
  ForecastState Empty;
  Empty.LoadedAt = State.LoadedAt;
  for (const auto &[Service, Priorities] : State.Priorities)
    for (const auto &[Priority, Kept] : Priorities)
      Empty.Priorities[Service][Priority] = {};
  State = std::move(Empty);
}

void noteAccepted(CellState &Cell, const Job &J, TimePoint Now) {
  if (!mayRefuse(Cell.InForce))
    return;
  const auto Round = J.Rounds.find(0);
  if (Round == J.Rounds.end() || Round->second.Steps.empty())
    return;
  const StepState &First = Round->second.Steps.front();
  if (PriorityState *Kept = findPriority(Cell, J))
    updateMean(Kept->FirstNeed, needOf(First) * (First.Spec->Gang ? First.Spec->Count : 1));
  if (J.Owner && J.Owner->Maximum != Resources{})
    updateMean(Cell.Forecasts.FirstNeeds[J.Owner->Name], minCharge(*First.Spec));
  const auto Latest = publishedForecast(Cell, Now);
  const auto Wait = Latest ? waitOf(*Latest, J) : std::nullopt;
  if (Wait && Cell.Forecasts.AtAcceptance.size() < MaxKeptForecasts)
    Cell.Forecasts.AtAcceptance.emplace(J.Spec->Id, *Wait);
}

void noteFirstStart(CellState &Cell, const Job &J, TimePoint Now, Effects &Out) {
  ForecastState &State = Cell.Forecasts;
  if (!mayRefuse(Cell.InForce))
    return;
  if (PriorityState *Kept = findPriority(Cell, J))
    ++Kept->Starts[J.IsOverShare ? 1 : 0].SinceUpdate;
  const auto Found = State.AtAcceptance.find(J.Spec->Id);
  if (Found == State.AtAcceptance.end())
    return;
  const auto Waited = std::chrono::duration_cast<Milliseconds>(
      Now - J.Rounds.begin()->second.Steps.front().RunnableSince);
  const Milliseconds Error = std::chrono::abs(Waited - Found->second);
  const bool IsLarge = Error > std::max(MinLargeError, Waited / 2);
  const bool IsLogged = IsLarge && Now >= State.NextErrorLog;
  if (IsLogged)
    State.NextErrorLog = Now + LargeErrorLogInterval;
  Out.ForecastErrors.push_back({J.Spec->Id, Found->second, Waited, IsLogged});
  State.AtAcceptance.erase(Found);
}

} // namespace valveshelf::sched
