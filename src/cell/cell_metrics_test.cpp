// SPDX-License-Identifier: Apache-2.0
// Guards against differences between docs/METRICS.md and the code. VALVESHELF_UPDATE=1 rewrites the
// page.
#include "valveshelf/cell_metrics.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <iterator>

namespace valveshelf {
namespace {

std::string catalogue() {
  std::string Text = "# Metrics\n\nEach process serves these at its metrics address, in the text "
                     "form of Prometheus. This page is checked\nagainst the code by a test.\n\n"
                     "| name | type | meaning |\n| --- | --- | --- |\n";
  for (const MetricDescriptor *Metric : allMetrics())
    Text += "| valveshelf_" + std::string(Metric->Name) + " | " + std::string(Metric->Type) +
            " | " + std::string(Metric->Help) + " |\n";
  return Text;
}

TEST(CellMetrics, CatalogueMatchesTheTable) {
  const std::string Path = VALVESHELF_SOURCE_DIR "/docs/METRICS.md";
  if (std::getenv("VALVESHELF_UPDATE"))
    std::ofstream(Path) << catalogue();
  std::ifstream File(Path);
  const std::string Written(std::istreambuf_iterator<char>(File), {});
  EXPECT_EQ(Written, catalogue());
}

TEST(CellMetrics, ServesMetricsAsText) {
  CellMetrics Metrics;
  Metrics.count(metrics::Calls, "GET 200");
  Metrics.count(metrics::Calls, "GET 200");
  Metrics.observe(metrics::CallSeconds, Milliseconds(30));
  Metrics.set(metrics::Jobs, 7);
  const std::string Text = Metrics.text();
  EXPECT_NE(Text.find("valveshelf_calls_total{case=\"GET 200\"} 2"), std::string::npos) << Text;
  EXPECT_NE(Text.find("valveshelf_call_seconds_bucket{le=\"0.05\"} 1"), std::string::npos) << Text;
  EXPECT_NE(Text.find("valveshelf_jobs 7"), std::string::npos) << Text;
}

} // namespace
} // namespace valveshelf
