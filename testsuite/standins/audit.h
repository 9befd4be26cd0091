// SPDX-License-Identifier: Apache-2.0
// The auditor: judges the records of stand-ins and callers against what must always hold. It
// never looks at the product's own books.
#pragma once

#include <boost/json.hpp>

#include <string>
#include <vector>

namespace standins {

/// One point of "What must always hold".
struct AuditRow {
  std::string Point;
  size_t Cases = 0;
  size_t Broken = 0;
  std::vector<std::string> Examples; ///< The first few breaks, in words.
};

/// Judges all records together, in any order.
std::vector<AuditRow> audit(const std::vector<boost::json::object> &Records);

/// Reads every `*.jsonl` file of a folder. Lines that can't be read are an error in \p Problems.
std::vector<boost::json::object> readRecords(const std::string &Folder,
                                             std::vector<std::string> &Problems);

/// Prints the table for `standins audit DIR`. Exit code 0 only if nothing is broken.
int runAudit(const std::string &Folder);

} // namespace standins
