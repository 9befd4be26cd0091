// SPDX-License-Identifier: Apache-2.0
// How old what the scheduler knows of the platform's list of workers is. The load that it answers:
// so many workers change at a time, or answers of the store are so late or lost, that the watch
// falls behind, and a worker that has said it leaves would still be given work.
#pragma once

#include "valveshelf/clock.h"

namespace valveshelf {

/// Plain data; one thread at a time.
struct ListAge {
  TimePoint CompleteUntil{}; ///< All that had changed by then is known.
  TimePoint NextRefresh{};   ///< Not before this time is the store asked beside the watch.
  bool IsStale = false;
};

/// A call for changes was answered with all there were. One that was held to its end and brought
/// none says that there was none until then; any other says what had changed when it was made. An
/// answer that may have been cut short says neither, and is not noted.
void noteListAnswer(ListAge &Age, TimePoint SentAt, Milliseconds HeldFor);
/// True if the store is to be asked at once what has changed: the watch has been silent for longer
/// than it is ever held. Asked again after a pause, since that answer may be lost as well.
bool needsListRefresh(ListAge &Age, Milliseconds WatchTime, TimePoint Now);
/// True from when the list is so old that nothing may be started by it. Where the store answers
/// nobody, what is known goes on to hold: \p IsStoreResponsive says that it does answer.
bool isListStale(const ListAge &Age, bool IsStoreResponsive, TimePoint Now);

} // namespace valveshelf
