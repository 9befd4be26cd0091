// SPDX-License-Identifier: Apache-2.0
// An entry process of a cell: HTTP servers for callers, readiness probes, metrics and peers, around
// job intake, configuration and, while this process is the leader, the scheduler. Run by
// `valveshelf serve`.
#pragma once

#include "valveshelf/cell_link.h"
#include "valveshelf/cell_settings.h"
#include "valveshelf/coroutines.h"
#include "valveshelf/http.h"
#include "valveshelf/key_value_store.h"
#include "valveshelf/store_router.h"
#include "valveshelf/traffic.h"
#include "valveshelf/worker_link.h"
#include "valveshelf/workload.h"

#include <functional>
#include <memory>
#include <string>

namespace valveshelf {

/// Access to the services of the platform, and the codecs for its formats.
struct CellPlatform {
  StoreRouter::DirectCall CallStore; ///< Sends a request directly to the store.
  HttpRequest StoreProbe;            ///< Read-only; shows whether the store serves this process.
  std::function<KeyValueStore(StoreTransport)> OpenStore;
  WorkerLink Workers;
  AdviceLink Advice;
  std::string CallerKeyHeader; ///< Header field that carries a caller's key.
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
  /// \p Meter counts the traffic of \p Platform and \p Peers. It must outlive this object.
  CellProcess(Executor Where, CellSettings Settings, Clock Time, CellPlatform Platform,
              CellLink Peers, const TrafficMeter &Meter);
  ~CellProcess();
  CellProcess(const CellProcess &) = delete;
  CellProcess &operator=(const CellProcess &) = delete;

  /// Binds all addresses and starts the process. On success all servers accept connections.
  Result<Done> start();
  /// Starts a graceful shutdown and calls \p Finished with the exit code when it is complete. Safe
  /// from any thread.
  void beginStop(std::function<void(int)> Finished);

private:
  class Impl;
  std::unique_ptr<Impl> Inner;
};

} // namespace valveshelf
