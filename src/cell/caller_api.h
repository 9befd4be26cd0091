// SPDX-License-Identifier: Apache-2.0
// What callers ask of an entry process: hand a job in, see its state, cancel it, count what waits.
#pragma once

#include "cell/cell_view.h"
#include "cell/config_watch.h"
#include "cell/intake.h"
#include "cell/leadership.h"
#include "valveshelf/cell_link.h"
#include "valveshelf/http.h"

#include <functional>
#include <string>

namespace valveshelf {

/// The wire form of submissions and answers.
struct CallerCodec {
  std::function<Result<sched::JobSpec>(std::string_view Body)> DecodeSubmission;
  std::function<std::string(std::string_view State)> EncodeState;
  std::function<std::string(uint64_t Count)> EncodeWaiting;
};

/// A request of a caller, read whole.
struct CallerRequest {
  std::string Method;
  std::string Target;
  std::string Host;
  std::optional<std::string> Key; ///< Empty: none that could be one.
  std::string Body;
};

/// Lives on one strand.
class CallerApi {
public:
  CallerApi(const CellSettings &Settings, Clock Time, CallerCodec Codec, KeyValueStore Store,
            const ConfigWatch &Config, CellView &View, const Leadership &Lead, Intake &In,
            const CellLink &Peers, std::function<std::chrono::seconds()> RetryAfterOutage);

  Awaitable<HttpResponse> answer(CallerRequest Request);
  /// This process's answers to its peers, if it schedules.
  cell::JobStateReply jobState(const cell::JobStateRequest &Request) const;
  cell::WaitingReply waiting(const cell::WaitingRequest &Request) const;

private:
  /// What the scheduler says of a job; an empty state: it can't be asked or does not know the job.
  struct JobStatus {
    std::string State;
    std::string Organisation;
  };
  HttpResponse refusal(const Error &Why, const std::string &Job) const;
  /// Whom the caller speaks for; empty where no key is needed.
  Result<std::string> identify(const sched::Queue &To, const CallerRequest &Request) const;
  Awaitable<HttpResponse> submit(const sched::Queue &To, sched::JobId Id, std::string Caller,
                                 std::string Body);
  Awaitable<HttpResponse> state(sched::JobId Id, std::string Caller);
  Awaitable<HttpResponse> cancel(sched::JobId Id, std::string Caller);
  Awaitable<HttpResponse> countWaiting(std::string Queue);
  Awaitable<JobStatus> askScheduler(sched::JobId Id, Milliseconds Timeout);
  Awaitable<Result<JobStatus>> readState(sched::JobId Id);

  const CellSettings &Settings;
  const Clock Time;
  const CallerCodec Codec;
  const KeyValueStore Store;
  const ConfigWatch &Config;
  CellView &View;
  const Leadership &Lead;
  Intake &In;
  const CellLink &Peers;
  const std::function<std::chrono::seconds()> RetryAfterOutage;
};

} // namespace valveshelf
