// SPDX-License-Identifier: Apache-2.0
// Numbered log events and the functions that write them. docs/EVENTS.md lists the events; a test
// compares it with the table in events.cpp.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace valveshelf {

/// One kind of log event. The number is stable and never reused.
struct EventKind {
  int Number;
  std::string_view Level; ///< "info", "warn" or "error".
  std::string_view Name;
  std::string_view Meaning; ///< What happened and what follows, as listed in docs/EVENTS.md.
};

namespace events {
extern const EventKind Started, Stopping, Stopped, SettingsRefused, InternalFault;
extern const EventKind LeaseGranted, LeaseLost, AuthorityLost, AuthorityByPromise, Fenced;
extern const EventKind ShardClaimed, ShardReleased, ClaimLost, JournalSealed, StepDownConfirmed;
extern const EventKind StoreDown, StoreUp;
extern const EventKind JobAccepted, JobRefused, JobEnded, JobCancelled;
extern const EventKind TaskStarted, TaskEnded, TaskUnknown, TaskRequeued, TaskUncertain;
extern const EventKind WorkerLost, WorkerBack, WorkerSuspected, WorkerCleared, TaskContained;
extern const EventKind ConfigInForce, ConfigRefused, ConfigFromPeer, EvacuationBegun,
    EvacuationOver;
extern const EventKind UpstreamFailed, RequestRefused, RequestRetried;
extern const EventKind SettingsRead, BecameReady, BecameUnready, RecordUnreadable;
extern const EventKind ClaimMade, TermBegun, TermEnded, SchedulerGone, FleetBehind, FleetKnown,
    LeadershipUnconfirmed, LeadershipConfirmed, PredecessorUnknown, ClaimFailed, LoopLags,
    LeaseEndsNoted;
extern const EventKind JobKept, CallRefused, JobTaken, JobRefusedOverload, JobRevoked,
    RevokedJobEnded, QueueMoved;
extern const EventKind StepPlaced, RunStopped, StartNotConfirmed;
extern const EventKind AdviceGiven, TaskFailed, RunLost, TaskGivenUp, CrashCounted;
extern const EventKind AdviceRetried;
extern const EventKind CopyStarted, CopyEnded;
extern const EventKind RunUnbooked, RunContradicted, LastingRunEnded;
extern const EventKind ForecastMissed;
extern const EventKind WorkerSilent, WorkerLeaving, WorkerReplaced, WorkerRestarted, WorkerSlow,
    WorkerNotSlow, CallsLost, CallsAnswered, ConnectionRefused;
extern const EventKind OverloadBegun, OverloadOver;
} // namespace events

/// All events, sorted by number.
std::span<const EventKind *const> allEvents();

/// Key and value of a log line.
using EventField = std::pair<std::string_view, std::string>;

/// Where the log goes, and when lines are dropped.
struct LogLimits {
  bool ToStandardOutput =
      false; ///< Else standard error. Never blocks: lines are dropped if a write fails.
  int LinesPerSecond = 0; ///< Per kind of event, with bursts of twice as many; 0: no limit.
};

/// Lines dropped so far, by the rate limit or because a write would have blocked. Safe from any
/// thread.
uint64_t droppedLogLines();

/// Sets up log4cplus as \p Limits says. \p Level is "debug", "info", "warn" or
/// "error"; \p Member is printed in each line. Call once, before any thread starts.
void openLog(const std::string &Level, const std::string &Member, LogLimits Limits = {});

/// Writes one line `VS-<number> <name> key=value ...`. Safe from any thread.
void logEvent(const EventKind &Kind, std::initializer_list<EventField> Fields = {});

} // namespace valveshelf
