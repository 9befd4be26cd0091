// SPDX-License-Identifier: Apache-2.0
// The operators' configuration as the store has it. A version once seen is never left for an older
// one.
#pragma once

#include "valveshelf/cell_settings.h"
#include "valveshelf/coroutines.h"
#include "valveshelf/key_value_store.h"
#include "valveshelf/workload.h"

#include <functional>
#include <string>

namespace valveshelf {

/// Lives on one strand; all calls come from there.
class ConfigWatch {
public:
  using Decoder = std::function<Result<sched::CellConfiguration>(std::string_view Bytes)>;
  /// \p Key holds the configuration; \p Decode reads it.
  ConfigWatch(Executor Where, KeyValueStore Store, const CellSettings &Settings, std::string Key,
              Decoder Decode);
  void start();
  void stop() { Stopped = true; }
  /// Null until the first version was read.
  sched::ConfigurationPtr current() const { return Current; }

private:
  Awaitable<void> watchLoop();
  Awaitable<Result<Done>> readAll();
  void take(const KeyValue &Item);

  const Executor Where;
  const KeyValueStore Store;
  const CellSettings &Settings;
  const std::string Key;
  const Decoder Decode;
  sched::ConfigurationPtr Current;
  uint64_t Revision = 0; ///< The watch goes on from here; 0: the key has to be read.
  bool Stopped = false;
};

} // namespace valveshelf
