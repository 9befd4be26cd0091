// SPDX-License-Identifier: Apache-2.0
// Parser and matcher of label selectors.
#include "valveshelf/selector.h"

#include <algorithm>
#include <cctype>

namespace valveshelf {
namespace {

std::string trim(std::string_view Text) {
  const auto Begin = Text.find_first_not_of(" \t");
  if (Begin == std::string_view::npos)
    return {};
  return std::string(Text.substr(Begin, Text.find_last_not_of(" \t") - Begin + 1));
}

bool isLabelText(const std::string &Text) {
  return !Text.empty() && std::all_of(Text.begin(), Text.end(), [](unsigned char C) {
    return std::isalnum(C) || C == '-' || C == '_' || C == '.' || C == '/';
  });
}

// Splits at commas outside parentheses.
std::vector<std::string> splitTerms(std::string_view Text) {
  std::vector<std::string> Parts(1);
  int Depth = 0;
  for (char C : Text) {
    Depth += C == '(' ? 1 : C == ')' ? -1 : 0;
    if (C == ',' && Depth == 0)
      Parts.emplace_back();
    else
      Parts.back() += C;
  }
  return Parts;
}

Error invalidTerm(const std::string &Part) {
  return {ErrorKind::BadRequest,
          "selector term '" + Part +
              "' is not one of key=value, key!=value, key in (a,b), key notin (a,b), key, !key"};
}

Result<SelectorTerm> validated(SelectorTerm Term, const std::string &Part) {
  if (!isLabelText(Term.Key) || !std::all_of(Term.Values.begin(), Term.Values.end(), isLabelText))
    return invalidTerm(Part);
  return Term;
}

Result<SelectorTerm> parseSet(const std::string &Part, size_t Open) {
  if (Part.back() != ')')
    return invalidTerm(Part);
  SelectorTerm Term;
  const std::string Head = trim(Part.substr(0, Open));
  const auto Space = Head.find_last_of(" \t");
  if (Space == std::string::npos)
    return invalidTerm(Part);
  const std::string Word = Head.substr(Space + 1);
  if (Word != "in" && Word != "notin")
    return invalidTerm(Part);
  Term.Op = Word == "in" ? SelectorTerm::Operator::In : SelectorTerm::Operator::NotIn;
  Term.Key = trim(Head.substr(0, Space));
  for (const std::string &Value : splitTerms(Part.substr(Open + 1, Part.size() - Open - 2)))
    Term.Values.push_back(trim(Value));
  return validated(std::move(Term), Part);
}

Result<SelectorTerm> parseTerm(const std::string &Part) {
  using Operator = SelectorTerm::Operator;
  if (const auto Open = Part.find('('); Open != std::string::npos)
    return parseSet(Part, Open);
  if (const auto At = Part.find("!="); At != std::string::npos && At > 0)
    return validated({trim(Part.substr(0, At)), Operator::NotIn, {trim(Part.substr(At + 2))}},
                     Part);
  if (const auto At = Part.find('='); At != std::string::npos)
    return validated({trim(Part.substr(0, At)), Operator::In, {trim(Part.substr(At + 1))}}, Part);
  if (Part.front() == '!')
    return validated({trim(Part.substr(1)), Operator::Absent, {}}, Part);
  return validated({Part, Operator::Exists, {}}, Part);
}

bool meets(const SelectorTerm &Term, const Labels &Value) {
  using Operator = SelectorTerm::Operator;
  const auto Found = Value.find(Term.Key);
  const bool Has = Found != Value.end();
  const bool Listed =
      Has && std::find(Term.Values.begin(), Term.Values.end(), Found->second) != Term.Values.end();
  switch (Term.Op) {
  case Operator::In:
    return Listed;
  case Operator::NotIn:
    return !Listed;
  case Operator::Exists:
    return Has;
  case Operator::Absent:
    return !Has;
  }
  return false;
}

} // namespace

Result<Selector> parseSelector(std::string_view Text) {
  Selector Parsed;
  if (trim(Text).empty())
    return Parsed;
  for (const std::string &Raw : splitTerms(Text)) {
    const std::string Part = trim(Raw);
    if (Part.empty())
      return invalidTerm(Part);
    Result<SelectorTerm> Term = parseTerm(Part);
    if (!ok(Term))
      return error(Term);
    Parsed.Terms.push_back(value(Term));
  }
  return Parsed;
}

bool matches(const Selector &Wanted, const Labels &Value) {
  return std::all_of(Wanted.Terms.begin(), Wanted.Terms.end(),
                     [&](const SelectorTerm &Term) { return meets(Term, Value); });
}

} // namespace valveshelf
