// SPDX-License-Identifier: Apache-2.0
// Helpers shared by the subcommands: option parsing, HTTP calls to an entry process, file input.
#pragma once

#include "commands.h"

#include "valveshelf/http.h"

#include <cxxopts.hpp>

#include <optional>

namespace valveshelf {

/// Parses \p Args with \p Options. On --help or an error, prints the help or the error, sets \p
/// Exit to the exit code and returns nullopt.
std::optional<cxxopts::ParseResult> parseOptions(cxxopts::Options &Options, const Arguments &Args,
                                                 int &Exit);

/// Sends one HTTP request and blocks until it is answered or fails.
Result<HttpResponse> callEntry(const std::string &Address, HttpRequest Request,
                               Milliseconds Timeout);

/// Prints the response body to stdout on success, else the error to stderr. Returns the exit code.
int printAnswer(const Result<HttpResponse> &Answer, const std::string &Output);

/// Reads a file, or standard input for "-". Returns BadRequest if the file can't be opened.
Result<std::string> readFile(const std::string &Path);

} // namespace valveshelf
