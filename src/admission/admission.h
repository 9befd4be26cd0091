// SPDX-License-Identifier: Apache-2.0
// Whether a process accepts a new job. While callers submit more than a service can finish, a job
// that the scheduler's forecast shows to be late is refused before anything is written, because
// serving it would make others late. Without a usable forecast every job is accepted.
// docs/design/admission.md has the reasons.
//
// `decide` is a pure function of state, demand and time. Not thread-safe.
#pragma once

#include "admission/return_schedule.h"
#include "valveshelf/features.h"
#include "valveshelf/forecast.h"
#include "valveshelf/workload.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>

namespace valveshelf::admission {

/// Older forecasts are not used: one second of a burst changes the wait by several seconds.
inline constexpr Milliseconds MaxForecastAge{1000};
/// Below it, a forecast is no better than a guess.
inline constexpr double MinConfidence = 0.5;
/// Shorter waits for a first start are not overload: the scheduler updates its loads this often.
inline constexpr Milliseconds MinOverloadWait{100};
/// A job is refused from a wait beyond what it allows until the wait is below this part of it.
inline constexpr double EndOfRefusal = 0.7;
/// The longest wait with which a job is accepted while the scheduler has more starts to order than
/// it can do, whatever its objective: work that has been accepted must not wait for long.
inline constexpr Milliseconds MaxWaitForStarts{1000};
/// A result is of no use after this multiple of the objective's span.
inline constexpr int UselessAfterSpans = 3;

/// A class of a service's queue.
struct ClassKey {
  std::string Service;
  bool IsOverShare = false;
  int Priority = 0;
  friend bool operator<(const ClassKey &A, const ClassKey &B) {
    return std::tie(A.Service, A.IsOverShare, A.Priority) <
           std::tie(B.Service, B.IsOverShare, B.Priority);
  }
};
/// SERVICE/within-share/PRIORITY or SERVICE/over-share/PRIORITY.
std::string toString(const ClassKey &Class);

/// A wait from forecasts. It follows a rise at once, and a fall only when the wait is below
/// `EndOfRefusal` of it, so that a forecast that swings does not alternate between decisions,
/// whatever wait a job allows. The wait at the time of a decision is extrapolated by its trend:
/// otherwise, all jobs that come until the next forecast are decided on the same wait.
struct SmoothedWait {
  Milliseconds Forecast{0}; ///< As last received.
  double Trend = 0;         ///< Rise of `Forecast` per time, at least 0; a moving average over
                            ///< `TrendRiseTime` while it grows, else over `TrendFallTime`.
  Milliseconds Held{0};     ///< What decisions use. Invariant: Forecast <= Held.
};
inline constexpr Milliseconds TrendRiseTime{50};
inline constexpr Milliseconds TrendFallTime{1000};
/// A burst at five times the capacity. A wait that rises faster has another cause, such as lost
/// workers, and is not extrapolated further; nor is one to more than twice its forecast.
inline constexpr double MaxTrend = 4;
/// From the acceptance of a job until the forecast that counts it is received: a write, an
/// announcement, and a part of the interval between forecasts.
inline constexpr Milliseconds ForecastDelay{100};

struct ClassState {
  SmoothedWait Wait;
  double Confidence = 0;
  bool IsByStarts = false; ///< As in `ClassForecast`.
  double StartsPerSecond = 0;
  ReturnSchedule Returns;
  uint64_t Refused = 0;
  std::optional<TimePoint> RefusedAt; ///< The last time; empty: never.
};

/// What a process knows. Bounded by the classes and organisations of one forecast.
struct AdmissionState {
  std::optional<Forecast> Last;
  TimePoint ReceivedAt{}; ///< Of Last.
  std::map<ClassKey, ClassState> Classes;
  std::map<std::string, SmoothedWait> Organisations; ///< Those at their maximum.
};

/// A job to be decided on.
struct JobDemand {
  std::string Queue;
  std::string Service;
  std::string Organisation; ///< Empty: none.
  int Priority = 0;
  Milliseconds Chain{0}; ///< The longest chain of estimates.
  double CriticalPathFactor = 1;
  Milliseconds ObjectiveSlack{0};
  bool HasEstimates = true; ///< Of all its steps. Without one, its objective is not known here.
  bool IsLongRunning = false;
  bool IsTimed = false;
  bool MayBeStored = false; ///< An earlier submission may have been written.
};
JobDemand demandOf(const sched::JobSpec &Spec);

/// What the process knows besides the forecast.
struct ProcessView {
  std::optional<uint64_t> LeaderTerm; ///< Of the scheduler it knows.
  Milliseconds StoreTime{0};          ///< Of the store's recent writes.
  uint32_t Processes = 1;             ///< In the cell.
  double Phase = 0;                   ///< As in `ReturnBounds`.
};

struct Admit {};
struct Refuse {
  ClassKey Class;
  Milliseconds Wait{0};     ///< Forecast wait for the first start, with the store's time.
  Milliseconds MostWait{0}; ///< The longest wait with which the job meets its objective.
  ReturnBounds Bounds;      ///< Of the return.
  PromisedReturn Return;    ///< Set by `confirm`.
  std::string Reason;       ///< For the caller.
};
using Decision = std::variant<Admit, Refuse>;

/// Takes in a forecast received at \p Now. One from an earlier term than the last is ignored.
void receiveForecast(AdmissionState &State, Forecast Received, TimePoint Now);
/// Decides on a job; changes only what is known of the waits. A refusal must be confirmed before it
/// is passed on to the caller.
Decision decide(AdmissionState &State, const JobDemand &Job, const ProcessView &View,
                TimePoint Now);
/// Counts a refusal that is passed on to the caller, and promises a return.
void confirm(AdmissionState &State, Refuse &Refusal, TimePoint Now);
/// True if decisions rest on the last forecast.
bool isUsable(const AdmissionState &State, const std::optional<uint64_t> &LeaderTerm,
              TimePoint Now);

/// JSON for operators: features in force, forecast, refusing classes, promised returns and, on the
/// scheduler, its load (JSON; else empty).
std::string describeOverload(const AdmissionState &State, const Features &InForce,
                             const std::optional<uint64_t> &LeaderTerm,
                             std::string_view SchedulerLoad, TimePoint Now);

} // namespace valveshelf::admission
