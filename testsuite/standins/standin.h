// SPDX-License-Identifier: Apache-2.0
// What all stand-ins share: one thread, a fault page, and a record of what really happened.
#pragma once

#include "valveshelf/http.h"
#include "valveshelf/platform.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace standins {

using namespace valveshelf;
namespace json = boost::json;

/// The faults that are switched on now. Set by `POST /faults` with any of the fields as JSON.
struct Faults {
  int64_t DelayMs = 0;     ///< Before each answer.
  bool Outage = false;     ///< Connections are cut before anything happens.
  int64_t LoseAnswers = 0; ///< So many calls take effect and are cut before their answer.
  bool Freeze = false;     ///< Calls wait until it is switched off.
  bool FailStarts = false; ///< Worker: every task fails at once.
  int64_t Truncate = 0;    ///< Upstream: so many answers are cut in the middle.
  bool Refuse = false;     ///< Upstream: answers 503 and `Valveshelf-Outcome: not-run`.
};

/// Appends JSON lines to a file, each with the wall time in milliseconds and the writer's name.
class Trace {
public:
  Trace(const std::string &Path, std::string Who);
  ~Trace();
  void write(json::object Record);
  /// With the time of the event, where it is known better than now.
  void write(json::object Record, int64_t AtMs);

private:
  int File = -1;
  std::string Who;
};

/// Milliseconds since the epoch.
int64_t nowMs();

/// The options of a stand-in: `--name value` pairs.
class Options {
public:
  explicit Options(const std::vector<std::string> &Args);
  std::string text(const std::string &Name, const std::string &Default) const;
  int64_t number(const std::string &Name, int64_t Default) const;

private:
  std::map<std::string, std::string> Values;
};

/// A request as a stand-in's handler sees it.
struct Call {
  std::string Method, Target, Path, Body;
  HeaderList Headers;
};

using Handler = std::function<Awaitable<HttpResponse>(Call)>;

/// Serves \p Handle with faults at \p Listen until killed.
int serve(boost::asio::io_context &Io, const std::string &Listen, Faults &Active, Handler Handle);

/// An answer with this status and body.
HttpResponse answer(int Status, const json::value &Body);

int runStore(const Options &Given);
int runBoxes(const Options &Given);
int runWorker(const Options &Given);
int runUpstream(const Options &Given);
int runUsersPlatform(const Options &Given);

} // namespace standins
