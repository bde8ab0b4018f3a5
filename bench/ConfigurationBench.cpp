#include "BenchReport.h"

#include "ForwardingStore.h"
#include "MemoryStore.h"
#include "gentianloom/base/Ids.h"
#include "gentianloom/configuration/ConfigurationDistribution.h"
#include "gentianloom/configuration/ConfigurationJson.h"
#include "gentianloom/configuration/ConfigurationStore.h"

#include <ctime>

#include <malloc.h>

namespace gentianloom::bench {

namespace {

constexpr int kOrganisations = 50'000;
constexpr int kBudgets = 16'000;
constexpr int kSmallChanges = 20;
constexpr double kChangesADay = 9'800;
constexpr double kSecondsADay = 86'400;

/// Limit of a node's share for all control traffic, of which configuration is a part.
constexpr double kCoreGoal = 0.012;
constexpr double kBytesGoal = 30'000;
constexpr double kMegabytesGoal = 128;

double ProcessorSeconds()
{
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

/// Allocated memory of the process, without memory that it has freed but not returned.
double UsedMegabytes()
{
  const auto info = mallinfo2();
  constexpr double kBytesInMegabyte = 1'000'000;
  return static_cast<double>(info.uordblks + info.hblkhd) / kBytesInMegabyte;
}

Configuration TargetConfiguration(double aScale)
{
  Configuration out;
  out.mDeployment = "target";
  out.mTeams = { { "team" } };
  const auto budgets = std::max(1, static_cast<int>(kBudgets * aScale));
  for (int n = 0; n < budgets; ++n) {
    out.mBudgets.push_back({ "budget-" + std::to_string(n), 1'000'000 });
  }
  const auto organisations = static_cast<int>(kOrganisations * aScale);
  for (int n = 0; n < organisations; ++n) {
    const auto number = std::to_string(n);
    out.mOrganisations.push_back({ "organisation-" + number,
                                   "team",
                                   "budget-" + std::to_string(n % budgets),
                                   { "sha256:" + std::string(64 - number.size(), 'a') + number },
                                   1,
                                   0 });
  }
  return out;
}

/// Counts calls and bytes of the key-value service.
class CountingStore final : public standin::ForwardingStore
{
public:
  explicit CountingStore(KeyValueStore& aStore)
    : ForwardingStore(aStore)
  {
  }
  std::size_t mCalls = 0;
  std::size_t mBytes = 0;

  Result<RangeResponse> Range(std::string_view aKey, bool aIsPrefix, Step aStep) override
  {
    ++mCalls;
    auto answer = ForwardingStore::Range(aKey, aIsPrefix, aStep);
    for (const auto& it : answer.value().mEntries) {
      mBytes += it.mValue.size();
    }
    return answer;
  }
  CommitResult Commit(const Transaction& aTransaction, Step aStep) override
  {
    ++mCalls;
    for (const auto& it : aTransaction.mWrites) {
      mBytes += it.mValue.size();
    }
    return ForwardingStore::Commit(aTransaction, aStep);
  }
};

/// Processor time, calls and bytes of one part of the run.
struct Part
{
  double mSeconds = 0;
  double mCalls = 0;
  double mBytes = 0;
};

Part Measure(CountingStore& aStore, int aTimes, const std::function<void(int)>& aRun)
{
  aStore.mCalls = 0;
  aStore.mBytes = 0;
  const auto began = ProcessorSeconds();
  for (int n = 0; n < aTimes; ++n) {
    aRun(n);
  }
  return { (ProcessorSeconds() - began) / aTimes,
           static_cast<double>(aStore.mCalls) / aTimes,
           static_cast<double>(aStore.mBytes) / aTimes };
}

Json PartJson(std::string_view aName, const Part& aPart)
{
  return { { "part", aName },
           { "processorSeconds", aPart.mSeconds },
           { "calls", aPart.mCalls },
           { "bytes", aPart.mBytes } };
}

ApplyRequest Order(int aNumber)
{
  ApplyRequest out;
  out.mOperator = "bench";
  out.mApplyId = "order-" + std::to_string(aNumber);
  return out;
}

} // namespace

BenchReport RunConfigurationBench(const BenchOptions& aOptions)
{
  const SystemClock clock;
  standin::MemoryStore memory(clock);
  CountingStore counting(memory);
  ConfigurationStore store(counting);
  auto stated = TargetConfiguration(aOptions.mScale);
  const auto text = SerializeConfiguration(stated);
  BenchReport report;

  const auto check = Measure(counting, 1, [&](int) { ParseConfiguration(text, "target"); });
  const auto apply = Measure(counting, 1, [&](int) { store.Apply(stated, Order(0)).value(); });
  const auto memoryBefore = UsedMegabytes();
  ConfigurationSnapshot held;
  const auto read = Measure(counting, 1, [&](int) {
    held.mHead = store.ReadHead().value();
    held.mAccepted = store.ReadConfiguration(held.mHead, {}).value();
  });
  const auto megabytes = UsedMegabytes() - memoryBefore;

  ConfigurationProvider shelf;
  shelf.Publish(held);
  Part small;
  Part fetch;
  for (int n = 1; n <= kSmallChanges; ++n) {
    auto& organisation =
      stated.mOrganisations[StableHash("change", aOptions.mSeed + static_cast<std::uint64_t>(n)) %
                            stated.mOrganisations.size()];
    organisation.mWeight = 2 + n;
    const auto one = Measure(counting, 1, [&](int) { store.Apply(stated, Order(n)).value(); });
    ConfigurationSnapshot next;
    next.mHead = store.ReadHead().value();
    next.mAccepted = store.ReadConfiguration(next.mHead, held.mAccepted).value();
    shelf.Publish(next);
    std::size_t bytes = 0;
    const FetchFunction call = [&](const std::string&, const wire::ConfigurationRequest& aRequest) {
      auto answer = shelf.Answer(aRequest);
      for (const auto& it : answer.chunks) {
        bytes += it.content.size();
      }
      return Result<wire::ConfigurationAnswer>(std::move(answer));
    };
    const auto got = Measure(counting, 1, [&](int) {
      held = FetchFromPeer(call, "peer", held, held.mHead.mVersion + 1).value();
    });
    small.mSeconds += one.mSeconds / kSmallChanges;
    small.mCalls += one.mCalls / kSmallChanges;
    small.mBytes += one.mBytes / kSmallChanges;
    fetch.mSeconds += got.mSeconds / kSmallChanges;
    fetch.mBytes += static_cast<double>(bytes) / kSmallChanges;
  }
  report.mRuns = { { { "organisations", stated.mOrganisations.size() },
                     { "budgets", stated.mBudgets.size() },
                     { "fileBytes", text.size() },
                     { "megabytes", megabytes } },
                   PartJson("check of the whole file", check),
                   PartJson("apply of the whole file", apply),
                   PartJson("read of the whole from the service", read),
                   PartJson("apply of a change of one organisation", small),
                   PartJson("fetch of that change from a peer", fetch) };
  const double changes = kChangesADay / kSecondsADay;
  // A node of the distribution tree receives a change once and forwards it to at most eight others,
  // on average to one.
  report.mGoals = {
    { "memory of a router for the configuration", kMegabytesGoal, megabytes, "MB" },
    { "core of a node for 9,800 changes a day", kCoreGoal, fetch.mSeconds * changes, "cores" },
    { "bytes of a node, in and out, for 9,800 changes a day",
      kBytesGoal,
      2 * fetch.mBytes * changes,
      "B/s" },
  };
  return report;
}

} // namespace gentianloom::bench
