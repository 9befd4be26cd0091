// SPDX-License-Identifier: Apache-2.0
// Counts calls, bytes and new connections of a process by kind of message. Only the sender of a
// message counts it, so that the sum over all processes is the traffic of the cell.
#pragma once

#include "valveshelf/coroutines.h"
#include "valveshelf/errors.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace valveshelf {

/// Counts of one kind of message.
struct TrafficCounts {
  uint64_t Calls = 0;             ///< Includes calls for which no connection could be made.
  uint64_t Failed = 0;            ///< Calls without a complete response.
  uint64_t ConnectionsOpened = 0; ///< Calls that opened a new connection.
  uint64_t BytesSent = 0;         ///< Size of requests, including headers.
  uint64_t BytesReceived = 0;     ///< Size of responses, including headers.
  TrafficCounts &operator+=(const TrafficCounts &Other);
  friend bool operator==(const TrafficCounts &, const TrafficCounts &) = default;
};

/// Counts by kind, such as "store watch op/" or "worker hold". Not thread-safe.
struct TrafficStats {
  std::map<std::string, TrafficCounts, std::less<>> Kinds;
  Milliseconds Duration{0}; ///< Counting time; the longest one if merged.
};

/// Kinds of work that messages cost their sender.
enum class MessageWork {
  Encode,
  Decode,   ///< Includes the parsing of responses.
  Transfer, ///< Writing, and reading what the event loop has not read yet.
  Connect,  ///< Setting connections up, but for the connect itself.
};
inline constexpr std::array<std::string_view, 4> MessageWorkNames{"encode", "decode", "transfer",
                                                                  "connect"};
/// By `MessageWork`.
using MessageTimes = std::array<Steady::duration, MessageWorkNames.size()>;

/// Counts the messages of this process and the time that they take. Thread-safe.
class TrafficMeter {
public:
  explicit TrafficMeter(Clock Time);
  void record(std::string_view Kind, const TrafficCounts &What);
  TrafficStats stats() const;
  void spend(MessageWork On, Steady::duration Time);
  /// Since this object was made.
  MessageTimes spent() const;

private:
  const Clock Time;
  const TimePoint Since;
  mutable std::mutex Mutex;
  TrafficStats Stats;                                                    ///< Guarded by Mutex.
  std::array<std::atomic<Steady::rep>, MessageWorkNames.size()> Spent{}; ///< By `MessageWork`.
};

/// Adds the time until its destruction to one kind of work. Must not live across a suspension of a
/// coroutine, nor inside another one.
class MessageSection {
public:
  /// \p Meter may be null.
  MessageSection(TrafficMeter *Meter, MessageWork On)
      : Meter(Meter), On(On), Begun(Meter ? Steady::now() : TimePoint{}) {}
  ~MessageSection() {
    if (Meter)
      Meter->spend(On, Steady::now() - Begun);
  }
  MessageSection(const MessageSection &) = delete;
  MessageSection &operator=(const MessageSection &) = delete;

private:
  TrafficMeter *const Meter;
  const MessageWork On;
  const TimePoint Begun;
};

/// Adds the counts of another process.
void mergeTraffic(TrafficStats &Stats, const TrafficStats &Other);

/// Formats the counts as JSON, for other processes and for tools.
std::string encodeTraffic(const TrafficStats &Stats);
/// Parses the output of `encodeTraffic`. Returns BadRequest, naming the invalid field.
Result<TrafficStats> decodeTraffic(std::string_view Text);

/// The counts of one process in a report.
struct ProcessTraffic {
  std::string Address;
  TrafficStats Stats;
};
/// Reports the rates by kind, summed over all processes and of the busiest one: as a table, as
/// JSON, and as an HTML page with a bar for each process.
std::string trafficTable(const std::vector<ProcessTraffic> &Cell);
std::string trafficJson(const std::vector<ProcessTraffic> &Cell);
std::string trafficPage(const std::vector<ProcessTraffic> &Cell);

} // namespace valveshelf
