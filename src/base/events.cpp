// SPDX-License-Identifier: Apache-2.0
// The table of log events and their way to log4cplus.
#include "valveshelf/events.h"

#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/layout.h>
#include <log4cplus/log4cplus.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <sstream>
#include <utility>

#include <fcntl.h>
#include <unistd.h>

namespace valveshelf {
namespace events {
const EventKind Started{1001, "info", "started",
                        "The process serves; address and incarnation follow."};
const EventKind Stopping{1002, "info", "stopping", "A planned stop began; readiness is withdrawn."};
const EventKind Stopped{1003, "info", "stopped",
                        "The planned stop is complete; nothing was cut off."};
const EventKind SettingsRefused{1004, "error", "settings-refused",
                                "Settings are wrong; nothing was started."};
const EventKind InternalFault{
    1005, "error", "internal-fault",
    "A fault of valveshelf itself; the process aborts and its peers take over. Please report it."};
const EventKind LeaseGranted{1101, "info", "lease-granted",
                             "The store granted this process its lease."};
const EventKind LeaseLost{1102, "warn", "lease-lost",
                          "The store lease lapsed; the process asks for a new one."};
const EventKind AuthorityLost{1103, "warn", "authority-lost",
                              "Neither lease nor promises hold; no start is sent until one does."};
const EventKind AuthorityByPromise{
    1104, "warn", "authority-by-promise",
    "The store lease can't be renewed; peers' promises carry ownership."};
const EventKind Fenced{
    1105, "error", "fenced",
    "Another process sealed this one's journal; it gives up all shards and joins anew."};
const EventKind ShardClaimed{1201, "info", "shard-claimed",
                             "This process owns the shard from now on."};
const EventKind ShardReleased{1202, "info", "shard-released",
                              "This process gave the shard to another."};
const EventKind ClaimLost{1203, "info", "claim-lost", "Another process claimed the shard first."};
const EventKind JournalSealed{
    1204, "warn", "journal-sealed",
    "The journal of a lost process was sealed; its shards can be claimed."};
const EventKind StepDownConfirmed{1205, "info", "step-down-confirmed",
                                  "A predecessor surely sends nothing any more."};
const EventKind StoreDown{1301, "warn", "store-down",
                          "The store does not answer; see docs/operators/store-outage.md."};
const EventKind StoreUp{1302, "info", "store-up", "The store answers again."};
const EventKind JobAccepted{1401, "info", "job-accepted", "The job is durable."};
const EventKind JobRefused{1402, "info", "job-refused",
                           "The job was refused and will not run; the reason follows."};
const EventKind JobEnded{1403, "info", "job-ended", "All tasks of the job have ended."};
const EventKind JobCancelled{1404, "info", "job-cancelled", "The job was cancelled by its caller."};
const EventKind TaskStarted{1501, "info", "task-started", "A worker confirmed the start."};
const EventKind TaskEnded{1502, "info", "task-ended", "The task ended; its outcome follows."};
const EventKind TaskUnknown{
    1503, "warn", "task-unknown",
    "A task not to be repeated has no certain outcome; it is not started again."};
const EventKind TaskRequeued{1504, "info", "task-requeued",
                             "The task surely does not run and waits for a place again."};
const EventKind TaskUncertain{
    1505, "warn", "task-uncertain",
    "A start has no certain answer; its room stays booked until there is proof."};
const EventKind WorkerLost{
    1601, "warn", "worker-lost",
    "The worker does not answer; its tasks wait for proof or for their leases to lapse."};
const EventKind WorkerBack{1602, "info", "worker-back", "The worker answers again."};
const EventKind WorkerSuspected{
    1603, "warn", "worker-suspected",
    "The worker fails what others run well; it is set aside and probed."};
const EventKind WorkerCleared{1604, "info", "worker-cleared",
                              "A probe ran well; the worker is used again."};
const EventKind TaskContained{1605, "warn", "task-contained",
                              "A task uses more than it declared and was throttled or stopped."};
const EventKind ConfigInForce{1701, "info", "config-in-force",
                              "A configuration version is in force here."};
const EventKind ConfigRefused{1702, "warn", "config-refused",
                              "A change of configuration was refused; the reason follows."};
const EventKind ConfigFromPeer{1703, "info", "config-from-peer",
                               "A peer, not the store, brought the newer configuration."};
const EventKind EvacuationBegun{1704, "info", "evacuation-begun",
                                "Operators want the availability zone empty: nothing is started in "
                                "it from now on."};
const EventKind EvacuationOver{1705, "info", "evacuation-over",
                               "The availability zone is used again."};
const EventKind UpstreamFailed{1801, "warn", "upstream-failed",
                               "An upstream did not answer a request as it should."};
const EventKind RequestRefused{1802, "info", "request-refused",
                               "A request was refused; the kind follows."};
const EventKind RequestRetried{1803, "info", "request-retried",
                               "A request that surely did not run was tried elsewhere."};
const EventKind SettingsRead{2001, "info", "settings-read",
                             "The settings file was read again and is good."};
const EventKind BecameReady{2002, "info", "became-ready", "The process takes new connections."};
const EventKind BecameUnready{2003, "warn", "became-unready",
                              "New connections should go to other processes; the reason follows."};
const EventKind RecordUnreadable{2004, "error", "record-unreadable",
                                 "A record of the store can't be read and is passed over."};
const EventKind ClaimMade{2101, "info", "claim-made",
                          "This process claimed the cell; its term is the fence for workers."};
const EventKind TermBegun{2102, "info", "term-begun",
                          "The scheduler has read the store and asks the workers what they hold."};
const EventKind TermEnded{2103, "warn", "term-ended",
                          "The scheduler of this process ended; the reason follows."};
const EventKind SchedulerGone{
    2104, "warn", "scheduler-gone",
    "Nothing listens at the scheduler's address; it is replaced before its claim runs out."};
const EventKind FleetBehind{2105, "warn", "fleet-behind",
                            "The list of workers is known too late: nothing is started until it is "
                            "known again."};
const EventKind FleetKnown{2106, "info", "fleet-known", "The list of workers is known again."};
const EventKind JobKept{2201, "info", "job-kept", "The job is durable; its caller was told so."};
const EventKind CallRefused{2202, "info", "call-refused",
                            "A caller's request was refused; the kind and the reason follow."};
const EventKind JobTaken{
    2203, "info", "job-taken",
    "The scheduler knows the job: how it heard of it, its steps and objective."};
const EventKind RunStopped{2301, "info", "run-stopped",
                           "A run was ordered to stop; the reason follows."};
const EventKind StartNotConfirmed{
    2302, "info", "start-not-confirmed",
    "A worker refused a start or did not answer; the result is numbered as in workload.h."};
const EventKind StepPlaced{
    2303, "info", "step-placed",
    "Start orders for tasks of a step: how many, where, since when the step could run."};
const EventKind AdviceGiven{2304, "info", "advice-given",
                            "Advice for a step: through which box, how many workers it named good, "
                            "after how long."};
const EventKind TaskFailed{2305, "info", "task-failed",
                           "A run failed; how often the task may still be tried."};
const EventKind RunLost{2306, "warn", "run-lost",
                        "A run ended with its worker: how that was found, how long it had been "
                        "there, and how many workers in a row crashed as its task began "
                        "(`crashes`) or while they held it (`losses`)."};
const EventKind TaskGivenUp{2307, "warn", "task-given-up",
                            "Workers crash under the task again and again; its job has failed."};
const EventKind CrashCounted{2308, "info", "crash-counted",
                             "How many workers in a row crashed as the task began has changed: the "
                             "worker fell silent, has crashed or was heard again; or the task "
                             "stands. `doubts` of them may only have been cut off."};
const EventKind WorkerSilent{2401, "warn", "worker-silent",
                             "The worker does not answer; nothing new is placed there."};
const EventKind WorkerReplaced{2402, "info", "worker-replaced",
                               "Another life answers at the worker's address; its runs are lost."};
const EventKind WorkerLeaving{2403, "info", "worker-leaving",
                              "The worker says that it leaves; it is given nothing new."};
} // namespace events

std::span<const EventKind *const> allEvents() {
  using namespace events;
  static const std::array All{
      &Started,        &Stopping,       &Stopped,          &SettingsRefused,    &InternalFault,
      &LeaseGranted,   &LeaseLost,      &AuthorityLost,    &AuthorityByPromise, &Fenced,
      &ShardClaimed,   &ShardReleased,  &ClaimLost,        &JournalSealed,      &StepDownConfirmed,
      &StoreDown,      &StoreUp,        &JobAccepted,      &JobRefused,         &JobEnded,
      &JobCancelled,   &TaskStarted,    &TaskEnded,        &TaskUnknown,        &TaskRequeued,
      &TaskUncertain,  &WorkerLost,     &WorkerBack,       &WorkerSuspected,    &WorkerCleared,
      &TaskContained,  &ConfigInForce,  &ConfigRefused,    &ConfigFromPeer,     &EvacuationBegun,
      &EvacuationOver, &UpstreamFailed, &RequestRefused,   &RequestRetried,     &SettingsRead,
      &BecameReady,    &BecameUnready,  &RecordUnreadable, &ClaimMade,          &TermBegun,
      &TermEnded,      &SchedulerGone,  &FleetBehind,      &FleetKnown,         &JobKept,
      &CallRefused,    &JobTaken,       &RunStopped,       &StartNotConfirmed,  &StepPlaced,
      &AdviceGiven,    &TaskFailed,     &RunLost,          &TaskGivenUp,        &CrashCounted,
      &WorkerSilent,   &WorkerReplaced, &WorkerLeaving};
  return All;
}

namespace {
log4cplus::Logger &logger() {
  static log4cplus::Logger Logger = log4cplus::Logger::getInstance("valveshelf");
  return Logger;
}

log4cplus::LogLevel levelOf(std::string_view Level) {
  if (Level == "debug")
    return log4cplus::DEBUG_LOG_LEVEL;
  if (Level == "warn")
    return log4cplus::WARN_LOG_LEVEL;
  if (Level == "error")
    return log4cplus::ERROR_LOG_LEVEL;
  return log4cplus::INFO_LOG_LEVEL;
}
} // namespace

namespace {
std::atomic<uint64_t> DroppedLines{0};

// Writes lines without ever waiting for the reader; a line that does not go out whole is lost.
class NonBlockingAppender final : public log4cplus::Appender {
public:
  NonBlockingAppender() {
    ::fcntl(STDOUT_FILENO, F_SETFL, ::fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
  }
  ~NonBlockingAppender() override { destructorImpl(); }
  void close() override { closed = true; }

protected:
  void append(const log4cplus::spi::InternalLoggingEvent &Event) override {
    std::ostringstream Line;
    layout->formatAndAppend(Line, Event);
    const std::string Text = Line.str();
    if (::write(STDOUT_FILENO, Text.data(), Text.size()) < 0)
      ++DroppedLines;
  }
};

// Lets so many lines of one kind through a second; the next line after a gap tells how many are
// missing.
class LogRateLimiter {
public:
  void setRate(int Lines) { PerSecond = Lines; }

  // Returns false if the line is left out; else \p Dropped is how many were since the last one.
  bool take(int Number, uint64_t &Dropped) {
    if (PerSecond == 0)
      return true;
    std::lock_guard Lock(Mutex);
    Bucket &EventBucket = Buckets[Number];
    const auto Now = std::chrono::steady_clock::now();
    const double Passed = std::chrono::duration<double>(Now - EventBucket.Last).count();
    EventBucket.Tokens = std::min(2.0 * PerSecond, EventBucket.Tokens + Passed * PerSecond);
    EventBucket.Last = Now;
    if (EventBucket.Tokens < 1) {
      ++EventBucket.Dropped;
      ++DroppedLines;
      return false;
    }
    EventBucket.Tokens -= 1;
    Dropped = std::exchange(EventBucket.Dropped, 0);
    return true;
  }

private:
  struct Bucket {
    double Tokens = 0;
    std::chrono::steady_clock::time_point Last{};
    uint64_t Dropped = 0;
  };
  int PerSecond = 0;
  std::mutex Mutex;
  std::map<int, Bucket> Buckets; ///< By number of the event. Guarded by Mutex.
};

LogRateLimiter &logRateLimiter() {
  static LogRateLimiter Limit;
  return Limit;
}
} // namespace

uint64_t droppedLogLines() { return DroppedLines; }

void openLog(const std::string &Level, const std::string &Member, LogLimits Limits) {
  static log4cplus::Initializer Initializer;
  logRateLimiter().setRate(Limits.LinesPerSecond);
  log4cplus::SharedAppenderPtr Appender;
  if (Limits.ToStandardOutput)
    Appender = new NonBlockingAppender();
  else
    Appender = new log4cplus::ConsoleAppender(true, true);
  Appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%D{%Y-%m-%dT%H:%M:%S.%q} %p " +
                                                                 Member + " %m%n"));
  logger().addAppender(Appender);
  logger().setLogLevel(levelOf(Level));
}

void logEvent(const EventKind &Kind, std::initializer_list<EventField> Fields) {
  const log4cplus::LogLevel Level = levelOf(Kind.Level);
  uint64_t Dropped = 0;
  if (!logger().isEnabledFor(Level) || !logRateLimiter().take(Kind.Number, Dropped))
    return;
  std::string Line = "VS-" + std::to_string(Kind.Number) + " " + std::string(Kind.Name);
  for (const EventField &Field : Fields)
    Line.append(" ").append(Field.first).append("=").append(Field.second);
  if (Dropped > 0)
    Line.append(" left_out=").append(std::to_string(Dropped));
  logger().log(Level, Line);
}

} // namespace valveshelf
