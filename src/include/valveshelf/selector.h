// SPDX-License-Identifier: Apache-2.0
// Label selectors, by which workloads select boxes and operators select workloads.
#pragma once

#include "valveshelf/errors.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace valveshelf {

using Labels = std::map<std::string, std::string>;

/// One condition of a selector.
struct SelectorTerm {
  enum class Operator { In, NotIn, Exists, Absent };
  std::string Key;
  Operator Op = Operator::Exists;
  std::vector<std::string> Values;
};

/// A conjunction of terms. An empty selector matches everything.
struct Selector {
  std::vector<SelectorTerm> Terms;
};

/// Parses `key=value`, `key!=value`, `key in (a,b)`, `key notin (a,b)`, `key`, `!key`,
/// joined by commas. Returns BadRequest naming the first invalid term.
Result<Selector> parseSelector(std::string_view Text);

/// True if \p Value satisfies every term of \p Wanted.
bool matches(const Selector &Wanted, const Labels &Value);

} // namespace valveshelf
