// SPDX-License-Identifier: Apache-2.0
// Every folder of the test suite with a session.txt is played and compared with its golden
// file, reference.txt. VALVESHELF_UPDATE=1 writes the references anew.
#include "session/player.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>

namespace valveshelf::sessions {
namespace {
namespace fs = std::filesystem;

std::string read(const fs::path &Path) {
  std::ifstream File(Path);
  return {std::istreambuf_iterator<char>(File), {}};
}

std::vector<std::string> linesOf(const std::string &Text) {
  std::vector<std::string> Lines;
  std::istringstream In(Text);
  for (std::string Line; std::getline(In, Line);)
    Lines.push_back(Line);
  return Lines;
}

// The first lines that differ, with what stands before them.
std::string difference(const std::string &Want, const std::string &Got) {
  const auto A = linesOf(Want);
  const auto B = linesOf(Got);
  size_t Same = 0;
  while (Same < A.size() && Same < B.size() && A[Same] == B[Same])
    ++Same;
  std::string Shown;
  for (size_t I = Same > 5 ? Same - 5 : 0; I < Same; ++I)
    Shown += "   " + A[I] + "\n";
  for (size_t I = Same; I < std::min(A.size(), Same + 6); ++I)
    Shown += " - " + A[I] + "\n";
  for (size_t I = Same; I < std::min(B.size(), Same + 6); ++I)
    Shown += " + " + B[I] + "\n";
  return Shown;
}

std::vector<fs::path> sessionFolders() {
  std::vector<fs::path> Found;
  for (const auto &Entry : fs::directory_iterator(VALVESHELF_SOURCE_DIR "/testsuite"))
    if (fs::exists(Entry.path() / "session.txt"))
      Found.push_back(Entry.path());
  std::sort(Found.begin(), Found.end());
  return Found;
}

class Session : public ::testing::TestWithParam<fs::path> {};

TEST_P(Session, MatchesItsReference) {
  const std::string Got = play(read(GetParam() / "session.txt"));
  const fs::path Reference = GetParam() / "reference.txt";
  if (std::getenv("VALVESHELF_UPDATE"))
    std::ofstream(Reference) << Got;
  const std::string Want = read(Reference);
  EXPECT_EQ(Want == Got, true) << "the session differs from " << Reference << ":\n"
                               << difference(Want, Got);
}

INSTANTIATE_TEST_SUITE_P(Golden, Session, ::testing::ValuesIn(sessionFolders()),
                         [](const auto &Info) {
                           std::string Name = Info.param.filename().string();
                           std::replace(Name.begin(), Name.end(), '-', '_');
                           return Name;
                         });

} // namespace
} // namespace valveshelf::sessions
