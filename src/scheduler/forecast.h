// SPDX-License-Identifier: Apache-2.0
// Forecast of how long new jobs will wait before they start, by service and class, and by
// organisation at its maximum. Entry processes refuse jobs with it that would be late while a
// service has more work than its capacity.
#pragma once

#include "valveshelf/cell_state.h"

namespace valveshelf::sched {

/// Interval between two forecasts.
inline constexpr Milliseconds ForecastInterval{100};
/// After loading, no forecast is published for this time: workers have not reported all runs, and
/// no rate of release is known.
inline constexpr Milliseconds ForecastDelayAfterLoad{1000};
/// Jobs whose forecast is kept until they start; others are left out of the measured error.
inline constexpr size_t MaxKeptForecasts = 8192;

/// Forecasts by the scheduler's rate of starts count steps that have waited for longer before all
/// others, as the passes do.
inline constexpr Milliseconds StarvationBound{1500};

/// The forecast for jobs that are accepted now. Pure.
Forecast forecastOf(const CellState &Cell, TimePoint Now);
/// Updates the rates and `ForecastState::Latest` while admission is in force, at most once per
/// `ForecastInterval`.
void updateForecast(CellState &Cell, TimePoint Now);
/// Sets the classes that jobs can have to those of the configuration's queues.
void setForecastClasses(CellState &Cell, const CellConfiguration &Config);
/// Forgets all forecasts and rates, because admission is not in force.
void resetForecasts(ForecastState &State);
/// Notes the need of a new job, and the forecast for it.
void noteAccepted(CellState &Cell, const Job &J, TimePoint Now);
/// Notes the first start of a job and reports the error of its forecast.
void noteFirstStart(CellState &Cell, const Job &J, TimePoint Now, Effects &Out);

} // namespace valveshelf::sched
