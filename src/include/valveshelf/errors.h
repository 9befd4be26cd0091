// SPDX-License-Identifier: Apache-2.0
// The closed list of error kinds, the table from kind to answer, and the result type that
// every fallible function of valveshelf returns.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace valveshelf {

/// Every way in which an operation can fail. The list is closed: a new failure is either
/// one of these or a reviewed addition to both this list and the table behind `answerFor`.
enum class ErrorKind {
  None = 0,
  BadRequest,          ///< The caller's input can't be understood.
  BadSettings,         ///< A settings file or a configuration is wrong.
  NotFound,            ///< There is no such job, service or path.
  Forbidden,           ///< Nobody may do this to another organisation's work.
  Conflict,            ///< Somebody else's change won the race.
  Impossible,          ///< No box of the cell could ever hold the task.
  QuotaExceeded,       ///< The team or partner has no quota left.
  Overloaded,          ///< A queue is full or the deadline can't be met.
  StoreUnavailable,    ///< The platform's store does not answer; nothing was recorded.
  NotOwner,            ///< This process does not own the shard (any more).
  UpstreamUnavailable, ///< No upstream took the request; nothing was sent.
  UpstreamCut,         ///< The upstream failed after a byte was sent.
  DeadlineExceeded,    ///< The caller's deadline passed after the work was begun.
  OutcomeUnknown,      ///< The operation may or may not have taken effect.
  Stopping,            ///< This process is in a planned stop.
  Internal,            ///< A fault of valveshelf itself.
  UnknownKey,          ///< The caller has no key, or one that is not in force.
};

/// What a caller can rely on about work that ended in an error.
enum class Outcome { NotRun, Ran, Unknown };

/// The answer that belongs to an error kind.
struct ErrorAnswer {
  std::string_view Name; ///< Stable name for JSON answers and logs.
  int HttpStatus;
  valveshelf::Outcome Outcome;
  std::chrono::seconds RetryAfter; ///< Zero when asking again is of no use.
  int ExitCode;                    ///< Exit code of the command line.
};

/// Returns the row of the answer table for \p Kind. Safe from any thread.
const ErrorAnswer &answerFor(ErrorKind Kind);

/// Returns the value of the `Valveshelf-Outcome` header: "not-run", "ran" or "unknown".
std::string_view outcomeName(Outcome Value);

/// A failure: its kind, and one sentence for the person who reads it.
struct Error {
  ErrorKind Kind = ErrorKind::Internal;
  std::string Detail;
};

/// A value, or the error that stood in its way.
template <class T> using Result = std::variant<T, Error>;

/// The value of operations that return nothing.
struct Done {};

/// True if \p Value holds no error.
template <class T> bool ok(const Result<T> &Value) { return Value.index() == 0; }
/// The value inside; the caller has checked `ok`.
template <class T> T &value(Result<T> &Value) { return std::get<0>(Value); }
template <class T> const T &value(const Result<T> &Value) { return std::get<0>(Value); }
/// The error inside; the caller has checked `!ok`.
template <class T> const Error &error(const Result<T> &Value) { return std::get<1>(Value); }

} // namespace valveshelf
