// SPDX-License-Identifier: Apache-2.0
// The table of log events, and their output through log4cplus with a rate limit per kind.
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
                        "The process accepts requests; its address and incarnation follow."};
const EventKind Stopping{1002, "info", "stopping",
                         "A planned stop began; the process reports itself not ready."};
const EventKind Stopped{
    1003, "info", "stopped",
    "The planned stop is complete; the requests still in progress are counted."};
const EventKind SettingsRefused{
    1004, "error", "settings-refused",
    "The settings are invalid: a starting process exits, a running one is not affected."};
const EventKind InternalFault{
    1005, "error", "internal-fault",
    "A bug in valveshelf: the process aborts and its peers take over. Please report it."};
const EventKind LeaseGranted{1101, "info", "lease-granted",
                             "The store granted this process its lease."};
const EventKind LeaseLost{1102, "warn", "lease-lost",
                          "The store lease expired; the process requests a new one."};
const EventKind AuthorityLost{1103, "warn", "authority-lost",
                              "The process holds neither a store lease nor peers' promises; it "
                              "starts no task until it holds one."};
const EventKind AuthorityByPromise{1104, "warn", "authority-by-promise",
                                   "The store lease can't be renewed; the process keeps its shards "
                                   "while its peers' promises are valid."};
const EventKind Fenced{
    1105, "error", "fenced",
    "Another process sealed this one's journal; it gives up all shards and joins the cell again."};
const EventKind ShardClaimed{1201, "info", "shard-claimed", "This process now owns the shard."};
const EventKind ShardReleased{1202, "info", "shard-released",
                              "This process handed the shard over to another."};
const EventKind ClaimLost{1203, "info", "claim-lost", "Another process claimed the shard first."};
const EventKind JournalSealed{
    1204, "warn", "journal-sealed",
    "The journal of a lost process was sealed; its shards can be claimed."};
const EventKind StepDownConfirmed{
    1205, "info", "step-down-confirmed",
    "The previous owner of the shard is confirmed to send no more orders."};
const EventKind StoreDown{1301, "warn", "store-down",
                          "The store does not answer; see docs/operators/store-outage.md."};
const EventKind StoreUp{1302, "info", "store-up", "The store answers again."};
const EventKind JobAccepted{1401, "info", "job-accepted", "The job was written durably."};
const EventKind JobRefused{1402, "info", "job-refused",
                           "The job was rejected and will not run; the reason follows."};
const EventKind JobEnded{1403, "info", "job-ended", "All tasks of the job have ended."};
const EventKind JobCancelled{1404, "info", "job-cancelled", "The job was cancelled by its caller."};
const EventKind TaskStarted{1501, "info", "task-started", "A worker confirmed the start."};
const EventKind TaskEnded{1502, "info", "task-ended", "The task ended; its outcome follows."};
const EventKind TaskUnknown{
    1503, "warn", "task-unknown",
    "The outcome of a task that must not be repeated is unknown; it is not started again."};
const EventKind TaskRequeued{1504, "info", "task-requeued",
                             "The task is confirmed not to run and is queued again."};
const EventKind TaskUncertain{1505, "warn", "task-uncertain",
                              "A worker did not confirm or refuse a start; the capacity stays "
                              "reserved until the outcome is known."};
const EventKind WorkerLost{1601, "warn", "worker-lost",
                           "The worker does not answer; its tasks are held until their state is "
                           "known or their leases expire."};
const EventKind WorkerBack{1602, "info", "worker-back", "The worker answers again."};
const EventKind WorkerSuspected{
    1603, "warn", "worker-suspected",
    "Several tasks in a row failed on the worker; it is quarantined and probed."};
const EventKind WorkerCleared{1604, "info", "worker-cleared",
                              "A probe succeeded; the worker is used again."};
const EventKind TaskContained{
    1605, "warn", "task-contained",
    "A task uses more resources than it requested and was throttled or stopped."};
const EventKind ConfigInForce{1701, "info", "config-in-force",
                              "This process applied a configuration version."};
const EventKind ConfigRefused{1702, "warn", "config-refused",
                              "A configuration change was rejected; the reason follows."};
const EventKind ConfigFromPeer{
    1703, "info", "config-from-peer",
    "This process applied a newer configuration that came from a peer, not from the store."};
const EventKind EvacuationBegun{
    1704, "info", "evacuation-begun",
    "Operators are evacuating the availability zone: no more tasks are started in it."};
const EventKind EvacuationOver{1705, "info", "evacuation-over",
                               "The evacuation ended; the availability zone is used again."};
const EventKind UpstreamFailed{1801, "warn", "upstream-failed",
                               "An upstream did not answer a request, or not correctly."};
const EventKind RequestRefused{1802, "info", "request-refused",
                               "A request was rejected; the error kind follows."};
const EventKind RequestRetried{
    1803, "info", "request-retried",
    "A request that is known not to have run was retried on another upstream."};
const EventKind SettingsRead{2001, "info", "settings-read",
                             "The settings file was read again and is valid."};
const EventKind BecameReady{2002, "info", "became-ready", "The process accepts new connections."};
const EventKind BecameUnready{2003, "warn", "became-unready",
                              "The process reports itself not ready: new connections should go to "
                              "others; the reason follows."};
const EventKind RecordUnreadable{2004, "error", "record-unreadable",
                                 "A record in the store can't be decoded and is skipped."};
const EventKind ClaimMade{
    2101, "info", "claim-made",
    "This process became the scheduler of the cell; its term is the fencing token for workers."};
const EventKind TermBegun{2102, "info", "term-begun",
                          "The scheduler has loaded its state from the store and asks the workers "
                          "for their runs: how many "
                          "may hold some of an earlier scheduler (`unheard`), and how long those "
                          "that can't be reached are "
                          "waited for at most."};
const EventKind TermEnded{2103, "warn", "term-ended",
                          "This process is no longer the scheduler; the reason follows."};
const EventKind SchedulerGone{
    2104, "warn", "scheduler-gone",
    "A probe found the scheduler gone; it may be replaced before its lease expires."};
const EventKind FleetBehind{
    2105, "warn", "fleet-behind",
    "The list of workers is out of date; no task is started until it is current again."};
const EventKind FleetKnown{2106, "info", "fleet-known", "The list of workers is current again."};
const EventKind LeadershipUnconfirmed{2107, "warn", "leadership-unconfirmed",
                                      "Neither the store nor all peers have confirmed this "
                                      "scheduler's leadership: it starts nothing, "
                                      "and leases of workers end."};
const EventKind LeadershipConfirmed{2108, "info", "leadership-confirmed",
                                    "This scheduler's leadership is confirmed again."};
const EventKind PredecessorUnknown{
    2109, "warn", "predecessor-unknown",
    "No process that the scheduler before relied on knows of this term: its work on workers that "
    "can't be reached is waited for longer."};
const EventKind ClaimFailed{2110, "info", "claim-failed",
                            "This process could not become the scheduler; the reason follows."};
const EventKind LeaseEndsNoted{
    2112, "info", "lease-ends-noted",
    "This scheduler ends its term while workers can't be reached, and tells the next one how long "
    "their runs may go on at most: whether that was written, or why not."};
const EventKind LoopLags{
    2111, "warn", "loop-lags",
    "The scheduler's event loop was late. Of the last second: by how much at most; the processor "
    "time of the process; the time of the loop by kind of work and that of calls (`messages_ms`, "
    "part of the rest); start orders with a result, and "
    "how many of them got no answer; and the waiting steps, by what they wait for."};
const EventKind JobKept{2201, "info", "job-kept",
                        "The job was written durably; its caller was told so."};
const EventKind CallRefused{
    2202, "info", "call-refused",
    "A caller's request was rejected; the error kind and the reason follow."};
const EventKind JobTaken{2203, "info", "job-taken",
                         "The scheduler added a job: its steps, its queue, and whether it is new "
                         "or was loaded from the store."};
const EventKind JobRefusedOverload{
    2204, "info", "job-refused-overload",
    "A job was refused because the forecast shows it late: its class, the forecast wait, the "
    "longest wait it allows, and when its caller was told to return."};
const EventKind JobRevoked{
    2205, "info", "job-revoked",
    "A job that does not exist was cancelled: whether it is proven that it will not run, even if a "
    "submission of it is carried out later. If so, its caller was told that it was not run."};
const EventKind RevokedJobEnded{
    2206, "info", "revoked-job-ended",
    "A submission was carried out after the job had been cancelled; the scheduler ended the job "
    "before a task of it was started: the store revision at which the job was written."};
const EventKind QueueMoved{
    2207, "info", "queue-moved",
    "A configuration has sent the queue to another service: how many of its accepted jobs are "
    "started there from now on, the service of the first of them before, and the version."};
const EventKind RunStopped{2301, "info", "run-stopped",
                           "A worker was ordered to stop a run; the reason follows."};
const EventKind StartNotConfirmed{
    2302, "info", "start-not-confirmed",
    "A worker refused a start or did not answer: the result, how often the scheduler has sent it, "
    "whether the client sent again the order that was answered, and its fencing token."};
const EventKind RunUnbooked{
    2312, "info", "run-unbooked",
    "A run was taken off its worker without its end: what was taken for the proof that it is not "
    "there, how often its start was sent, whether the client sent it again and was answered, the "
    "fencing tokens of the order and of the worker, and the age of the worker's last report."};
const EventKind RunContradicted{
    2313, "warn", "run-contradicted",
    "A report names a run that was taken off its worker without its end, as active or with the end "
    "that it has had: the proof that was wrong, and how long ago it was taken."};
const EventKind StepPlaced{
    2303, "info", "step-placed",
    "Tasks of a step were placed: how many, on how many workers, how long the step waited."};
const EventKind AdviceGiven{
    2304, "info", "advice-given",
    "Advice for a step arrived or failed: the box it was requested through, how many workers were "
    "asked about, how many are eligible, how long it took."};
const EventKind TaskFailed{
    2305, "info", "task-failed",
    "A run failed: how many runs of the task have failed, and how many may."};
const EventKind RunLost{
    2306, "warn", "run-lost",
    "A run ended with its worker: the cause, how long it ran, and how many workers in a row "
    "crashed as the task started (`crashes`) or while they held it (`losses`, where a worker that "
    "ran "
    "nothing else counts twice)."};
const EventKind TaskGivenUp{2307, "warn", "task-given-up",
                            "Too many workers in a row crashed with the task; its job has failed."};
const EventKind CrashCounted{
    2308, "info", "crash-counted",
    "The number of workers in a row that crashed as the task started has changed: a worker stopped "
    "answering, crashed, left the list or answered again, the task may have been on it before a "
    "change of scheduler, or the task survived its start. `doubts` "
    "of them may only have been unreachable; of these, `unanswered` left the start order without an"
    " answer."};
const EventKind AdviceRetried{
    2309, "info", "advice-retried",
    "A box got no advice for a step; the request waits for another box or for the end of this "
    "box's backoff."};
const EventKind CopyStarted{
    2310, "info", "copy-started",
    "A copy of a slow run was ordered on another worker: the slow run and its worker, and in how "
    "many milliseconds the slow run, the copy and the job's objective are expected to end."};
const EventKind CopyEnded{
    2311, "info", "copy-ended",
    "The run of a copy is over: which run completed the task first (`copy`, `slow` or `none`), the "
    "time saved against the predicted end of the slow run, and the core time the copy took."};
const EventKind LastingRunEnded{
    2314, "info", "lasting-run-ended",
    "A run of a long-running task ended by itself; the task is started again: how the run ended "
    "and how long it ran, and in how many milliseconds the task may be started again."};
const EventKind ForecastMissed{
    2320, "info", "forecast-missed",
    "A job waited much shorter or longer for its first start than forecast when it was accepted; "
    "at most one is logged each second."};
const EventKind WorkerSilent{2401, "warn", "worker-silent",
                             "The worker does not answer; no more tasks are placed on it."};
const EventKind WorkerReplaced{2402, "info", "worker-replaced",
                               "Another incarnation of the worker answers at its address; the runs "
                               "of the previous one are lost."};
const EventKind WorkerLeaving{2403, "info", "worker-leaving",
                              "The worker is draining; no more tasks are placed on it."};
const EventKind WorkerSlow{2404, "info", "worker-slow",
                           "Runs on the worker take clearly longer than elsewhere: urgent tasks "
                           "prefer other workers that have room."};
const EventKind WorkerNotSlow{2405, "info", "worker-not-slow",
                              "The worker is no longer known to be slow."};
const EventKind CallsLost{2406, "warn", "calls-lost",
                          "Several workers leave calls unanswered: lost starts are repeated early, "
                          "and busy workers are asked again. The number of these workers, and the "
                          "current timeout of a first start order."};
const EventKind WorkerRestarted{
    2408, "info", "worker-restarted",
    "The worker has started again under its id, as its `entry` in the list, its `report` or its "
    "answer to an `order` shows: the starts of both lives (0: not stated), the runs booked on the "
    "earlier one, and its ends not yet saved."};
const EventKind ConnectionRefused{
    2409, "warn", "connection-refused",
    "A worker reset a new connection before it answered: how many other connections to it are "
    "open, which take over the call, and after how long more are tried again. The worker may have "
    "reached its limit of connections."};
const EventKind CallsAnswered{2407, "info", "calls-answered",
                              "Calls to workers are no longer being lost."};
const EventKind OverloadBegun{
    2501, "warn", "overload-begun",
    "The queue of a service can't be finished on time: the jobs that are left out, the work that "
    "waits in core-seconds, and the cores."};
const EventKind OverloadOver{2502, "info", "overload-over",
                             "Everything in the queue of the service can be on time again."};
} // namespace events

std::span<const EventKind *const> allEvents() {
  using namespace events;
  static const std::array All{&Started,
                              &Stopping,
                              &Stopped,
                              &SettingsRefused,
                              &InternalFault,
                              &LeaseGranted,
                              &LeaseLost,
                              &AuthorityLost,
                              &AuthorityByPromise,
                              &Fenced,
                              &ShardClaimed,
                              &ShardReleased,
                              &ClaimLost,
                              &JournalSealed,
                              &StepDownConfirmed,
                              &StoreDown,
                              &StoreUp,
                              &JobAccepted,
                              &JobRefused,
                              &JobEnded,
                              &JobCancelled,
                              &TaskStarted,
                              &TaskEnded,
                              &TaskUnknown,
                              &TaskRequeued,
                              &TaskUncertain,
                              &WorkerLost,
                              &WorkerBack,
                              &WorkerSuspected,
                              &WorkerCleared,
                              &TaskContained,
                              &ConfigInForce,
                              &ConfigRefused,
                              &ConfigFromPeer,
                              &EvacuationBegun,
                              &EvacuationOver,
                              &UpstreamFailed,
                              &RequestRefused,
                              &RequestRetried,
                              &SettingsRead,
                              &BecameReady,
                              &BecameUnready,
                              &RecordUnreadable,
                              &ClaimMade,
                              &TermBegun,
                              &TermEnded,
                              &SchedulerGone,
                              &FleetBehind,
                              &FleetKnown,
                              &LeadershipUnconfirmed,
                              &LeadershipConfirmed,
                              &PredecessorUnknown,
                              &ClaimFailed,
                              &LoopLags,
                              &LeaseEndsNoted,
                              &JobKept,
                              &CallRefused,
                              &JobTaken,
                              &JobRefusedOverload,
                              &JobRevoked,
                              &RevokedJobEnded,
                              &QueueMoved,
                              &RunStopped,
                              &StartNotConfirmed,
                              &StepPlaced,
                              &AdviceGiven,
                              &TaskFailed,
                              &RunLost,
                              &TaskGivenUp,
                              &CrashCounted,
                              &AdviceRetried,
                              &CopyStarted,
                              &CopyEnded,
                              &RunUnbooked,
                              &RunContradicted,
                              &LastingRunEnded,
                              &ForecastMissed,
                              &WorkerSilent,
                              &WorkerReplaced,
                              &WorkerLeaving,
                              &WorkerSlow,
                              &WorkerNotSlow,
                              &CallsLost,
                              &CallsAnswered,
                              &WorkerRestarted,
                              &ConnectionRefused,
                              &OverloadBegun,
                              &OverloadOver};
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

// Writes lines to standard output without blocking. If the pipe is full, lines are dropped or
// truncated.
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

// Token bucket per kind of event. The first line written after a gap reports how many were dropped.
class LogRateLimiter {
public:
  void setRate(int Lines) { PerSecond = Lines; }

  // Returns false if the line is to be dropped; else sets \p Dropped to the number of lines dropped
  // since the last one of this kind. Safe from any thread.
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
  std::map<int, Bucket> Buckets; ///< By event number. Guarded by Mutex.
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
