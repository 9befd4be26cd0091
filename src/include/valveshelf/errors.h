// SPDX-License-Identifier: Apache-2.0
// Error kinds, the answer (HTTP status, outcome, exit code) for each kind, and the result type of
// fallible functions.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace valveshelf {

/// Every way in which an operation can fail. The values index the table behind `answerFor`: a new
/// kind needs a row there. The numbers are sent between processes, so append only.
enum class ErrorKind {
  None = 0,
  BadRequest,          ///< The caller's input is malformed.
  BadSettings,         ///< A settings file or a configuration is invalid.
  NotFound,            ///< No such job, service or path.
  Forbidden,           ///< The job belongs to another organisation.
  Conflict,            ///< A concurrent change was made first.
  Impossible,          ///< No box of the cell has the capacity for the task.
  QuotaExceeded,       ///< The team or partner has no quota left.
  Overloaded,          ///< A queue is full or the deadline can't be met.
  StoreUnavailable,    ///< The platform's store does not answer; nothing was recorded.
  NotOwner,            ///< This process does not own the shard or is not the scheduler.
  UpstreamUnavailable, ///< No upstream accepted the request; nothing was sent.
  UpstreamCut,         ///< The upstream failed after part of the request was sent.
  DeadlineExceeded,    ///< The caller's deadline passed after the work had started.
  OutcomeUnknown,      ///< The operation may or may not have taken effect.
  Stopping,            ///< This process is shutting down.
  Internal,            ///< A bug in valveshelf.
  UnknownKey,          ///< The caller sent no key, or one that is not valid.
  AlreadyEnded,        ///< The job has ended; there is nothing left to cancel.
  UnknownJob,          ///< No such job is known; a submission of it may still be under way.
  UnknownQueue,        ///< No queue is configured for the path; it may have been before.
  NotCarriedOut,       ///< The call had no effect; nothing is known of the job.
  NotConfigured,       ///< This process has no configuration yet, and knows of no job.
};

/// Whether work that ended in an error was run.
enum class Outcome { NotRun, Ran, Unknown };

/// How an error kind is reported to callers.
struct ErrorAnswer {
  std::string_view Name; ///< Stable name for JSON answers and logs.
  int HttpStatus;
  valveshelf::Outcome Outcome;
  std::chrono::seconds RetryAfter; ///< Zero if a retry is not advised.
  int ExitCode;                    ///< Of the command-line tool.
};

/// Returns the row of the answer table for \p Kind. Safe from any thread.
const ErrorAnswer &answerFor(ErrorKind Kind);

/// Returns the value of the `Valveshelf-Outcome` header: "not-run", "ran" or "unknown".
std::string_view outcomeName(Outcome Value);

/// A failure: its kind, and a one-sentence description for people.
struct Error {
  ErrorKind Kind = ErrorKind::Internal;
  std::string Detail;
};

/// The value of an operation, or the error that prevented it.
template <class T> using Result = std::variant<T, Error>;

/// The result of operations that have no value.
struct Done {};

/// True if \p Value holds no error.
template <class T> bool ok(const Result<T> &Value) { return Value.index() == 0; }
/// Returns the value. Throws std::bad_variant_access unless `ok`.
template <class T> T &value(Result<T> &Value) { return std::get<0>(Value); }
template <class T> const T &value(const Result<T> &Value) { return std::get<0>(Value); }
/// Returns the error. Throws std::bad_variant_access if `ok`.
template <class T> const Error &error(const Result<T> &Value) { return std::get<1>(Value); }

} // namespace valveshelf
