// SPDX-License-Identifier: Apache-2.0
// Tells the lives of a worker apart. A worker that crashes may start again under its id; it then
// holds no runs, has seen no fencing token, and its clock and the numbers of its ends begin anew.
// Calls name the id only, so a call meant for one life may be carried out by a later one.
#pragma once

#include "valveshelf/clock.h"

#include <optional>
#include <string>

namespace valveshelf::sched {

/// The newest life known of a worker.
struct WorkerLife {
  WallTime Born{};          ///< Its start, by its own clock; zero: not stated.
  TimePoint LearnedAt{};    ///< When the first statement of this life was read.
  Milliseconds Clock{0};    ///< The highest reading of its steady clock.
  TimePoint ClockReadAt{};  ///< When the answer with that reading was received,
  TimePoint ClockAskedAt{}; ///< and when its call was sent.
};

/// What an answer of a worker, or its entry in the platform's list, says of the life that wrote it.
struct LifeStatement {
  WallTime Born{};                   ///< Zero: not stated.
  std::optional<Milliseconds> Clock; ///< Of an answer: the reading of its steady clock.
  std::optional<TimePoint> AskedAt;  ///< Of an answer: when the call was sent.
};

enum class LifeOrder {
  Same,
  Newer, ///< The statement is of a later life: the known one is over.
  Older, ///< It is of an earlier life, or of the same one but overtaken by a later answer.
};

/// Compares a statement with the newest life known.
///  - Lives of an id follow one another. An answer to a call that was sent after the known life was
///    learned of is not of an earlier one, whatever the wall clocks of workers say.
///  - Otherwise the later `Born` is the newer life.
///  - A statement without `Born` is of the known life, and a known life without `Born` is that of
///    any statement, unless the clock contradicts: it does not go back during a life.
LifeOrder compareLives(const WorkerLife &Known, const LifeStatement &Stated);

/// True if the clock of the known life can't have stood at \p Clock between \p AskedAt and
/// \p AnsweredAt: the answer is of another life. \p Drift: the largest rate error of a clock
/// relative to true time. For answers that state no `Born`.
bool contradictsClock(const WorkerLife &Known, Milliseconds Clock, TimePoint AskedAt,
                      TimePoint AnsweredAt, double Drift);

/// Notes a statement of the known life, or the first one of a newer life.
void noteLife(WorkerLife &Known, const LifeStatement &Stated, TimePoint Now);

/// Names a life in records: the worker's id, followed by `Born` if it is stated.
std::string lifeName(const std::string &Id, WallTime Born);
/// The beginning of all names of lives of the worker that state `Born`.
std::string lifeNamePrefix(const std::string &Id);

} // namespace valveshelf::sched
