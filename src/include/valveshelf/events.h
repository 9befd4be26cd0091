// SPDX-License-Identifier: Apache-2.0
// Numbered log events. docs/EVENTS.md is checked against this table by a test.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace valveshelf {

/// One kind of log event. The number is stable and never used again.
struct EventKind {
  int Number;
  std::string_view Level; ///< "info", "warn" or "error".
  std::string_view Name;
  std::string_view Meaning; ///< What happened and what an operator may do.
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
extern const EventKind ClaimMade, TermBegun, TermEnded, SchedulerGone, FleetBehind, FleetKnown;
extern const EventKind JobKept, CallRefused, JobTaken, StepPlaced, RunStopped, StartNotConfirmed;
extern const EventKind AdviceGiven, TaskFailed, RunLost, TaskGivenUp, CrashCounted;
extern const EventKind WorkerSilent, WorkerLeaving, WorkerReplaced;
} // namespace events

/// All events in order of number, for the catalogue.
std::span<const EventKind *const> allEvents();

/// A named value of a log line.
using EventField = std::pair<std::string_view, std::string>;

/// How much of the log is kept back.
struct LogLimits {
  bool ToStandardOutput =
      false;              ///< Else standard error. Never blocks: what nobody reads is dropped.
  int LinesPerSecond = 0; ///< Of one kind of event, and twice as many at once; 0: no limit.
};

/// Lines left out so far, by the limit or because they were not read.
uint64_t droppedLogLines();

/// Sets up log4cplus to write to standard error. \p Level is "debug", "info", "warn" or
/// "error"; \p Member is printed in each line. Call once, before any thread starts.
void openLog(const std::string &Level, const std::string &Member, LogLimits Limits = {});

/// Writes one line `VS-<number> <name> key=value ...`. Safe from any thread.
void logEvent(const EventKind &Kind, std::initializer_list<EventField> Fields = {});

} // namespace valveshelf
