#include "gentianloom/routing/EndpointTable.h"

#include <cppunit/extensions/HelperMacros.h>

namespace gentianloom {

namespace {

using std::chrono::seconds;

AcceptedConfiguration MakeConfigurationOfTwoModels()
{
  Configuration out;
  out.mModels = { { "large", "1" }, { "small", "1" } };
  out.mEndpoints = {
    { "a", "near", "large", { "legal" } },
    { "b", "far", "large", {} },
    { "c", "far", "large", {} },
    { "s", "near", "small", {} },
    { "p", "near", "large", {}, EndpointRole::Prefill },
  };
  for (auto& it : out.mEndpoints) {
    it.mSlots = 4;
  }
  return { 1, "digest", out };
}

} // namespace

class PlacementTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PlacementTest);
  CPPUNIT_TEST(TestPolicies);
  CPPUNIT_TEST(TestLoadEstimate);
  CPPUNIT_TEST(TestPrefixes);
  CPPUNIT_TEST(TestConcurrencyLimit);
  CPPUNIT_TEST(TestEjection);
  CPPUNIT_TEST(TestModelAndAdapterMatch);
  CPPUNIT_TEST(TestCapacityAndAffinity);
  CPPUNIT_TEST(TestMaxEjectedShare);
  CPPUNIT_TEST(TestPollSubset);
  CPPUNIT_TEST_SUITE_END();

public:
  void TestPolicies()
  {
    const Candidate candidates[] = { { "a", 100, 0 }, { "b", 100, 0 }, { "c", 100, 0 } };
    Candidate oneFast[] = { { "a", 100, 0 }, { "b", 10, 0 }, { "c", 100, 0 } };
    struct Row
    {
      std::string_view mPolicy;
      bool mAlwaysChoosesFast; // whether the much faster endpoint is always chosen
    };
    for (const Row& row :
         { Row{ "round-robin", false }, Row{ "random", false }, Row{ "least-wait", true } }) {
      RandomSource random(7);
      auto policy = MakePlacementPolicy(row.mPolicy, 2);
      int counts[3] = {};
      int fastChosen = 0;
      for (int n = 0; n < 300; ++n) {
        ++counts[policy->Choose(candidates, random)];
        fastChosen += policy->Choose(oneFast, random) == 1 ? 1 : 0;
      }
      for (const int it : counts) {
        CPPUNIT_ASSERT_MESSAGE(std::string(row.mPolicy), it > 60);
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        std::string(row.mPolicy), row.mAlwaysChoosesFast, fastChosen == 300);
    }
  }

  void TestLoadEstimate()
  {
    const TimePoint start{ seconds(100) };
    LoadEstimate load;
    load.OnStart(start);
    load.OnStart(start);
    // A report measured at 2 s counts these two requests and three of other routers. Another
    // request starts at 3 s.
    load.OnStart(start + seconds(3));
    load.OnReport(5, start + seconds(2));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(6, load.Running(start + seconds(2)), 0.5);
    load.OnEnd(start + seconds(3));
    load.OnEnd(start + seconds(3));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 1 }, load.OwnCount());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(3.8, load.Running(start + seconds(3)), 0.2);
    load.OnReport(50, start + seconds(1)); // an older report that arrives late is ignored
    CPPUNIT_ASSERT_DOUBLES_EQUAL(3.8, load.Running(start + seconds(3)), 0.2);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, load.Running(start + seconds(120)), 0.1);
  }

  void TestPrefixes()
  {
    const TimePoint now{ seconds(100) };
    std::string prompt(5 * kPrefixBlockBytes + 7, 'x');
    const auto hashes = HashPrefixes(prompt);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 5 }, hashes.size());
    prompt[3 * kPrefixBlockBytes] = 'y';
    const auto other = HashPrefixes(prompt);
    CPPUNIT_ASSERT(hashes[2] == other[2] && hashes[3] != other[3] && hashes[4] != other[4]);
    PrefixTable table;
    for (std::int64_t n = 0; n < 5; ++n) {
      table.OnEvent({ n + 1, hashes[static_cast<std::size_t>(n)] }, now);
    }
    const double whole = table.CachedShare(hashes, now);
    CPPUNIT_ASSERT(whole > 0.9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(whole * 3 / 5, table.CachedShare(other, now), 0.01);
    CPPUNIT_ASSERT(table.CachedShare(hashes, now + seconds(120)) < 0.55);
    table.OnEvent({ 4, hashes[0], false }, now); // ignored: not newer than the last event
    CPPUNIT_ASSERT_DOUBLES_EQUAL(whole, table.CachedShare(hashes, now), 0.001);
    table.OnEvent({ 9, 1 }, now); // events 6 to 8 were lost
    CPPUNIT_ASSERT_DOUBLES_EQUAL(whole / 2, table.CachedShare(hashes, now), 0.001);
    table.OnEvent({ 10, hashes[0], false }, now);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0, table.CachedShare(hashes, now), 0.001);
  }

  void TestConcurrencyLimit()
  {
    TimePoint now{ seconds(100) };
    ConcurrencyLimit limit(8, Millis(100));
    for (int n = 0; n < 3; ++n) {
      limit.OnFirstToken(Millis(300), 8, now); // decreases once for a burst
    }
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 6 }, limit.Value());
    for (int n = 0; n < 50; ++n) {
      now += seconds(2);
      limit.OnRefused(now);
    }
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 1 }, limit.Value());
    limit.OnFirstToken(Millis(10), 0, now); // the limit is not used, so it is not raised
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 1 }, limit.Value());
    for (int n = 0; n < 100; ++n) {
      limit.OnFirstToken(Millis(10), limit.Value(), now);
    }
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 8 }, limit.Value());
  }

  void TestEjection()
  {
    struct Row
    {
      AttemptOutcome mOutcome;
      int mCount;
      Millis mAdvance;
      EjectionState mState;
    };
    const Row rows[] = {
      { AttemptOutcome::Interrupted, 2, Millis(0), EjectionState::Healthy },
      { AttemptOutcome::Done, 1, Millis(0), EjectionState::Healthy },
      { AttemptOutcome::NotReached, 2, Millis(0), EjectionState::Healthy },
      { AttemptOutcome::Refused, 5, Millis(0), EjectionState::Healthy },
      { AttemptOutcome::CallerDisconnected, 5, Millis(0), EjectionState::Healthy },
      { AttemptOutcome::TimedOut, 1, Millis(0), EjectionState::Ejected },
      { AttemptOutcome::Done,
        5,
        Millis(999),
        EjectionState::Ejected }, // requests from before the ejection
      { AttemptOutcome::Refused, 1, Millis(1), EjectionState::Probing },
      { AttemptOutcome::Interrupted,
        1,
        Millis(1'999),
        EjectionState::Ejected }, // ejected for twice as long
      { AttemptOutcome::Refused, 1, Millis(1), EjectionState::Probing },
      { AttemptOutcome::Done, 2, Millis(0), EjectionState::Probing },
      { AttemptOutcome::Done, 1, Millis(0), EjectionState::Healthy },
    };
    OutlierEjection ejection;
    TimePoint now{ seconds(100) };
    for (const auto& row : rows) {
      for (int n = 0; n < row.mCount; ++n) {
        ejection.OnAttempt(row.mOutcome, now);
      }
      now += row.mAdvance;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(&row - rows),
                                   static_cast<int>(row.mState),
                                   static_cast<int>(ejection.StateAt(now)));
    }
  }

  void TestModelAndAdapterMatch()
  {
    const auto configuration = MakeConfigurationOfTwoModels();
    struct Row
    {
      std::string mModel;
      std::string mAdapter;
      std::vector<std::string> mExcluded;
      std::string mPlaced; // empty: no endpoint
    };
    const Row rows[] = {
      { "small", "", {}, "s" },           { "large", "legal", {}, "a" },
      { "large", "", { "b", "c" }, "a" }, // p is a prefill endpoint
      { "large", "", { "a", "b" }, "c" }, { "large", "legal", { "a" }, "" },
      { "small", "", { "s" }, "" },       { "none", "", {}, "" },
    };
    ManualClock clock;
    EndpointTable table({}, RoutingSettings{}, Millis(3'000), clock, nullptr, 1);
    for (const char* name : { "a", "b", "c", "s", "p" }) {
      table.Update(ListedEndpoint{ name, "127.0.0.1:1", "near" });
    }
    for (const auto& row : rows) {
      const auto answer = table.PlaceModel(
        configuration, row.mModel, "near", row.mExcluded, { "", row.mAdapter, {} });
      CPPUNIT_ASSERT_EQUAL(row.mPlaced, answer ? answer.value().mEndpoint : std::string());
      CPPUNIT_ASSERT(answer || answer.error().mCode == ErrorCode::NoEndpoint);
    }
  }

  void TestCapacityAndAffinity()
  {
    const auto configuration = MakeConfigurationOfTwoModels();
    ManualClock clock;
    EndpointTable table({}, RoutingSettings{}, Millis(3'000), clock, nullptr, 1);
    for (const char* name : { "a", "b", "c" }) {
      table.Update(ListedEndpoint{ name, "127.0.0.1:1", "near" });
    }
    const PlacementHints hints{ "", "", HashPrefixes(std::string(8 * kPrefixBlockBytes, 'x')) };
    const auto first = table.PlaceModel(configuration, "large", "near", {}, hints);
    for (int n = 0; n < 2; ++n) {
      table.OnFirstToken(first.value().mEndpoint, Millis(20)); // the prompt was processed
      const auto again = table.PlaceModel(configuration, "large", "near", {}, hints);
      CPPUNIT_ASSERT_EQUAL(first.value().mEndpoint, again.value().mEndpoint);
    }
    for (int n = 0; n < 9; ++n) {
      CPPUNIT_ASSERT(table.PlaceModel(configuration, "large", "near"));
    }
    const auto full = table.PlaceModel(configuration, "large", "near");
    CPPUNIT_ASSERT(!full && full.error().mCode == ErrorCode::Overloaded);
    CPPUNIT_ASSERT(full.error().mRetryAfter.has_value());
    table.Release("b");
    CPPUNIT_ASSERT_EQUAL(std::string("b"),
                         table.PlaceModel(configuration, "large", "near").value().mEndpoint);
  }

  void TestMaxEjectedShare()
  {
    const auto configuration = MakeConfigurationOfTwoModels();
    ManualClock clock;
    EndpointTable table({}, RoutingSettings{}, Millis(3'000), clock, nullptr, 1);
    for (const char* name : { "a", "b", "c" }) {
      table.Update(ListedEndpoint{ name, "127.0.0.1:1", "near" });
      for (int n = 0; n < 3; ++n) {
        table.OnAttempt({ name, "", AttemptOutcome::Interrupted });
      }
    }
    // All three failed. At most half of three, so one, is ejected at a time.
    std::set<std::string> used;
    for (int n = 0; n < 6; ++n) {
      const auto answer = table.PlaceModel(configuration, "large", "near");
      CPPUNIT_ASSERT(answer);
      used.insert(answer.value().mEndpoint);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, used.size());
  }

  void TestPollSubset()
  {
    Configuration stated;
    for (int n = 0; n < 1'000; ++n) {
      const auto model = "m" + std::to_string(n % 26);
      stated.mEndpoints.push_back({ "e" + std::to_string(n), n % 4 == 0 ? "near" : "far", model });
    }
    const AcceptedConfiguration configuration(1, "digest", stated);
    EndpointPools pools;
    const auto inUse = [](const std::string& it) { return it == "m1" || it == "m2"; };
    const auto isUnavailable = [](const std::string& it) { return it == "e1"; };
    std::map<std::string, int> polls;
    for (int n = 0; n < 100; ++n) {
      const auto name = "router-" + std::to_string(n);
      const auto chosen =
        pools.ChoosePolled(configuration, { name, "near", 20, inUse, isUnavailable });
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 20 }, chosen.size());
      for (const auto& it : chosen) {
        CPPUNIT_ASSERT(inUse(it.mModel));
        ++polls[it.mName];
      }
    }
    CPPUNIT_ASSERT(!polls.contains("e1"));
    CPPUNIT_ASSERT(polls.size() > 60); // covers nearly all of the two models' 77 endpoints
    const auto all =
      pools.ChoosePolled(configuration, { "r", "near", 5'000, inUse, isUnavailable });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1'000 }, all.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementTest);

} // namespace gentianloom
