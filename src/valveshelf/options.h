// SPDX-License-Identifier: Apache-2.0
// Option parsing that all subcommands share: help, errors, one call to an entry process.
#pragma once

#include "commands.h"

#include "valveshelf/http.h"

#include <cxxopts.hpp>

#include <optional>

namespace valveshelf {

/// Parses \p Args with \p Options. On --help or an error it prints and sets \p Exit.
std::optional<cxxopts::ParseResult> parseOptions(cxxopts::Options &Options, const Arguments &Args,
                                                 int &Exit);

/// Makes one HTTP call and waits for it.
Result<HttpResponse> callEntry(const std::string &Address, HttpRequest Request,
                               Milliseconds Timeout);

/// Prints an answer: the body on success, the error otherwise. Returns the exit code.
int printAnswer(const Result<HttpResponse> &Answer, const std::string &Output);

/// Reads a file, or standard input for "-". BadRequest if it can't.
Result<std::string> readFile(const std::string &Path);

} // namespace valveshelf
