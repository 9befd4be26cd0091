// SPDX-License-Identifier: Apache-2.0
// What a process says to others: calls, bytes and new connections by kind of message. Each message
// is counted by its sender, so that the counts of all processes of a cell add up to its traffic.
#pragma once

#include "valveshelf/coroutines.h"
#include "valveshelf/errors.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace valveshelf {

/// Of one kind of message.
struct TrafficCounts {
  uint64_t Calls = 0;             ///< Sent, or tried where no connection could be made.
  uint64_t Failed = 0;            ///< Of them, those without a whole answer.
  uint64_t ConnectionsOpened = 0; ///< Of them, those that opened a connection.
  uint64_t BytesSent = 0;         ///< Bytes of requests, heads included.
  uint64_t BytesReceived = 0;     ///< Bytes of answers, heads included.
  TrafficCounts &operator+=(const TrafficCounts &Other);
  friend bool operator==(const TrafficCounts &, const TrafficCounts &) = default;
};

/// By kind, such as "store watch op/" or "worker hold". Plain data; one thread at a time.
struct TrafficStats {
  std::map<std::string, TrafficCounts, std::less<>> Kinds;
  Milliseconds Duration{0}; ///< Since counting began; of several processes the longest.
};

/// Counts while a process runs. Safe from any thread.
class TrafficMeter {
public:
  explicit TrafficMeter(Clock Time);
  void record(std::string_view Kind, const TrafficCounts &What);
  TrafficStats stats() const;

private:
  const Clock Time;
  const TimePoint Since;
  mutable std::mutex Mutex;
  TrafficStats Stats; ///< Guarded by Mutex.
};

/// Adds what another process counted.
void mergeTraffic(TrafficStats &Stats, const TrafficStats &Other);

/// The book as JSON, for other processes and for tools.
std::string encodeTraffic(const TrafficStats &Stats);
/// BadRequest, naming the field, if \p Text is not what `encodeTraffic` writes.
Result<TrafficStats> decodeTraffic(std::string_view Text);

/// One process in a report: its counts as it told them.
struct ProcessTraffic {
  std::string Address;
  TrafficStats Stats;
};
/// Rates by kind over all processes and of the one that has most, for people; as JSON; and as a
/// page with a bar for each process.
std::string trafficTable(const std::vector<ProcessTraffic> &Cell);
std::string trafficJson(const std::vector<ProcessTraffic> &Cell);
std::string trafficPage(const std::vector<ProcessTraffic> &Cell);

} // namespace valveshelf
