#include "gentianloom/gateway/PeerLoadExchange.h"

#include "gentianloom/base/Ids.h"

#include "support/RunLoop.h"

#include <cppunit/extensions/HelperMacros.h>

#include <limits>
#include <string>

namespace gentianloom {

class PeerLoadExchangeTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PeerLoadExchangeTest);
  CPPUNIT_TEST(TestApplyReplacesPending);
  CPPUNIT_TEST(TestHeardLoads);
  CPPUNIT_TEST(TestMalformedDatagrams);
  CPPUNIT_TEST(TestTokensOutOfRange);
  CPPUNIT_TEST(TestTrafficOfLargeFleet);
  CPPUNIT_TEST(TestReportedPrompts);
  CPPUNIT_TEST_SUITE_END();

public:
  // A message holds the sender's complete pending load. If endpoints that it omits kept their old
  // load, a lost message would leave that load counted until another message names the endpoint.
  void TestApplyReplacesPending()
  {
    const TimePoint now{ std::chrono::hours(1) };
    EndpointRegistry registry;
    for (const auto* id : { "a", "b" }) {
      EndpointEntry entry;
      entry.mId = id;
      registry.Put(entry, now);
    }
    const auto pending = [&](const std::string& aId) {
      return registry.All().at(aId)->mLoad.PeerPendingTokens(now);
    };
    PeerLoadMessage message{ "run-1", 1, { { StableHash("a"), 700 }, { StableHash("x"), 9 } } };
    ApplyPeerLoad(DecodePeerLoad(EncodePeerLoad(message)).value(), registry, now);
    ApplyPeerLoad(
      { "run-2", 1, { { StableHash("a"), 50 }, { StableHash("b"), 3 } } }, registry, now);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 750 }, pending("a"));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 3 }, pending("b"));
    message.mPending = { { StableHash("b"), 10 } };
    ApplyPeerLoad(message, registry, now);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 50 }, pending("a"));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 13 }, pending("b"));
  }

  // Instances of a version without the last element must be understood, and must understand the
  // message while nothing is passed on.
  void TestHeardLoads()
  {
    const TimePoint now{ std::chrono::hours(1) };
    EndpointRegistry registry;
    EndpointEntry entry;
    entry.mId = "a";
    registry.Put(entry, now);
    const auto& load = registry.All().at("a")->mLoad;
    const PeerLoadMessage without{ "r", 1, { { 1, 2 } } };
    const std::string recorded("\x93\xa1r\x01\x92\x01\x02", 7); // of a version without it
    CPPUNIT_ASSERT_EQUAL(recorded, EncodePeerLoad(without));
    ApplyPeerLoad(DecodePeerLoad(recorded).value(), registry, now);
    CPPUNIT_ASSERT(!load.Trend().IsKnown());
    PeerLoadMessage message = without;
    message.mHeard = { { StableHash("a"), 7, 150, Millis(300) }, { StableHash("x"), 9, 0 } };
    ApplyPeerLoad(DecodePeerLoad(EncodePeerLoad(message)).value(), registry, now);
    CPPUNIT_ASSERT(load.Trend().IsKnown() && load.Trend().HasPace());
    CPPUNIT_ASSERT_EQUAL(7.0, load.Trend().AverageRequests());
    // "text" instead of the list of heard loads.
    const std::string odd("\x94\xa1r\x01\x92\x01\x02\xa4text", 12);
    CPPUNIT_ASSERT(DecodePeerLoad(odd) && DecodePeerLoad(odd).value().mHeard.empty());
    for (const HeardLoad it : { HeardLoad{ 1, -1, 100, Millis(1) },
                                HeardLoad{ 1, 1, 1'001, Millis(1) },
                                HeardLoad{ 1, 1, 100, Millis(60'001) } }) {
      message.mHeard = { { 1, 1, 100 }, it };
      const auto decoded = DecodePeerLoad(EncodePeerLoad(message)).value();
      CPPUNIT_ASSERT_EQUAL_MESSAGE("up to the odd one", std::size_t{ 1 }, decoded.mHeard.size());
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, decoded.mPending.size());
    }
  }

  void TestMalformedDatagrams()
  {
    const auto valid = EncodePeerLoad({ "run-1", 1, { { 1, 2 } } });
    for (std::size_t n = 0; n + 1 < valid.size(); ++n) {
      CPPUNIT_ASSERT(!DecodePeerLoad(std::string_view(valid).substr(0, n)));
    }
    for (const std::string it : { "\x93\xc0\xc0\xc0", "hello", "\xdd\xff\xff\xff\xff" }) {
      CPPUNIT_ASSERT(!DecodePeerLoad(it));
    }
  }

  // Pending tokens of peers are summed: a number that cannot be real must not overflow the sum.
  void TestTokensOutOfRange()
  {
    constexpr std::int64_t kMaxTokens = std::int64_t{ 1 } << 50;
    for (const auto tokens : { std::int64_t{ 0 }, kMaxTokens }) {
      CPPUNIT_ASSERT(DecodePeerLoad(EncodePeerLoad({ "run-1", 1, { { 1, tokens } } })));
    }
    for (const auto tokens :
         { std::int64_t{ -1 }, kMaxTokens + 1, std::numeric_limits<std::int64_t>::max() }) {
      CPPUNIT_ASSERT_MESSAGE(std::to_string(tokens),
                             !DecodePeerLoad(EncodePeerLoad({ "run-1", 1, { { 1, tokens } } })));
    }
    // 1e300 instead of a number of tokens: its conversion to an integer is undefined.
    const std::string real("\x93\xa1r\x01\x92\x01\xcb\x7e\x37\xe4\x3c\x88\x00\x75\x9c", 15);
    CPPUNIT_ASSERT(!DecodePeerLoad(real));
  }

  // With one message to every peer for each change, the traffic of an instance grows with the fleet
  // until it fills the link, and callers' requests and disconnects wait behind it.
  void TestTrafficOfLargeFleet()
  {
    constexpr std::size_t kPeers = 74;
    constexpr std::size_t kEndpoints = 60;
    constexpr Millis kDuration{ 1'000 };
    constexpr double kSlowestLinkBytesPerSecond = 10e6 / 8;
    constexpr double kMaxLinkShare = 0.1;
    constexpr std::uint64_t kHeaderBytes = 28; // IP and UDP
    net::Loop loop(1);
    const SystemClock clock;
    Metrics metrics;
    EndpointRegistry registry;
    for (std::size_t n = 0; n < kEndpoints; ++n) {
      EndpointEntry entry;
      entry.mId = "e" + std::to_string(n);
      registry.Put(entry, clock.Now());
      registry.All().at(entry.mId)->mLoad.OnSent(10'000);
    }
    boost::asio::ip::udp::socket peer(loop, { boost::asio::ip::address_v4::loopback(), 0 });
    const auto address = "127.0.0.1:" + std::to_string(peer.local_endpoint().port());
    std::vector<std::string> peers(kPeers, address);
    PeerSocket socket(loop, clock, metrics);
    CPPUNIT_ASSERT(socket.Start("127.0.0.1:" + std::to_string(FreeUdpPort(loop))));
    const EndpointContacts contacts;
    PeerLoadExchange exchange(
      loop, socket, "run-1", [&] { return peers; }, registry, contacts, clock, metrics);
    exchange.Start();
    const auto start = clock.Now();
    CPPUNIT_ASSERT(testing::RunUntil(loop, [&] {
      exchange.NotifyChange();
      return clock.Now() - start >= kDuration;
    }));
    const auto seconds = std::chrono::duration<double>(clock.Now() - start).count();
    auto& sent = metrics.CounterOf("gentianloom_load_news_total", "sent=\"yes\"");
    const auto bytes = static_cast<double>(socket.Bytes().mSent + sent.Value() * kHeaderBytes);
    const double oneMessage = bytes / static_cast<double>(sent.Value()) * kPeers;
    CPPUNIT_ASSERT_MESSAGE("the peers must be told of changes", sent.Value() >= kPeers);
    CPPUNIT_ASSERT_LESSEQUAL(kSlowestLinkBytesPerSecond * kMaxLinkShare * seconds + oneMessage,
                             bytes);
  }

  // Most prompts are short. With a message to every peer when each of them is sent and read, 195
  // instances exchanged more bytes than they forwarded for callers. An instance that reaches no
  // endpoint reported prompts that had never arrived.
  void TestReportedPrompts()
  {
    struct Row
    {
      std::int64_t mTokens;
      bool mIsContactLost;
      bool mIsReported;
    };
    const Row rows[] = {
      { 600, false, false }, { 1'800, false, false }, { 6'000, false, true }, { 6'000, true, false }
    };
    for (const auto& row : rows) {
      EndpointContacts contacts;
      if (row.mIsContactLost) {
        contacts["pool"].OnNoneReached(0, TimePoint{});
      }
      net::Loop loop(1);
      const SystemClock clock;
      Metrics metrics;
      EndpointRegistry registry;
      EndpointEntry entry;
      entry.mId = "e";
      entry.mService = "pool";
      registry.Put(entry, clock.Now());
      auto& load = registry.All().at("e")->mLoad;
      boost::asio::ip::udp::socket peer(loop, { boost::asio::ip::address_v4::loopback(), 0 });
      const auto address = "127.0.0.1:" + std::to_string(peer.local_endpoint().port());
      PeerSocket socket(loop, clock, metrics);
      CPPUNIT_ASSERT(socket.Start("127.0.0.1:" + std::to_string(FreeUdpPort(loop))));
      PeerLoadExchange exchange(
        loop,
        socket,
        "run-1",
        [&] { return std::vector{ address }; },
        registry,
        contacts,
        clock,
        metrics);
      exchange.Start();
      const auto notify = [&] {
        exchange.NotifyChange();
        loop.restart();
        loop.run_for(Millis(50));
      };
      const auto request = load.OnSent(row.mTokens);
      notify();
      load.OnEnded(request);
      notify();
      notify();
      auto& sent = metrics.CounterOf("gentianloom_load_news_total", "sent=\"yes\"");
      // When it is sent, and when it has been read.
      CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(row.mTokens),
                                   std::uint64_t{ row.mIsReported ? 2U : 0U },
                                   static_cast<std::uint64_t>(sent.Value()));
    }
  }

private:
  static std::uint16_t FreeUdpPort(net::Loop& aLoop)
  {
    boost::asio::ip::udp::socket it(aLoop, { boost::asio::ip::address_v4::loopback(), 0 });
    return it.local_endpoint().port();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerLoadExchangeTest);

} // namespace gentianloom
