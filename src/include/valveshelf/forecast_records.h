// SPDX-License-Identifier: Apache-2.0
// Forecasts as sent between the processes of a cell and as shown to operators.
#pragma once

#include "valveshelf/errors.h"
#include "valveshelf/forecast.h"

#include <string>

namespace valveshelf::sched {

struct CellState;

/// Longest forecast that is read.
inline constexpr size_t MaxForecastBytes = 4096;
/// Longest forecast that is written. At the pace of `ForecastPacing` it stays within the traffic of
/// a process, 6 KB per second.
inline constexpr size_t MaxEncodedForecastBytes = 3072;

/// Encodes a `ForecastRecord` of at most `MaxEncodedForecastBytes`. Entries that do not fit are
/// left out: organisations beyond their share first, then those at their maximum with the shortest
/// waits.
std::string encodeForecast(const Forecast &From);
/// Fails if the bytes are no forecast or exceed `MaxForecastBytes`.
Result<Forecast> decodeForecast(const std::string &Bytes);

/// The load of the services and the forecast for their classes, as JSON for operators.
std::string describeLoad(const CellState &Cell, TimePoint Now);

} // namespace valveshelf::sched
