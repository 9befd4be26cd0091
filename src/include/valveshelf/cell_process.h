// SPDX-License-Identifier: Apache-2.0
// One entry process of a cell on the users' platform, whole: servers for callers, readiness,
// metrics and peers around the intake, the configuration and, while it holds the claim, the
// scheduler.
#pragma once

#include "valveshelf/cell_link.h"
#include "valveshelf/cell_settings.h"
#include "valveshelf/coroutines.h"
#include "valveshelf/http.h"
#include "valveshelf/key_value_store.h"
#include "valveshelf/store_path.h"
#include "valveshelf/traffic.h"
#include "valveshelf/worker_link.h"
#include "valveshelf/workload.h"

#include <functional>
#include <memory>
#include <string>

namespace valveshelf {

/// The platform as a cell process needs it.
struct CellPlatform {
  StoreRouter::DirectCall CallStore; ///< Straight to the store.
  HttpRequest StoreProbe;            ///< A harmless read.
  std::function<KeyValueStore(StoreTransport)> OpenStore;
  WorkerLink Workers;
  AdviceLink Advice;
  std::string CallerKeyHeader; ///< The header field with a caller's key.
  OperatorKeys Operators;
  std::string WorkerPrefix;
  std::function<Result<sched::CellConfiguration>(std::string_view)> DecodeConfiguration;
  std::function<Result<sched::WorkerInfo>(std::string_view Id, std::string_view)> DecodeWorker;
  std::function<Result<sched::JobSpec>(std::string_view)> DecodeSubmission;
  std::function<std::string(std::string_view)> EncodeState;
  std::function<std::string(uint64_t)> EncodeWaiting;
};

/// Runs on the strand \p Where.
class CellProcess {
public:
  /// \p Meter has counted what the links send, and outlives the process.
  CellProcess(Executor Where, CellSettings Settings, Clock Time, CellPlatform Platform,
              CellLink Peers, const TrafficMeter &Meter);
  ~CellProcess();
  CellProcess(const CellProcess &) = delete;
  CellProcess &operator=(const CellProcess &) = delete;

  /// Binds all addresses and begins. Returns once the listeners serve.
  Result<Done> start();
  /// Runs the planned stop, then calls \p Finished with the exit code.
  void beginStop(std::function<void(int)> Finished);

private:
  class Impl;
  std::unique_ptr<Impl> Inner;
};

} // namespace valveshelf
