// SPDX-License-Identifier: Apache-2.0
// State of the admission control of a process.
#include "admission/admission_control.h"

#include <xxhash.h>

namespace valveshelf::admission {
namespace {
// How often the scheduler in the same process is asked; it computes forecasts no more often.
constexpr Milliseconds LocalForecastInterval{100};
// While jobs are refused with an older forecast, a new one is asked for, no more often than this.
constexpr Milliseconds RequestInterval{300};

// Different in each process, evenly distributed from 0 to 1.
double phaseOf(const std::string &Member) {
  return static_cast<double>(XXH3_64bits(Member.data(), Member.size()) >> 11) * 0x1p-53;
}
} // namespace

AdmissionControl::AdmissionControl(Clock Time, const std::string &Member, Sources From)
    : Time(std::move(Time)), Phase(phaseOf(Member)), From(std::move(From)) {}

void AdmissionControl::applyFeatures(const Features &Now) {
  InForce = Now;
  if (!mayRefuse(InForce))
    State = {};
}

void AdmissionControl::receive(std::optional<Forecast> Received) {
  if (mayRefuse(InForce) && Received)
    receiveForecast(State, std::move(*Received), Time.Now());
}

void AdmissionControl::readLocalForecast() {
  if (!State.Last || Time.Now() - State.ReceivedAt >= LocalForecastInterval)
    receive(From.Local());
}

std::optional<Refuse> AdmissionControl::refusal(const JobDemand &Job, ProcessView View) {
  if (!mayRefuse(InForce))
    return std::nullopt;
  readLocalForecast();
  View.Phase = Phase;
  const TimePoint Now = Time.Now();
  Decision Made = decide(State, Job, View, Now);
  Refuse *Refusal = std::get_if<Refuse>(&Made);
  if (!Refusal)
    return std::nullopt;
  if (Now - State.ReceivedAt >= RequestInterval && Now - RequestedAt >= RequestInterval) {
    RequestedAt = Now;
    From.Request();
  }
  return std::move(*Refusal);
}

std::string AdmissionControl::describe(const std::optional<uint64_t> &LeaderTerm,
                                       std::string_view SchedulerLoad) {
  if (mayRefuse(InForce))
    readLocalForecast();
  return describeOverload(State, InForce, LeaderTerm, SchedulerLoad, Time.Now());
}

} // namespace valveshelf::admission
