// SPDX-License-Identifier: Apache-2.0
// Formats the overload page of a process as text.
#include "admission/overload_report.h"

#include <boost/json.hpp>

#include <sstream>

namespace valveshelf {
namespace {
namespace json = boost::json;

std::string textOf(const json::value &Value) {
  return Value.is_string() ? std::string(Value.as_string()) : json::serialize(Value);
}

// One row of "name=value" words.
void writeRow(std::ostringstream &Text, const json::value &Row) {
  Text << "  ";
  for (const auto &[Name, Value] : Row.as_object())
    Text << " " << std::string_view(Name) << "=" << textOf(Value);
  Text << "\n";
}

void writeForecast(std::ostringstream &Text, const json::value &Forecast) {
  if (Forecast.is_null()) {
    Text << "  no forecast; every job is accepted\n";
    return;
  }
  const json::object &Known = Forecast.as_object();
  Text << "  forecast of term " << textOf(Known.at("term")) << ", " << textOf(Known.at("age_ms"))
       << " ms old" << (Known.at("used").as_bool() ? "" : "; too old or of another term, not used")
       << "\n";
  for (const auto &[Service, Classes] : Known.at("services").as_object())
    for (const json::value &Row : Classes.as_array()) {
      Text << "    " << std::string_view(Service);
      writeRow(Text, Row);
    }
  for (const char *Name : {"organisation_wait_ms", "over_share", "run_time_ratios"})
    if (const json::value &Part = Known.at(Name);
        Part.is_object() ? !Part.as_object().empty() : !Part.as_array().empty())
      Text << "    " << Name << ": " << json::serialize(Part) << "\n";
}

std::string formatPage(const json::object &Page) {
  std::ostringstream Text;
  for (const auto &[Name, Part] : Page) {
    if (Name == "forecast") {
      writeForecast(Text, Part);
    } else if (Part.is_array()) {
      Text << "  " << std::string_view(Name) << ":" << (Part.as_array().empty() ? " none" : "")
           << "\n";
      for (const json::value &Row : Part.as_array())
        if (Row.is_object())
          writeRow(Text, Row);
        else
          Text << "    " << textOf(Row) << "\n";
    } else {
      Text << "  " << std::string_view(Name) << ":";
      if (Part.is_object())
        writeRow(Text, Part);
      else
        Text << " " << textOf(Part) << "\n";
    }
  }
  return Text.str();
}
} // namespace

Result<std::string> overloadTable(std::string_view Body) {
  try {
    return formatPage(json::parse(Body).as_object());
  } catch (const std::exception &Failure) {
    return Error{ErrorKind::BadRequest,
                 "the answer is not an overload page: " + std::string(Failure.what())};
  }
}

} // namespace valveshelf
