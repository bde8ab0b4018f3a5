#include "ConfigurationTestSupport.h"

#include "gentianloom/configuration/ConfigurationJson.h"
#include "gentianloom/configuration/ConfigurationManager.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

namespace gentianloom::testing {

class ConfigurationDistributionTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ConfigurationDistributionTest);
  CPPUNIT_TEST(TestTree);
  CPPUNIT_TEST(TestFetch);
  CPPUNIT_TEST(TestBadPeer);
  CPPUNIT_TEST(TestDuty);
  CPPUNIT_TEST_SUITE_END();

  static ConfigurationSnapshot Held(std::int64_t aVersion, const Configuration& aStated)
  {
    ConfigurationSnapshot out;
    auto chunks = SplitConfiguration(aStated).value();
    out.mHead.mVersion = aVersion;
    out.mHead.mDigest = chunks.mDigest;
    out.mAccepted = MakeAcceptedConfiguration(aVersion, std::move(chunks), {}).value();
    return out;
  }

public:
  void TestTree()
  {
    for (const std::size_t n : { std::size_t{ 3 }, std::size_t{ 48 }, std::size_t{ 720 } }) {
      std::vector<PeerSettings> members;
      for (std::size_t at = 0; at < n; ++at) {
        members.push_back({ "r" + std::to_string(at), "a" + std::to_string(at) });
      }
      std::size_t readers = 0;
      std::map<std::string, std::size_t> children;
      Millis longest{ 0 };
      for (const auto& it : members) {
        const auto plan = PlanFetch(it.mName, 17, members);
        readers += plan.mReadsFromStore ? 1 : 0;
        children[plan.mParent] += plan.mReadsFromStore ? 0 : 1;
        longest = std::max(longest, plan.mDelay);
        CPPUNIT_ASSERT(plan.mParent != it.mAddress);
      }
      CPPUNIT_ASSERT_EQUAL(std::min(n, kDirectReaders), readers);
      for (const auto& it : children) {
        CPPUNIT_ASSERT(it.second <= 8);
      }
      CPPUNIT_ASSERT(longest <= Millis(1'200));
    }
  }

  void TestFetch()
  {
    const auto old = SampleConfiguration(5'000);
    auto stated = old;
    stated.mOrganisations[3].mWeight = 7;
    ConfigurationProvider shelf;
    shelf.Publish(Held(1, old));
    shelf.Publish(Held(2, stated));
    std::size_t bytes = 0;
    int calls = 0;
    const FetchFunction fetch = [&](const std::string&,
                                    const wire::ConfigurationRequest& aRequest) {
      ++calls;
      auto answer = shelf.Answer(aRequest);
      for (const auto& it : answer.chunks) {
        bytes += it.content.size();
      }
      return Result<wire::ConfigurationAnswer>(std::move(answer));
    };
    struct Row
    {
      ConfigurationSnapshot mHeld;
      bool mSmall; ///< only what differs is sent
    };
    // The last row holds another content by the number 1 than the peer remembers.
    const Row rows[] = { { {}, false },
                         { Held(1, old), true },
                         { Held(1, SampleConfiguration(10)), false } };
    const auto whole = SplitConfiguration(stated).value().TotalBytes();
    for (const auto& row : rows) {
      bytes = 0;
      const auto got = FetchFromPeer(fetch, "p", row.mHeld, 2).value();
      CPPUNIT_ASSERT_EQUAL(SerializeConfiguration(stated),
                           SerializeConfiguration(got.mAccepted->Spec()));
      CPPUNIT_ASSERT(row.mSmall ? bytes < whole / 8 : bytes > whole / 2);
    }
    CPPUNIT_ASSERT(!FetchFromPeer(fetch, "p", Held(2, stated), 3));
    CPPUNIT_ASSERT(calls >= 4);
  }

  void TestBadPeer()
  {
    const auto held = Held(2, SampleConfiguration(10));
    ConfigurationProvider shelf;
    shelf.Publish(held);
    const std::function<void(wire::ConfigurationAnswer&)> spoils[] = {
      [](auto& it) { it.chunks.clear(); },
      [](auto& it) { it.chunks.front().content += "x"; },
      [](auto& it) { it.head = "{}"; },
      [](auto& it) { it.version = 1; },
    };
    for (const auto& spoil : spoils) {
      const FetchFunction fetch = [&](const std::string&,
                                      const wire::ConfigurationRequest& aRequest) {
        auto answer = shelf.Answer(aRequest);
        spoil(answer);
        return Result<wire::ConfigurationAnswer>(std::move(answer));
      };
      CPPUNIT_ASSERT(!FetchFromPeer(fetch, "p", {}, 2));
    }
  }

  /// Threads, with a service that goes down: the version comes by peer news, and never goes down.
  void TestDuty()
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
    ConfigurationManager duty(faulty,
                              clock,
                              metrics,
                              { "self",
                                [] {
                                  return std::vector<PeerSettings>{ { "peer", "p" } };
                                },
                                fetch });
    duty.Start();
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 1 }, duty.InForce()->Version());
    CPPUNIT_ASSERT(duty.MayControlEndpoints());
    faulty.mDown = true;
    const auto newer = Held(5, SampleConfiguration(2));
    peer.Publish(newer);
    duty.OnPeerVersion(5, newer.mHead.mDigest, "p");
    while (duty.InForce()->Version() != 5) {
      std::this_thread::yield();
    }
    faulty.mDown = false;
    duty.Refresh();
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 5 }, duty.InForce()->Version());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 1 }, *duty.Status().mStoreVersion);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 5 }, duty.OnFetchConfiguration({}).version);
    duty.Stop();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationDistributionTest);

} // namespace gentianloom::testing
