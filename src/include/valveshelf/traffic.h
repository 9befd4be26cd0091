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
  uint64_t Calls = 0;    ///< Sent, or tried where no connection could be made.
  uint64_t Failed = 0;   ///< Of them, those without a whole answer.
  uint64_t Opened = 0;   ///< Of them, those that opened a connection.
  uint64_t Sent = 0;     ///< Bytes of requests, heads included.
  uint64_t Received = 0; ///< Bytes of answers, heads included.
  TrafficCounts &operator+=(const TrafficCounts &Other);
  friend bool operator==(const TrafficCounts &, const TrafficCounts &) = default;
};

/// By kind, such as "store watch op/" or "worker hold". Plain data; one thread at a time.
struct TrafficBook {
  std::map<std::string, TrafficCounts, std::less<>> Kinds;
  Milliseconds Time{0}; ///< Since counting began; of several processes the longest.
};

/// Counts while a process runs. Safe from any thread.
class TrafficMeter {
public:
  explicit TrafficMeter(Clock Time);
  void note(std::string_view Kind, const TrafficCounts &What);
  TrafficBook book() const;

private:
  const Clock Time;
  const TimePoint Since;
  mutable std::mutex Mutex;
  TrafficBook Book; ///< Guarded by Mutex.
};

/// Adds what another process counted.
void mergeTraffic(TrafficBook &Book, const TrafficBook &Other);

/// The book as JSON, for other processes and for tools.
std::string encodeTraffic(const TrafficBook &Book);
/// BadRequest, naming the field, if \p Text is not what `encodeTraffic` writes.
Result<TrafficBook> decodeTraffic(std::string_view Text);

/// One process in a report: its counts as it told them.
struct TrafficOf {
  std::string Address;
  TrafficBook Book;
};
/// Rates by kind over all processes and of the one that has most, for people; as JSON; and as a
/// page with a bar for each process.
std::string trafficTable(const std::vector<TrafficOf> &Cell);
std::string trafficJson(const std::vector<TrafficOf> &Cell);
std::string trafficPage(const std::vector<TrafficOf> &Cell);

} // namespace valveshelf
