// SPDX-License-Identifier: Apache-2.0
// The admission control of a process: holds the state of `decide`, takes in forecasts, and is
// switched on and off with the operators' configuration.
#pragma once

#include "admission/admission.h"
#include "valveshelf/coroutines.h"

#include <functional>
#include <string>

namespace valveshelf::admission {

/// Not thread-safe: all calls come from its strand.
class AdmissionControl {
public:
  struct Sources {
    /// The forecast of the scheduler in this process, empty if there is none. Called at most every
    /// 100 ms while there is one.
    std::function<std::optional<Forecast>()> Local;
    /// Asks the scheduler for a forecast, to be passed to `receive`. A process that refuses all
    /// jobs announces none, and would otherwise get no forecast with the answers.
    std::function<void()> Request;
  };
  /// \p Member: name of the process.
  AdmissionControl(Clock Time, const std::string &Member, Sources From);

  /// Switching admission off clears all state.
  void applyFeatures(const Features &Now);
  const Features &features() const { return InForce; }
  /// Takes in the forecast of a message; empty: the message had none.
  void receive(std::optional<Forecast> Received);
  /// Empty: the job is admitted. \p View needs no phase. Until it is confirmed, a refusal leaves
  /// no trace in the return schedule.
  std::optional<Refuse> refusal(const JobDemand &Job, ProcessView View);
  /// Must be called before a refusal is passed on to the caller; sets its return.
  void confirm(Refuse &Refusal) { admission::confirm(State, Refusal, Time.Now()); }
  /// JSON for operators. \p SchedulerLoad: what the scheduler in this process adds to it, as JSON;
  /// empty if there is none.
  std::string describe(const std::optional<uint64_t> &LeaderTerm, std::string_view SchedulerLoad);

private:
  void readLocalForecast();

  const Clock Time;
  const double Phase;
  const Sources From;
  Features InForce;
  TimePoint RequestedAt{}; ///< When a forecast was last asked for.
  AdmissionState State;    ///< Empty while admission is off.
};

} // namespace valveshelf::admission
