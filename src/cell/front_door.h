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

/// Lives on one strand.
class FrontDoor {
public:
  FrontDoor(const CellSettings &Settings, Clock Time, CallerCodec Codec, KeyValueStore Store,
            const ConfigWatch &Config, const CellView &View, const Leadership &Lead, Intake &In,
            const CellLink &Peers, std::function<std::chrono::seconds()> RetryAfterOutage);

  Awaitable<HttpResponse> answer(std::string Method, std::string Target, std::string Host,
                                 std::string Body);
  /// This process's answers to its peers, if it schedules.
  cell::JobStateReply jobState(const cell::JobStateRequest &Asked) const;
  cell::WaitingReply waiting(const cell::WaitingRequest &Asked) const;

private:
  HttpResponse refusal(const Error &Why, const std::string &Job) const;
  Awaitable<HttpResponse> submit(const sched::Queue &To, sched::JobId Id, std::string Body);
  Awaitable<HttpResponse> state(sched::JobId Id);
  Awaitable<HttpResponse> cancel(sched::JobId Id);
  Awaitable<HttpResponse> countWaiting(std::string Queue);
  /// Empty if the scheduler can't be asked or does not know the job.
  Awaitable<std::string> askScheduler(sched::JobId Id, Milliseconds Timeout);
  Awaitable<Result<std::string>> readState(sched::JobId Id);

  const CellSettings &Settings;
  const Clock Time;
  const CallerCodec Codec;
  const KeyValueStore Store;
  const ConfigWatch &Config;
  const CellView &View;
  const Leadership &Lead;
  Intake &In;
  const CellLink &Peers;
  const std::function<std::chrono::seconds()> RetryAfterOutage;
};

} // namespace valveshelf
