// SPDX-License-Identifier: Apache-2.0
// Forecasts, waits with hysteresis, and the decision on a job.
#include "admission/admission.h"

#include <boost/json.hpp>

#include <algorithm>
#include <cmath>

namespace valveshelf::admission {
namespace {
using std::chrono::seconds;
using FractionalMs = std::chrono::duration<double, std::milli>;

// The trend is not updated from forecasts closer than this.
constexpr Milliseconds MinTrendSpan{20};
// A class that starts nothing is still tried this often, over all processes.
constexpr double MinReturnsPerSecond = 1;
// The part of the starts that returning callers get while the scheduler can't order all: they are
// late already, and new jobs can still be in time.
constexpr double ReturnsPart = 0.25;
// A class counts as refusing for this long after a refusal.
constexpr Milliseconds RefusingTime{2000};

Milliseconds rounded(FractionalMs Time) { return std::chrono::round<Milliseconds>(Time); }

void hold(SmoothedWait &Wait, Milliseconds Current) {
  const Milliseconds Most = rounded(FractionalMs(Wait.Forecast) / EndOfRefusal);
  Wait.Held = std::clamp(Wait.Held, Current, std::max(Current, Most));
}

// \p Since: time since the previous forecast of the same term; empty if there is none.
void update(SmoothedWait &Wait, Milliseconds Now, std::optional<Milliseconds> Since) {
  if (!Since) {
    Wait.Trend = 0;
  } else if (*Since >= MinTrendSpan) {
    const double Rise = FractionalMs(Now - Wait.Forecast) / FractionalMs(*Since);
    const double Change = std::clamp(Rise, 0.0, MaxTrend);
    const Milliseconds Window = Change > Wait.Trend ? TrendRiseTime : TrendFallTime;
    Wait.Trend += (Change - Wait.Trend) * (FractionalMs(*Since) / FractionalMs(*Since + Window));
  }
  Wait.Forecast = Now;
  hold(Wait, Now);
}

Milliseconds waitAfter(SmoothedWait &Wait, Milliseconds Age) {
  const Milliseconds Rise = rounded(FractionalMs(Age + ForecastDelay) * Wait.Trend);
  const Milliseconds Current = Wait.Forecast + std::min(Rise, Wait.Forecast);
  hold(Wait, Current);
  return Current;
}

double ratioOf(const Forecast &From, const std::string &Queue) {
  const auto Found = From.RunTimeRatios.find(Queue);
  const bool Known =
      Found != From.RunTimeRatios.end() && std::isfinite(Found->second) && Found->second > 0;
  return Known ? Found->second : 1.0;
}

std::string secondsText(Milliseconds Time) {
  const auto Tenths = std::chrono::round<std::chrono::duration<int64_t, std::deci>>(Time).count();
  return std::to_string(Tenths / 10) + "." + std::to_string(Tenths % 10) + " s";
}

std::string reasonText(const Refuse &Refusal) {
  return "the service is overloaded: the first start in class " + toString(Refusal.Class) +
         " is forecast in " + secondsText(Refusal.Wait) + ", and the job has " +
         secondsText(std::max(Refusal.MostWait, Milliseconds(0))) + " until it would be late";
}
} // namespace

std::string toString(const ClassKey &Class) {
  return Class.Service + (Class.IsOverShare ? "/over-share/" : "/within-share/") +
         std::to_string(Class.Priority);
}

JobDemand demandOf(const sched::JobSpec &Spec) {
  JobDemand Job{Spec.Queue, Spec.Service, Spec.Organisation, Spec.Priority};
  Job.CriticalPathFactor = Spec.CriticalPathFactor;
  Job.ObjectiveSlack = Spec.ObjectiveSlack;
  Job.IsTimed = Spec.Repetitions > 0;
  std::vector<Milliseconds> Ends(Spec.Steps.size());
  for (size_t I = 0; I < Spec.Steps.size(); ++I) {
    Milliseconds LatestInput{0};
    for (const uint32_t Earlier : Spec.Steps[I].DependsOn)
      LatestInput = std::max(LatestInput, Ends.at(Earlier));
    Ends[I] = LatestInput + Spec.Steps[I].Estimate;
    Job.HasEstimates = Job.HasEstimates && Spec.Steps[I].Estimate > Milliseconds(0);
    Job.Chain = std::max(Job.Chain, Ends[I]);
    Job.IsLongRunning = Job.IsLongRunning || Spec.Steps[I].LongRunning;
  }
  return Job;
}

void receiveForecast(AdmissionState &State, Forecast Received, TimePoint Now) {
  if (State.Last && Received.Term < State.Last->Term)
    return;
  std::optional<Milliseconds> Since;
  if (State.Last && State.Last->Term == Received.Term && Now - State.ReceivedAt <= MaxForecastAge)
    Since = std::chrono::duration_cast<Milliseconds>(Now - State.ReceivedAt);
  if (State.Last && State.Last->Term != Received.Term) {
    for (auto &[Key, Class] : State.Classes)
      Class.Wait = {};
    State.Organisations.clear();
  }
  std::map<ClassKey, ClassState> Classes;
  for (const auto &[Service, Forecasts] : Received.Services)
    for (const ClassForecast &One : Forecasts) {
      const ClassKey Key{Service, One.IsOverShare, One.Priority};
      const auto Known = State.Classes.find(Key);
      ClassState Class = Known == State.Classes.end() ? ClassState{} : Known->second;
      // A wait that was not known before has not risen.
      update(Class.Wait, One.Wait, Class.Confidence > 0 ? Since : std::nullopt);
      Class.Confidence = One.Confidence;
      Class.IsByStarts = One.IsByStarts;
      Class.StartsPerSecond = One.StartsPerSecond;
      Classes.emplace(Key, Class);
    }
  std::map<std::string, SmoothedWait> Organisations;
  for (const auto &[Name, Wait] : Received.OrganisationWaits) {
    const auto Known = State.Organisations.find(Name);
    const bool IsNew = Known == State.Organisations.end();
    SmoothedWait Smoothed = IsNew ? SmoothedWait{} : Known->second;
    update(Smoothed, Wait, IsNew ? std::nullopt : Since);
    Organisations.emplace(Name, Smoothed);
  }
  State.Classes = std::move(Classes);
  State.Organisations = std::move(Organisations);
  State.Last = std::move(Received);
  State.ReceivedAt = Now;
}

bool isUsable(const AdmissionState &State, const std::optional<uint64_t> &LeaderTerm,
              TimePoint Now) {
  return State.Last && LeaderTerm && State.Last->Term == *LeaderTerm &&
         Now - State.ReceivedAt <= MaxForecastAge;
}

Decision decide(AdmissionState &State, const JobDemand &Job, const ProcessView &View,
                TimePoint Now) {
  if (Job.IsLongRunning || Job.IsTimed || !Job.HasEstimates || Job.MayBeStored ||
      !isUsable(State, View.LeaderTerm, Now))
    return Admit{};
  const Forecast &From = *State.Last;
  const bool IsOverShare = From.OverShareOrganisations.count(Job.Organisation) > 0;
  const auto Found = State.Classes.find({Job.Service, IsOverShare, Job.Priority});
  if (Found == State.Classes.end() || Found->second.Confidence < MinConfidence)
    return Admit{};
  ClassState &Class = Found->second;

  const auto Age = std::chrono::duration_cast<Milliseconds>(Now - State.ReceivedAt);
  Milliseconds Known = Class.Wait.Forecast;
  Milliseconds Wait = waitAfter(Class.Wait, Age);
  Milliseconds Held = Class.Wait.Held;
  if (const auto Own = State.Organisations.find(Job.Organisation);
      Own != State.Organisations.end()) {
    Known = std::max(Known, Own->second.Forecast);
    Wait = std::max(Wait, waitAfter(Own->second, Age));
    Held = std::max(Held, Own->second.Held);
  }
  if (Known < MinOverloadWait)
    return Admit{};
  const FractionalMs Chain = FractionalMs(Job.Chain) * ratioOf(From, Job.Queue);
  const Milliseconds Span = rounded(Chain * Job.CriticalPathFactor) + Job.ObjectiveSlack;
  Milliseconds MostWait = Span - rounded(Chain);
  if (Class.IsByStarts)
    MostWait = std::min(MostWait, MaxWaitForStarts);
  if (Held + View.StoreTime <= MostWait)
    return Admit{};

  Refuse Refusal{Found->first, Wait + View.StoreTime, MostWait, {}, {}, {}};
  ReturnBounds &Bounds = Refusal.Bounds;
  const double ForReturns =
      Class.IsByStarts ? Class.StartsPerSecond * ReturnsPart : Class.StartsPerSecond;
  Bounds.PerSecond =
      std::max(ForReturns, MinReturnsPerSecond) / static_cast<double>(std::max(View.Processes, 1U));
  Bounds.Phase = View.Phase;
  Bounds.Earliest = std::max(
      Milliseconds(0),
      Refusal.Wait - std::max(Milliseconds(0), rounded(FractionalMs(MostWait) * EndOfRefusal)));
  Bounds.Horizon = std::chrono::floor<seconds>(std::max(Span, Milliseconds(0)) * UselessAfterSpans);
  Refusal.Reason = reasonText(Refusal);
  return Refusal;
}

void confirm(AdmissionState &State, Refuse &Refusal, TimePoint Now) {
  const auto Found = State.Classes.find(Refusal.Class);
  if (Found == State.Classes.end()) {
    // The class has left the forecast since the decision.
    ReturnSchedule Unshared;
    Refusal.Return = promiseReturn(Unshared, Refusal.Bounds, Now);
    return;
  }
  Refusal.Return = promiseReturn(Found->second.Returns, Refusal.Bounds, Now);
  ++Found->second.Refused;
  Found->second.RefusedAt = Now;
}

namespace {
namespace json = boost::json;

json::object describeForecast(const AdmissionState &State, bool IsUsed, TimePoint Now) {
  json::object Services;
  for (const auto &[Service, Classes] : State.Last->Services) {
    json::array Rows;
    for (const ClassForecast &One : Classes)
      Rows.push_back({{"over_share", One.IsOverShare},
                      {"priority", One.Priority},
                      {"wait_ms", One.Wait.count()},
                      {"confidence", One.Confidence},
                      {"starts_per_second", One.StartsPerSecond},
                      {"by_starts", One.IsByStarts}});
    Services[Service] = std::move(Rows);
  }
  json::object Waits;
  for (const auto &[Name, Wait] : State.Last->OrganisationWaits)
    Waits[Name] = Wait.count();
  json::object Ratios;
  for (const auto &[Queue, Ratio] : State.Last->RunTimeRatios)
    Ratios[Queue] = Ratio;
  const auto &Over = State.Last->OverShareOrganisations;
  const auto Age = std::chrono::duration_cast<Milliseconds>(Now - State.ReceivedAt);
  return {{"term", State.Last->Term},
          {"age_ms", Age.count()},
          {"used", IsUsed},
          {"services", std::move(Services)},
          {"organisation_wait_ms", std::move(Waits)},
          {"over_share", json::array(Over.begin(), Over.end())},
          {"run_time_ratios", std::move(Ratios)}};
}
} // namespace

std::string describeOverload(const AdmissionState &State, const Features &InForce,
                             const std::optional<uint64_t> &LeaderTerm,
                             std::string_view SchedulerLoad, TimePoint Now) {
  json::array Refusing;
  json::array Promised;
  for (const auto &[Key, Class] : State.Classes) {
    if (Class.RefusedAt && Now - *Class.RefusedAt <= RefusingTime)
      Refusing.push_back({{"class", toString(Key)},
                          {"held_wait_ms", Class.Wait.Held.count()},
                          {"refused", Class.Refused}});
    json::object BySecond;
    for (seconds Ahead{0}; Ahead <= MaxReturnHorizon; ++Ahead)
      if (const uint32_t Count = promisedIn(Class.Returns, Ahead, Now); Count > 0)
        BySecond[std::to_string(Ahead.count())] = Count;
    if (!BySecond.empty())
      Promised.push_back({{"class", toString(Key)},
                          {"by_seconds_ahead", std::move(BySecond)},
                          {"beyond_part", Class.Returns.BeyondPart}});
  }
  json::object Page{{"features", json::object{{"share_advice", InForce.ShareAdvice},
                                              {"order", InForce.OverloadOrder},
                                              {"admission", InForce.Admission},
                                              {"learn_run_times", InForce.LearnRunTimes},
                                              {"copies", InForce.Copies}}},
                    {"forecast", nullptr},
                    {"refusing", std::move(Refusing)},
                    {"promised_returns", std::move(Promised)}};
  if (State.Last)
    Page["forecast"] = describeForecast(State, isUsable(State, LeaderTerm, Now), Now);
  json::error_code Unreadable;
  if (json::value Load = json::parse(SchedulerLoad, Unreadable); !Unreadable)
    Page["scheduler"] = std::move(Load);
  return json::serialize(Page);
}

} // namespace valveshelf::admission
