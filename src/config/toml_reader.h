// SPDX-License-Identifier: Apache-2.0
// Reads TOML tables against a schema and collects all errors with their positions in the file.
// Used by the parsers of process settings and of a partner's configuration.
#pragma once

#include "valveshelf/clock.h"
#include "valveshelf/endpoint.h"
#include "valveshelf/resources.h"
#include "valveshelf/selector.h"
#include "valveshelf/settings.h"

#include <toml++/toml.h>

#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace valveshelf {

/// Collects the errors of one file.
struct TomlErrors {
  std::string File;
  std::vector<SettingsError> Errors;

  void add(const toml::source_region &Where, const std::string &Field, const std::string &Problem);
};

/// Reads one table. An accessor that finds a wrong value reports it and returns the default, so
/// that one pass finds all errors. Keys that no accessor has read are unknown; `finish` reports
/// them. References the table and the errors, which must outlive it. Not thread safe.
class TomlReader {
public:
  TomlReader(const toml::table &Table, std::string Prefix, TomlErrors &Errors)
      : Table(Table), Prefix(std::move(Prefix)), Errors(Errors) {}

  /// A string that is not empty. A key without a default is required, here and below.
  std::string text(std::string_view Key, std::optional<std::string> Default);
  std::string oneOf(std::string_view Key, std::optional<std::string> Default,
                    const std::vector<std::string> &Accepted);
  int64_t integer(std::string_view Key, std::optional<int64_t> Default, int64_t Least,
                  int64_t Most);
  double number(std::string_view Key, std::optional<double> Default, double Least, double Most);
  bool boolean(std::string_view Key, bool Default);
  /// A duration such as "250ms", "3s", "10m" or "8h".
  Milliseconds duration(std::string_view Key, std::optional<Milliseconds> Default,
                        Milliseconds Least, Milliseconds Most);
  /// A size such as "16KiB", "8MiB" or "1GiB", in bytes.
  int64_t bytes(std::string_view Key, int64_t Default, int64_t Least, int64_t Most);
  /// An address `IP:PORT`; empty if the key is absent or wrong.
  Endpoint endpoint(std::string_view Key, bool Required);
  /// A label selector; empty if the key is absent or wrong.
  Selector selector(std::string_view Key);
  /// A sub-table with `milli_cores`, `memory_mb` and `accelerators`, each optional.
  Resources resources(std::string_view Key, Resources Default);
  /// A sub-table whose values are all strings.
  std::map<std::string, std::string> strings(std::string_view Key);
  /// Calls \p Read with the sub-table, or reports it as missing if \p Required.
  void table(std::string_view Key, bool Required, const std::function<void(TomlReader &)> &Read);
  /// Calls \p Read for each element of the array of tables \p Key.
  void tables(std::string_view Key, const std::function<void(TomlReader &)> &Read);
  /// Calls \p Read with the name of each sub-table of table \p Key and the sub-table.
  void namedTables(std::string_view Key,
                   const std::function<void(const std::string &, TomlReader &)> &Read);

  /// Reports \p Problem at \p Key, or at the start of the table if the key is absent.
  void reportError(std::string_view Key, const std::string &Problem);
  /// Reports keys that no accessor has read. Call last.
  void finish();

private:
  const toml::node *find(std::string_view Key);
  std::string fieldName(std::string_view Key) const;

  const toml::table &Table;
  std::string Prefix;
  TomlErrors &Errors;
  std::set<std::string> Known; ///< Keys that an accessor has read.
};

} // namespace valveshelf
