// SPDX-License-Identifier: Apache-2.0
// The table that maps each error kind to its answer: name, HTTP status, outcome, retry time, exit
// code.
#include "valveshelf/errors.h"

#include <array>

namespace valveshelf {
namespace {
using std::chrono::seconds;

// One row per kind, in the order of ErrorKind.
constexpr std::array<ErrorAnswer, 23> Answers{{
    {"none", 200, Outcome::Ran, seconds(0), 0},
    {"bad-request", 400, Outcome::NotRun, seconds(0), 2},
    {"bad-settings", 422, Outcome::NotRun, seconds(0), 2},
    {"not-found", 404, Outcome::NotRun, seconds(0), 1},
    {"forbidden", 403, Outcome::NotRun, seconds(0), 1},
    {"conflict", 409, Outcome::NotRun, seconds(0), 1},
    {"impossible", 422, Outcome::NotRun, seconds(0), 1},
    {"quota-exceeded", 429, Outcome::NotRun, seconds(10), 1},
    {"overloaded", 503, Outcome::NotRun, seconds(1), 1},
    {"store-unavailable", 503, Outcome::NotRun, seconds(5), 1},
    {"not-owner", 503, Outcome::NotRun, seconds(1), 1},
    {"upstream-unavailable", 503, Outcome::NotRun, seconds(1), 1},
    {"upstream-cut", 502, Outcome::Unknown, seconds(0), 3},
    {"deadline-exceeded", 504, Outcome::Unknown, seconds(0), 3},
    {"outcome-unknown", 504, Outcome::Unknown, seconds(0), 3},
    {"stopping", 503, Outcome::NotRun, seconds(1), 1},
    {"internal", 500, Outcome::Unknown, seconds(0), 3},
    {"unknown-key", 401, Outcome::NotRun, seconds(0), 1},
    {"already-ended", 410, Outcome::Ran, seconds(0), 1},
    {"unknown-job", 410, Outcome::Unknown, seconds(0), 1},
    {"unknown-queue", 404, Outcome::Unknown, seconds(0), 1},
    {"not-carried-out", 503, Outcome::Unknown, seconds(1), 1},
    {"not-configured", 503, Outcome::Unknown, seconds(5), 1},
}};
} // namespace

const ErrorAnswer &answerFor(ErrorKind Kind) { return Answers.at(static_cast<size_t>(Kind)); }

std::string_view outcomeName(Outcome Value) {
  switch (Value) {
  case Outcome::NotRun:
    return "not-run";
  case Outcome::Ran:
    return "ran";
  case Outcome::Unknown:
    break;
  }
  return "unknown";
}

} // namespace valveshelf
