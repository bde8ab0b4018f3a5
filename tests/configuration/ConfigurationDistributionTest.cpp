#include "ConfigurationTestSupport.h"

#include "gentianloom/configuration/ConfigurationJson.h"
#include "gentianloom/configuration/ConfigurationManager.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

namespace gentianloom::testing {

class ConfigurationDistributionTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ConfigurationDistributionTest);
  CPPUNIT_TEST(TestDistributionTree);
  CPPUNIT_TEST(TestIncrementalFetch);
  CPPUNIT_TEST(TestMalformedAnswers);
  CPPUNIT_TEST(TestManager);
  CPPUNIT_TEST_SUITE_END();

  static ConfigurationSnapshot MakeSnapshot(std::int64_t aVersion,
                                            const Configuration& aConfiguration)
  {
    ConfigurationSnapshot out;
    auto chunks = SplitConfiguration(aConfiguration).value();
    out.mHead.mVersion = aVersion;
    out.mHead.mDigest = chunks.mDigest;
    out.mAccepted = MakeAcceptedConfiguration(aVersion, std::move(chunks), {}).value();
    return out;
  }

public:
  /// For any fleet size only kDirectReaders routers may read the service, no router may have more
  /// than 8 children, and the delays must stay short.
  void TestDistributionTree()
  {
    for (const std::size_t n : { std::size_t{ 3 }, std::size_t{ 48 }, std::size_t{ 720 } }) {
      std::vector<PeerSettings> members;
      for (std::size_t at = 0; at < n; ++at) {
        members.push_back({ "r" + std::to_string(at), "a" + std::to_string(at) });
      }
      std::size_t directReaders = 0;
      std::map<std::string, std::size_t> children;
      Millis longestDelay{ 0 };
      for (const auto& it : members) {
        const auto plan = PlanFetch(it.mName, 17, members);
        directReaders += plan.mReadsFromStore ? 1 : 0;
        children[plan.mParent] += plan.mReadsFromStore ? 0 : 1;
        longestDelay = std::max(longestDelay, plan.mDelay);
        CPPUNIT_ASSERT(plan.mParent != it.mAddress);
      }
      CPPUNIT_ASSERT_EQUAL(std::min(n, kDirectReaders), directReaders);
      for (const auto& it : children) {
        CPPUNIT_ASSERT(it.second <= 8);
      }
      CPPUNIT_ASSERT(longestDelay <= Millis(1'200));
    }
  }

  /// A router with an earlier version must receive only the chunks that differ; all others must
  /// receive the whole configuration.
  void TestIncrementalFetch()
  {
    const auto old = SampleConfiguration(5'000);
    auto configuration = old;
    configuration.mOrganisations[3].mWeight = 7;
    ConfigurationProvider provider;
    provider.Publish(MakeSnapshot(1, old));
    provider.Publish(MakeSnapshot(2, configuration));
    std::size_t bytes = 0;
    int calls = 0;
    const FetchFunction fetch = [&](const std::string&,
                                    const wire::ConfigurationRequest& aRequest) {
      ++calls;
      auto answer = provider.Answer(aRequest);
      for (const auto& it : answer.chunks) {
        bytes += it.content.size();
      }
      return Result<wire::ConfigurationAnswer>(std::move(answer));
    };
    struct Row
    {
      ConfigurationSnapshot mCurrent;
      bool mIsIncremental; ///< only the changed chunks are sent
    };
    // The last row has other content under version 1 than the peer remembers, as after a restore.
    const Row rows[] = { { {}, false },
                         { MakeSnapshot(1, old), true },
                         { MakeSnapshot(1, SampleConfiguration(10)), false } };
    const auto whole = SplitConfiguration(configuration).value().TotalBytes();
    for (const auto& row : rows) {
      bytes = 0;
      const auto fetched = FetchFromPeer(fetch, "p", row.mCurrent, 2).value();
      CPPUNIT_ASSERT_EQUAL(SerializeConfiguration(configuration),
                           SerializeConfiguration(fetched.mAccepted->Spec()));
      CPPUNIT_ASSERT(row.mIsIncremental ? bytes < whole / 8 : bytes > whole / 2);
    }
    CPPUNIT_ASSERT(!FetchFromPeer(fetch, "p", MakeSnapshot(2, configuration), 3));
    CPPUNIT_ASSERT(calls >= 4);
  }

  /// Answers with missing or corrupt chunks, a malformed head or an old version must be rejected.
  void TestMalformedAnswers()
  {
    const auto current = MakeSnapshot(2, SampleConfiguration(10));
    ConfigurationProvider provider;
    provider.Publish(current);
    const std::function<void(wire::ConfigurationAnswer&)> corruptions[] = {
      [](auto& it) { it.chunks.clear(); },
      [](auto& it) { it.chunks.front().content += "x"; },
      [](auto& it) { it.head = "{}"; },
      [](auto& it) { it.version = 1; },
    };
    for (const auto& corrupt : corruptions) {
      const FetchFunction fetch = [&](const std::string&,
                                      const wire::ConfigurationRequest& aRequest) {
        auto answer = provider.Answer(aRequest);
        corrupt(answer);
        return Result<wire::ConfigurationAnswer>(std::move(answer));
      };
      CPPUNIT_ASSERT(!FetchFromPeer(fetch, "p", {}, 2));
    }
  }

  /// With running threads and the service unavailable, a version that a peer reports must be
  /// fetched from that peer, and an older version in the service must not replace it afterwards.
  void TestManager()
  {
    const SystemClock clock;
    standin::MemoryStore memory(clock);
    FaultyStore faulty(memory);
    Metrics metrics;
    ConfigurationStore store(memory);
    store.Apply(SampleConfiguration(1), MakeApplyRequest("ana")).value();
    ConfigurationProvider peer;
    const FetchFunction fetch = [&peer](const std::string&,
                                        const wire::ConfigurationRequest& aRequest) {
      return Result<wire::ConfigurationAnswer>(peer.Answer(aRequest));
    };
    ConfigurationManager manager(faulty,
                                 clock,
                                 metrics,
                                 { "self",
                                   [] {
                                     return std::vector<PeerSettings>{ { "peer", "p" } };
                                   },
                                   fetch });
    manager.Start();
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 1 }, manager.InForce()->Version());
    CPPUNIT_ASSERT(manager.MayControlEndpoints());
    faulty.mIsDown = true;
    const auto newer = MakeSnapshot(5, SampleConfiguration(2));
    peer.Publish(newer);
    manager.OnPeerVersion(5, newer.mHead.mDigest, "p");
    while (manager.InForce()->Version() != 5) {
      std::this_thread::yield();
    }
    faulty.mIsDown = false;
    manager.Refresh();
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 5 }, manager.InForce()->Version());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 1 }, *manager.Status().mStoreVersion);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 5 }, manager.OnFetchConfiguration({}).version);
    manager.Stop();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationDistributionTest);

} // namespace gentianloom::testing
