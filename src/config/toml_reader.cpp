// SPDX-License-Identifier: Apache-2.0
// Typed accessors of TomlReader. Each error message says which values are accepted.
#include "config/toml_reader.h"

#include <charconv>

namespace valveshelf {
namespace {

struct Unit {
  std::string_view Name;
  int64_t Factor;
};

// Returns the amount times the factor of its unit: 3000 for "3s" in milliseconds. Empty if the
// text has another form or an unknown unit, or if the product overflows.
std::optional<int64_t> parseWithUnit(const std::string &Text, std::initializer_list<Unit> Units) {
  int64_t Amount = 0;
  const auto [End, Code] = std::from_chars(Text.data(), Text.data() + Text.size(), Amount);
  if (Code != std::errc() || Amount < 0)
    return std::nullopt;
  const std::string_view Rest(End, Text.data() + Text.size() - End);
  for (const Unit &U : Units) {
    int64_t Product = 0;
    if (Rest == U.Name && !__builtin_mul_overflow(Amount, U.Factor, &Product))
      return Product;
  }
  return std::nullopt;
}

std::string rangeText(int64_t Least, int64_t Most) {
  return std::to_string(Least) + " to " + std::to_string(Most);
}

} // namespace

void TomlErrors::add(const toml::source_region &Where, const std::string &Field,
                     const std::string &Problem) {
  Errors.push_back({File, static_cast<int>(Where.begin.line), static_cast<int>(Where.begin.column),
                    Field, Problem});
}

const toml::node *TomlReader::find(std::string_view Key) {
  Known.insert(std::string(Key));
  return Table.get(Key);
}

std::string TomlReader::fieldName(std::string_view Key) const {
  return Prefix.empty() ? std::string(Key) : Prefix + "." + std::string(Key);
}

void TomlReader::reportError(std::string_view Key, const std::string &Problem) {
  const toml::node *Node = Table.get(Key);
  Errors.add(Node ? Node->source() : Table.source(), fieldName(Key), Problem);
}

std::string TomlReader::text(std::string_view Key, std::optional<std::string> Default) {
  const toml::node *Node = find(Key);
  if (!Node && !Default)
    reportError(Key, "is missing; accepted is a string");
  if (!Node)
    return Default.value_or("");
  if (const auto Value = Node->value_exact<std::string>(); Value && !Value->empty())
    return *Value;
  reportError(Key, "has the wrong type or is empty; accepted is a string");
  return Default.value_or("");
}

std::string TomlReader::oneOf(std::string_view Key, std::optional<std::string> Default,
                              const std::vector<std::string> &Accepted) {
  std::string Value = text(Key, Default);
  if (!Table.get(Key))
    return Value;
  std::string Listed;
  for (const std::string &A : Accepted) {
    if (A == Value)
      return Value;
    Listed += (Listed.empty() ? "" : ", ") + A;
  }
  reportError(Key, "'" + Value + "' is not accepted; accepted are " + Listed);
  return Default.value_or("");
}

int64_t TomlReader::integer(std::string_view Key, std::optional<int64_t> Default, int64_t Least,
                            int64_t Most) {
  const toml::node *Node = find(Key);
  if (!Node && !Default)
    reportError(Key, "is missing; accepted is an integer from " + rangeText(Least, Most));
  if (!Node)
    return Default.value_or(Least);
  const auto Value = Node->value_exact<int64_t>();
  if (!Value)
    reportError(Key, "has the wrong type; accepted is an integer from " + rangeText(Least, Most));
  else if (*Value < Least || *Value > Most)
    reportError(Key, "is out of range; accepted is " + rangeText(Least, Most));
  else
    return *Value;
  return Default.value_or(Least);
}

double TomlReader::number(std::string_view Key, std::optional<double> Default, double Least,
                          double Most) {
  const toml::node *Node = find(Key);
  const std::string Accepted =
      "accepted is a number from " + std::to_string(Least) + " to " + std::to_string(Most);
  if (!Node && !Default)
    reportError(Key, "is missing; " + Accepted);
  if (!Node)
    return Default.value_or(Least);
  const auto Value = Node->value<double>();
  if (!Value || Node->is_boolean() || Node->is_string())
    reportError(Key, "has the wrong type; " + Accepted);
  else if (!(*Value >= Least && *Value <= Most))
    reportError(Key, "is out of range; " + Accepted);
  else
    return *Value;
  return Default.value_or(Least);
}

bool TomlReader::boolean(std::string_view Key, bool Default) {
  const toml::node *Node = find(Key);
  if (!Node)
    return Default;
  if (const auto Value = Node->value_exact<bool>())
    return *Value;
  reportError(Key, "has the wrong type; accepted are true and false");
  return Default;
}

Milliseconds TomlReader::duration(std::string_view Key, std::optional<Milliseconds> Default,
                                  Milliseconds Least, Milliseconds Most) {
  const toml::node *Node = find(Key);
  const std::string Accepted = "accepted is a duration such as \"250ms\", \"3s\", \"10m\" or "
                               "\"8h\", from " +
                               rangeText(Least.count(), Most.count()) + " ms";
  if (!Node && !Default)
    reportError(Key, "is missing; " + Accepted);
  if (!Node)
    return Default.value_or(Least);
  const auto Value = Node->value_exact<std::string>();
  const auto Count =
      Value ? parseWithUnit(*Value, {{"ms", 1}, {"s", 1000}, {"m", 60000}, {"h", 3600000}})
            : std::nullopt;
  if (!Count)
    reportError(Key, "is not a duration or has a bad unit; " + Accepted);
  else if (*Count < Least.count() || *Count > Most.count())
    reportError(Key, "is out of range; " + Accepted);
  else
    return Milliseconds(*Count);
  return Default.value_or(Least);
}

int64_t TomlReader::bytes(std::string_view Key, int64_t Default, int64_t Least, int64_t Most) {
  const toml::node *Node = find(Key);
  if (!Node)
    return Default;
  const auto Value = Node->value_exact<std::string>();
  const auto Count =
      Value
          ? parseWithUnit(*Value, {{"B", 1}, {"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}})
          : std::nullopt;
  const std::string Accepted =
      "accepted is a size such as \"16KiB\" or \"8MiB\", from " + rangeText(Least, Most) + " bytes";
  if (!Count)
    reportError(Key, "is not a size or has a bad unit; " + Accepted);
  else if (*Count < Least || *Count > Most)
    reportError(Key, "is out of range; " + Accepted);
  else
    return *Count;
  return Default;
}

Endpoint TomlReader::endpoint(std::string_view Key, bool Required) {
  const toml::node *Node = find(Key);
  if (!Node && Required)
    reportError(Key, "is missing; accepted is IP:PORT");
  if (!Node)
    return {};
  const auto Value = Node->value_exact<std::string>();
  const Result<Endpoint> Parsed = parseEndpoint(Value.value_or(""));
  if (ok(Parsed))
    return value(Parsed);
  reportError(Key, Value ? error(Parsed).Detail : "has the wrong type; accepted is IP:PORT");
  return {};
}

Selector TomlReader::selector(std::string_view Key) {
  const toml::node *Node = find(Key);
  if (!Node)
    return {};
  const auto Value = Node->value_exact<std::string>();
  if (!Value) {
    reportError(Key, "has the wrong type; accepted is a label selector in a string");
    return {};
  }
  Result<Selector> Parsed = parseSelector(*Value);
  if (ok(Parsed))
    return value(Parsed);
  reportError(Key, error(Parsed).Detail);
  return {};
}

Resources TomlReader::resources(std::string_view Key, Resources Default) {
  Resources Read = Default;
  constexpr int64_t Most = 1'000'000'000;
  table(Key, false, [&](TomlReader &Inner) {
    Read.MilliCores = Inner.integer("milli_cores", Default.MilliCores, 0, Most);
    Read.MemoryMb = Inner.integer("memory_mb", Default.MemoryMb, 0, Most);
    Read.Accelerators = Inner.integer("accelerators", Default.Accelerators, 0, Most);
  });
  return Read;
}

std::map<std::string, std::string> TomlReader::strings(std::string_view Key) {
  std::map<std::string, std::string> Read;
  const toml::node *Node = find(Key);
  if (!Node)
    return Read;
  if (!Node->is_table()) {
    reportError(Key, "has the wrong type; accepted is a table of strings");
    return Read;
  }
  for (const auto &[Name, Value] : *Node->as_table()) {
    const std::string Field = fieldName(Key) + "." + std::string(Name.str());
    if (const auto Text = Value.value_exact<std::string>())
      Read[std::string(Name.str())] = *Text;
    else
      Errors.add(Value.source(), Field, "has the wrong type; accepted is a string");
  }
  return Read;
}

void TomlReader::table(std::string_view Key, bool Required,
                       const std::function<void(TomlReader &)> &Read) {
  const toml::node *Node = find(Key);
  if (!Node && Required)
    reportError(Key, "is missing; accepted is a table [" + fieldName(Key) + "]");
  if (!Node)
    return;
  if (!Node->is_table()) {
    reportError(Key, "has the wrong type; accepted is a table [" + fieldName(Key) + "]");
    return;
  }
  TomlReader Inner(*Node->as_table(), fieldName(Key), Errors);
  Read(Inner);
  Inner.finish();
}

void TomlReader::tables(std::string_view Key, const std::function<void(TomlReader &)> &Read) {
  const toml::node *Node = find(Key);
  if (!Node)
    return;
  if (!Node->is_array_of_tables()) {
    reportError(Key, "has the wrong type; accepted are tables [[" + fieldName(Key) + "]]");
    return;
  }
  int Position = 0;
  for (const toml::node &Item : *Node->as_array()) {
    const std::string ItemKey = std::string(Key) + "[" + std::to_string(Position++) + "]";
    TomlReader Inner(*Item.as_table(), fieldName(ItemKey), Errors);
    Read(Inner);
    Inner.finish();
  }
}

void TomlReader::namedTables(std::string_view Key,
                             const std::function<void(const std::string &, TomlReader &)> &Read) {
  const toml::node *Node = find(Key);
  if (!Node)
    return;
  if (!Node->is_table()) {
    reportError(Key, "has the wrong type; accepted are tables [" + fieldName(Key) + ".NAME]");
    return;
  }
  for (const auto &[Name, Value] : *Node->as_table()) {
    const std::string Text(Name.str());
    if (!Value.is_table()) {
      Errors.add(Value.source(), fieldName(Key) + "." + Text,
                 "has the wrong type; accepted is a table");
      continue;
    }
    TomlReader Inner(*Value.as_table(), fieldName(Key) + "." + Text, Errors);
    Read(Text, Inner);
    Inner.finish();
  }
}

void TomlReader::finish() {
  for (const auto &[Name, Value] : Table) {
    const std::string Text(Name.str());
    if (Known.count(Text))
      continue;
    std::string Accepted;
    for (const std::string &K : Known)
      Accepted += (Accepted.empty() ? "" : ", ") + K;
    Errors.add(Name.source(), fieldName(Text), "is unknown; accepted here are " + Accepted);
  }
}

} // namespace valveshelf
