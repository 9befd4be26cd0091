// SPDX-License-Identifier: Apache-2.0
// The HTTP API for callers of an entry process: submit a job, query its state, cancel it, and count
// the waiting jobs of a queue.
#pragma once

#include "admission/admission_control.h"
#include "cell/cell_view.h"
#include "cell/config_watch.h"
#include "cell/intake.h"
#include "cell/leadership.h"
#include "valveshelf/cell_link.h"
#include "valveshelf/http.h"

#include <functional>
#include <string>

namespace valveshelf {

/// Encodes and decodes the bodies of requests and responses.
struct CallerCodec {
  std::function<Result<sched::JobSpec>(std::string_view Body)> DecodeSubmission;
  std::function<std::string(std::string_view State)> EncodeState;
  std::function<std::string(uint64_t Count)> EncodeWaiting;
};

/// A complete request of a caller.
struct CallerRequest {
  std::string Method;
  std::string Target;
  std::string Host;
  std::optional<std::string> Key; ///< The API key; empty: none, or malformed.
  std::string Body;
};

/// A call that comes before the first configuration waits for it, for at most this time.
inline constexpr Milliseconds FirstConfigurationWait{1000};
/// Further calls are refused at once; bounds the bodies held in memory.
inline constexpr size_t MaxCallsAwaitingConfiguration = 256;

/// True if a call without a configuration may wait for it. \p Waiting: calls that do already.
constexpr bool mayAwaitConfiguration(size_t Waiting, bool IsStopping) {
  return !IsStopping && Waiting < MaxCallsAwaitingConfiguration;
}

/// Not thread-safe: all calls come from its strand.
class CallerApi {
public:
  CallerApi(const CellSettings &Settings, Clock Time, CallerCodec Codec, KeyValueStore Store,
            ConfigWatch &Config, CellView &View, const Leadership &Lead, Intake &In,
            const CellLink &Peers, std::function<std::chrono::seconds()> RetryAfterOutage,
            admission::AdmissionControl &Admission, CellMetrics &Metrics);

  Awaitable<HttpResponse> answer(CallerRequest Request);
  /// From now on, no call waits for the first configuration; those that do are answered at once.
  void beginStop();
  /// Answer queries of peers. NotOwner: this process is not the scheduler.
  cell::JobStateReply jobState(const cell::JobStateRequest &Request) const;
  cell::WaitingReply waiting(const cell::WaitingRequest &Request) const;

private:
  /// State and owner of a job. An empty state: the scheduler can't be reached or does not know it.
  struct JobStatus {
    std::string State;
    std::string Organisation;
  };
  HttpResponse refusal(const Error &Why, const std::string &Job) const;
  /// The same for a call that was not taken. If the store can't be reached, nothing rules out that
  /// another attempt at a submission is written: the outcome is unknown.
  HttpResponse notTaken(Error Why, const std::string &Job) const;
  /// Authenticates the caller; returns its organisation, empty where no key is required.
  Result<std::string> identify(const sched::Queue &To, const CallerRequest &Request) const;
  /// Null: there is none within `FirstConfigurationWait`, or the call may not wait.
  Awaitable<sched::ConfigurationPtr> firstConfiguration();
  /// \p SeenRevision: as in `SubmitBounds`.
  Awaitable<HttpResponse> submit(const sched::Queue &To, sched::JobId Id, std::string Caller,
                                 std::string Body, uint64_t SeenRevision);
  /// The answer to a job that is refused because of overload; empty: it is admitted.
  Awaitable<std::optional<HttpResponse>> refuseOverload(const sched::JobSpec &Spec,
                                                        TimePoint ReceivedAt);
  Awaitable<HttpResponse> state(sched::JobId Id, std::string Caller);
  Awaitable<HttpResponse> cancel(sched::JobId Id, std::string Caller);
  Awaitable<HttpResponse> countWaiting(std::string Queue);
  Awaitable<JobStatus> askScheduler(sched::JobId Id, Milliseconds Timeout);
  Awaitable<Result<JobStatus>> readState(sched::JobId Id);

  const CellSettings &Settings;
  const Clock Time;
  const CallerCodec Codec;
  const KeyValueStore Store;
  ConfigWatch &Config;
  CellView &View;
  const Leadership &Lead;
  Intake &In;
  const CellLink &Peers;
  const std::function<std::chrono::seconds()> RetryAfterOutage;
  admission::AdmissionControl &Admission;
  CellMetrics &Metrics;
  size_t CallsAwaitingConfiguration = 0; ///< At most `MaxCallsAwaitingConfiguration`.
  bool IsStopping = false;
};

} // namespace valveshelf
