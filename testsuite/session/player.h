// SPDX-License-Identifier: Apache-2.0
// Plays a written session through the decision functions of one shard and writes down every
// decision. No clock and no threads: time moves only when the session says so.
#pragma once

#include <string>

namespace valveshelf::sessions {

/// Plays \p Script, one command a line, and returns the transcript. The commands:
///   # text                              a remark, copied
///   worker NAME CORES MB [ACC]          a box of the list answers with an empty list
///   lend JOB INDEX... [once] [cores=N] [mb=N] [class=C] [attempt=N]
///   place [store-down] [quota=CORES] [elsewhere=CORES]   one round; the team's quota
///   answer JOB/I accepted|unanswered|not-sent
///   list WORKER [TASK=running|succeeded|failed|stopped]... [restarted] [asked=MS]
///   silent WORKER [renewing]            a call to it fails that may have renewed leases
///   gone WORKER                         it is not in the box list any more
///   cancel JOB/I
///   drop JOB/I                          the home shard recorded the end
///   advance MS
///   tick
///   takeover gone|unsure                a successor replays the journal
///   predecessor-gone
///   show                                books and phases
std::string play(const std::string &Script);

} // namespace valveshelf::sessions
