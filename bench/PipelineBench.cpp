#include "BenchReport.h"
#include "Processes.h"
#include "StreamClient.h"

#include "gentianloom/base/Ids.h"

#include <algorithm>
#include <atomic>
#include <thread>

namespace gentianloom::bench {

namespace {

constexpr int kEngines = 4;
constexpr int kLatencyRounds = 400;
constexpr std::int64_t kTokenMicros = 30'000;
constexpr std::int64_t kFirstTokenMicros = 5'000;
constexpr int kNodeStreams = 160;
constexpr int kManyStreams = 1'600;
constexpr double kHoldSeconds =
  15; ///< duration of 500 tokens, the length of a stream at the target
constexpr double kThousand = 1000;

std::string ConfigurationText()
{
  Json endpoints = Json::array();
  for (int n = 1; n <= kEngines; ++n) {
    endpoints.push_back({ { "name", "engine-" + std::to_string(n) },
                          { "zone", "zone-1" },
                          { "model", "bench-model" },
                          { "slots", kManyStreams } });
  }
  return Json{
    { "deployment", "bench" },
    { "teams", Json::array({ { { "name", "bench" } } }) },
    { "organisations",
      Json::array({ { { "name", "bench" },
                      { "team", "bench" },
                      { "budget", "bench" },
                      { "keyDigests", Json::array({ KeyDigest("bench-key") }) } } }) },
    { "budgets", Json::array({ { { "name", "bench" }, { "prepaidTokens", 100'000'000'000 } } }) },
    { "models",
      Json::array(
        { { { "name", "bench-model" }, { "version", "1" }, { "mostOutputTokens", 100'000 } } }) },
    { "endpoints", endpoints }
  }.dump();
}

/// The processes that the bench measures.
struct Stage
{
  Processes mProcesses;
  std::string mRouter;
  std::string mEngine;
};

void Start(Stage& aStage)
{
  const auto& store = aStage.mProcesses.StartStandin("key-value", "key-value", {});
  Json addresses = Json::object();
  Json settings = { { "zone", "zone-1" },
                    { "keyValue", { { "addresses", Json::array({ store.mAddress }) } } },
                    { "operators", OperatorSettingsJson() },
                    { "budget", { { "fixedTokens", 100'000'000 } } },
                    { "serving",
                      { { "mostConnections", kManyStreams * 2 }, { "ringSlots", 4096 } } } };
  for (int n = 1; n <= kEngines; ++n) {
    const auto name = "engine-" + std::to_string(n);
    const auto& engine = aStage.mProcesses.StartStandin("engine",
                                                        name,
                                                        { "--token-micros",
                                                          std::to_string(kTokenMicros),
                                                          "--first-token-micros",
                                                          std::to_string(kFirstTokenMicros),
                                                          "--slots",
                                                          std::to_string(kManyStreams) });
    addresses[name] = engine.mAddress;
  }
  settings["endpointAddresses"] = addresses;
  aStage.mEngine = addresses["engine-1"].get<std::string>();
  aStage.mRouter = aStage.mProcesses.StartRouter("router-1", settings).mAddress;
  ApplyConfiguration(aStage.mRouter, ConfigurationText());
}

/// Measures the first-token latency through the router and directly, alternating, so that both are
/// measured under the same load.
Json MeasureLatency(const Stage& aStage, int aRounds, BenchReport& aReport)
{
  std::vector<double> direct;
  std::vector<double> routed;
  for (int n = 0; n < aRounds; ++n) {
    const auto one = ReadStream({ aStage.mEngine, "bench-key", 1 });
    const auto two = ReadStream({ aStage.mRouter, "bench-key", 1 });
    if (one.mTokens > 0 && two.mTokens > 0) {
      direct.push_back(one.mFirstTokenSeconds * kThousand);
      routed.push_back(two.mFirstTokenSeconds * kThousand);
    }
  }
  const double median = Quantile(routed, 0.5) - Quantile(direct, 0.5);
  const double tail = Quantile(routed, 0.99) - Quantile(direct, 0.99);
  aReport.mGoals.push_back({ "first token added, median", 1.0, median, "ms" });
  return { { "part", "latency" },
           { "rounds", routed.size() },
           { "direct_median_ms", Quantile(direct, 0.5) },
           { "direct_p99_ms", Quantile(direct, 0.99) },
           { "routed_median_ms", Quantile(routed, 0.5) },
           { "routed_p99_ms", Quantile(routed, 0.99) },
           { "added_median_ms", median },
           { "added_p99_ms", tail } };
}

/// Keeps streams open for some time and measures the resources that the router uses in it.
Json MeasureStreams(Stage& aStage, int aStreams, double aSeconds)
{
  const auto tokens = static_cast<std::int64_t>(aSeconds * 1e6 / kTokenMicros);
  std::atomic<std::int64_t> relayed{ 0 };
  std::atomic<int> whole{ 0 };
  std::vector<std::thread> callers;
  callers.reserve(static_cast<std::size_t>(aStreams));
  const auto& router = aStage.mProcesses.Of("router-1");
  const auto before = router.Use();
  const auto start = std::chrono::steady_clock::now();
  for (int n = 0; n < aStreams; ++n) {
    callers.emplace_back([&] {
      const auto result = ReadStream({ aStage.mRouter, "bench-key", tokens });
      relayed += result.mTokens;
      whole += result.mWhole ? 1 : 0;
    });
  }
  std::this_thread::sleep_for(std::chrono::duration<double>(aSeconds / 2));
  const auto middle = router.Use();
  for (auto& it : callers) {
    it.join();
  }
  const auto after = router.Use();
  const std::chrono::duration<double> took = std::chrono::steady_clock::now() - start;
  const double cpu = after.mCpuSeconds - before.mCpuSeconds;
  const auto count = static_cast<double>(relayed.load());
  return { { "part", "streams" },
           { "streams", aStreams },
           { "whole", whole.load() },
           { "tokens", relayed.load() },
           { "seconds", took.count() },
           { "tokens_per_second", count / took.count() },
           { "router_cpu_seconds", cpu },
           { "router_system_share",
             cpu > 0 ? (after.mSystemSeconds - before.mSystemSeconds) / cpu : 0 },
           { "cpu_ms_per_thousand_tokens", count > 0 ? cpu * 1e6 / count : 0 },
           { "tokens_per_core_second", cpu > 0 ? count / cpu : 0 },
           { "router_resident_mb", middle.mResidentMegabytes } };
}

} // namespace

BenchReport RunPipelineBench(const BenchOptions& aOptions)
{
  BenchReport report;
  Stage stage;
  Start(stage);
  const auto rounds = std::max(20, static_cast<int>(kLatencyRounds * aOptions.mScale));
  const double hold = std::max(1.0, kHoldSeconds * aOptions.mScale);
  report.mRuns.push_back(MeasureLatency(stage, rounds, report));
  report.mRuns.push_back(MeasureStreams(stage, kNodeStreams, hold));
  const auto node = report.mRuns.back();
  report.mRuns.push_back(MeasureStreams(stage, kManyStreams, hold));
  const auto many = report.mRuns.back();
  report.mGoals.push_back({ "tokens relayed per second of one core",
                            50'000,
                            many["tokens_per_core_second"].get<double>(),
                            "tokens/s",
                            GoalSide::AtLeast });
  report.mGoals.push_back(
    { "memory at 160 streams", 128, node["router_resident_mb"].get<double>(), "MB" });
  report.mGoals.push_back({ "whole answers at 1,600 streams",
                            kManyStreams,
                            many["whole"].get<double>(),
                            "streams",
                            GoalSide::AtLeast });
  return report;
}

} // namespace gentianloom::bench
