// SPDX-License-Identifier: Apache-2.0
// Reads TOML tables against a schema and gathers every error with its place.
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

/// Gathers the errors of one file.
struct TomlErrors {
  std::string File;
  std::vector<SettingsError> Errors;

  void add(const toml::source_region &Where, const std::string &Field, const std::string &Problem);
};

/// Reads one table. Every key that is asked for is known; `finish` reports the others.
class TomlReader {
public:
  TomlReader(const toml::table &Table, std::string Prefix, TomlErrors &Errors)
      : Table(Table), Prefix(std::move(Prefix)), Errors(Errors) {}

  std::string text(std::string_view Key, std::optional<std::string> Default);
  std::string oneOf(std::string_view Key, std::optional<std::string> Default,
                    const std::vector<std::string> &Accepted);
  int64_t integer(std::string_view Key, std::optional<int64_t> Default, int64_t Least,
                  int64_t Most);
  double number(std::string_view Key, std::optional<double> Default, double Least, double Most);
  bool boolean(std::string_view Key, bool Default);
  /// A duration as "250ms", "3s", "10m" or "8h".
  Milliseconds duration(std::string_view Key, std::optional<Milliseconds> Default,
                        Milliseconds Least, Milliseconds Most);
  /// A size as "16KiB", "8MiB" or "1GiB", in bytes.
  int64_t bytes(std::string_view Key, int64_t Default, int64_t Least, int64_t Most);
  Endpoint endpoint(std::string_view Key, bool Required);
  Selector selector(std::string_view Key);
  Resources resources(std::string_view Key, Resources Default);
  std::map<std::string, std::string> strings(std::string_view Key);
  /// Calls \p Read with the sub-table, or reports that it is missing.
  void table(std::string_view Key, bool Required, const std::function<void(TomlReader &)> &Read);
  /// Calls \p Read for each table of an array of tables.
  void tables(std::string_view Key, const std::function<void(TomlReader &)> &Read);
  /// Calls \p Read for each named sub-table of table \p Key.
  void namedTables(std::string_view Key,
                   const std::function<void(const std::string &, TomlReader &)> &Read);

  /// Reports \p Problem at \p Key, or at the table if the key is absent.
  void reportError(std::string_view Key, const std::string &Problem);
  /// Reports unknown keys. Call last.
  void finish();

private:
  const toml::node *find(std::string_view Key);
  std::string fieldName(std::string_view Key) const;

  const toml::table &Table;
  std::string Prefix;
  TomlErrors &Errors;
  std::set<std::string> Known;
};

} // namespace valveshelf
