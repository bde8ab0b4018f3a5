#include "gentianloom/gateway/StreamOriginExchange.h"

#include "support/LoopbackPort.h"
#include "support/RunLoop.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace gentianloom {

class StreamOriginTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(StreamOriginTest);
  CPPUNIT_TEST(TestTable);
  CPPUNIT_TEST(TestTableIsBounded);
  CPPUNIT_TEST(TestMalformedDatagrams);
  CPPUNIT_TEST(TestKeepers);
  CPPUNIT_TEST(TestPeersAreAsked);
  CPPUNIT_TEST_SUITE_END();

  static constexpr TimePoint kStart{ std::chrono::hours(1) };
  const StreamOrigin mOrigin{ "pool", "v1" };

  /// An instance with its own socket on the loopback interface.
  struct Instance
  {
    Instance(net::Loop& aLoop, const Clock& aClock, std::vector<std::string>& aPeers)
      : mSocket(aLoop, aClock, mMetrics)
      , mAddress(testing::FreeLoopbackAddress(aLoop))
      , mExchange(
          aLoop,
          mSocket,
          [this, &aPeers] {
            auto out = aPeers;
            std::erase(out, mAddress);
            return out;
          },
          aClock,
          mMetrics)
    {
      CPPUNIT_ASSERT(mSocket.Start(mAddress));
      mExchange.Start();
      aPeers.push_back(mAddress);
    }

    Metrics mMetrics;
    PeerSocket mSocket;
    std::string mAddress;
    StreamOriginExchange mExchange;
  };

  static std::optional<StreamOrigin> Find(net::Loop& aLoop, Instance& aInstance, StreamKey aStream)
  {
    bool isDone = false;
    std::optional<StreamOrigin> out;
    net::Start(aLoop, "find", FindAndStore(aInstance.mExchange, aStream, out, isDone));
    CPPUNIT_ASSERT(testing::RunUntil(aLoop, [&] { return isDone; }));
    return out;
  }

  static net::Task<void> FindAndStore(StreamOriginExchange& aExchange,
                                      StreamKey aStream,
                                      std::optional<StreamOrigin>& aOut,
                                      bool& aIsDone)
  {
    aOut = co_await aExchange.Find(aStream);
    aIsDone = true;
  }

public:
  void TestTable()
  {
    StreamOriginTable table;
    table.Put(1, mOrigin, kStart);
    table.Put(2, { "pool", "v2" }, kStart);
    const auto later = kStart + StreamOriginTable::kRetention;
    CPPUNIT_ASSERT(table.Find(1, later) == mOrigin);
    CPPUNIT_ASSERT(!table.Find(3, later));
    // A stream that was resumed is kept for longer, the other one expires.
    table.Put(1, mOrigin, later);
    table.Put(3, mOrigin, later + Millis(1));
    CPPUNIT_ASSERT(table.Find(1, later + Millis(1)) == mOrigin);
    CPPUNIT_ASSERT(!table.Find(2, later + Millis(1)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, table.Size());
  }

  // Many streams in a short time, or one that is put again and again, must not fill the memory.
  void TestTableIsBounded()
  {
    StreamOriginTable table;
    for (std::size_t n = 0; n < 2 * StreamOriginTable::kMaxEntries; ++n) {
      table.Put(n, mOrigin, kStart + Micros(n));
      table.Put(0, mOrigin, kStart + Micros(n));
    }
    CPPUNIT_ASSERT(table.Size() <= StreamOriginTable::kMaxEntries);
    CPPUNIT_ASSERT(table.Find(0, kStart + Millis(100)) == mOrigin);
  }

  void TestMalformedDatagrams()
  {
    const auto valid = EncodeStreamOrigin({ PeerMessageKind::StreamOrigin, 1ULL << 63U, mOrigin });
    const auto decoded = DecodeStreamOrigin(valid).value();
    CPPUNIT_ASSERT(decoded.mStream == 1ULL << 63U && decoded.mOrigin == mOrigin);
    for (std::size_t n = 0; n + 1 < valid.size(); ++n) {
      CPPUNIT_ASSERT(!DecodeStreamOrigin(std::string_view(valid).substr(0, n)));
    }
    for (const std::string it : { "\x93\x01\xc0\xc0", "hello", "\xdd\xff\xff\xff\xff" }) {
      CPPUNIT_ASSERT(!DecodeStreamOrigin(it));
    }
    CPPUNIT_ASSERT(PeerMessageKindOf(valid) == PeerMessageKind::StreamOrigin);
    CPPUNIT_ASSERT(PeerMessageKindOf("\x93\xa5run-1") == PeerMessageKind::Load);
    CPPUNIT_ASSERT(PeerMessageKindOf("") == PeerMessageKind::Load);
  }

  // Instances whose lists differ by a few peers must still find each other's keepers.
  void TestKeepers()
  {
    constexpr int kPeers = 74;
    std::vector<std::string> peers;
    peers.reserve(kPeers);
    for (int n = 0; n < kPeers; ++n) {
      peers.push_back("10.0.0." + std::to_string(n) + ":7340");
    }
    std::map<std::string, int> streamsOf;
    for (StreamKey stream = 0; stream < 1'000; ++stream) {
      const auto keepers = ChooseKeepers(stream, peers, StreamOriginExchange::kKeepers);
      CPPUNIT_ASSERT_EQUAL(StreamOriginExchange::kKeepers, keepers.size());
      auto others = peers;
      std::erase(others, peers[stream % peers.size()]);
      const auto keepersOfOthers = ChooseKeepers(stream, others, StreamOriginExchange::kKeepers);
      const auto common = std::count_if(keepers.begin(), keepers.end(), [&](const std::string& it) {
        return std::find(keepersOfOthers.begin(), keepersOfOthers.end(), it) !=
               keepersOfOthers.end();
      });
      CPPUNIT_ASSERT(common >= static_cast<int>(StreamOriginExchange::kKeepers) - 1);
      for (const auto& it : keepers) {
        ++streamsOf[it];
      }
    }
    for (const auto& it : peers) {
      CPPUNIT_ASSERT_MESSAGE(it, streamsOf[it] > 50 && streamsOf[it] < 200);
    }
    peers.resize(StreamOriginExchange::kKeepers);
    auto all = ChooseKeepers(1, peers, StreamOriginExchange::kKeepers);
    std::sort(all.begin(), all.end());
    std::sort(peers.begin(), peers.end());
    CPPUNIT_ASSERT_MESSAGE("in a small fleet all are keepers", all == peers);
  }

  // An instance that did not get an origin asks its peers; if none knows it, it stops waiting as
  // soon as all have said so, or after the timeout.
  void TestPeersAreAsked()
  {
    net::Loop loop(1);
    const SystemClock clock;
    std::vector<std::string> peers;
    Instance first(loop, clock, peers);
    Instance second(loop, clock, peers);
    first.mExchange.Record(1, mOrigin);
    Instance third(loop, clock, peers); // gets no copy: not yet listed at the time
    CPPUNIT_ASSERT(Find(loop, second, 1) == mOrigin);
    CPPUNIT_ASSERT(Find(loop, third, 1) == mOrigin);
    auto start = clock.Now();
    CPPUNIT_ASSERT(!Find(loop, third, 2));
    CPPUNIT_ASSERT(clock.Now() - start < StreamOriginExchange::kQueryTimeout);
    peers.push_back(testing::FreeLoopbackAddress(loop)); // does not respond
    start = clock.Now();
    CPPUNIT_ASSERT(!Find(loop, third, 2));
    CPPUNIT_ASSERT(clock.Now() - start >= StreamOriginExchange::kQueryTimeout);
    CPPUNIT_ASSERT(Find(loop, third, 1) == mOrigin);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamOriginTest);

} // namespace gentianloom
