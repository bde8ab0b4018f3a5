#include "gentianloom/gateway/WatchRelay.h"

#include "gentianloom/base/Ids.h"
#include "gentianloom/gateway/Datagram.h"
#include "gentianloom/gateway/PeerLoadExchange.h"
#include "gentianloom/gateway/PrefixWatcher.h"
#include "gentianloom/membership/Keepers.h"

#include "support/LoopbackPort.h"
#include "support/MemoryAsyncStore.h"
#include "support/RunLoop.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <iterator>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace gentianloom {

class WatchRelayTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(WatchRelayTest);
  CPPUNIT_TEST(TestFewInstancesCallTheStore);
  CPPUNIT_TEST(TestUpdates);
  CPPUNIT_TEST(TestUpdateAfterOutage);
  CPPUNIT_TEST(TestSilence);
  CPPUNIT_TEST(TestUpdatesThatWaitedAreNotNew);
  CPPUNIT_TEST(TestOwnWatchEndsAfterAnUpdate);
  CPPUNIT_TEST(TestWrongUpdate);
  CPPUNIT_TEST(TestFollowerBecomesWatcher);
  CPPUNIT_TEST(TestOtherPrefix);
  CPPUNIT_TEST(TestParts);
  CPPUNIT_TEST(TestLeases);
  CPPUNIT_TEST(TestMalformedDatagrams);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::size_t kInstances = 20; // of one availability zone
  static constexpr std::string_view kPrefix = "p/";
  static constexpr Millis kTimeout{ 1'700 };

  /// An instance with its own socket on the loopback interface, and a store of its own choice.
  struct Instance
  {
    Instance(WatchRelayTest& aTest, AsyncStore& aStore, std::string_view aPrefix = kPrefix)
      : mSocket(aTest.mLoop, aTest.mClock, mMetrics)
      , mAddress(testing::FreeLoopbackAddress(aTest.mLoop))
      , mRelay(
          mSocket,
          mAddress,
          [this, &aTest] {
            auto out = aTest.mAddresses;
            std::erase(out, mAddress);
            return out;
          },
          aTest.mClock,
          mMetrics)
      , mWatcher(aTest.mLoop,
                 aStore,
                 std::string(aPrefix),
                 { kTimeout },
                 { [this](const auto& aEntries, StoreAvailability) {
                    mSeen += "snapshot" + std::to_string(aEntries.size()) + " ";
                  },
                   [this](const auto& aEvents, StoreAvailability aAvailability) {
                     for (const auto& it : aEvents) {
                       mSeen += (it.mIsDeleted ? "-" : "+") + it.mEntry.mKey +
                                (aAvailability == StoreAvailability::Available ? " " : "? ");
                     }
                   } },
                 &mRelay,
                 aTest.mClock,
                 mMetrics)
    {
      CPPUNIT_ASSERT(mSocket.Start(mAddress));
      mRelay.Start();
      aTest.mAddresses.push_back(mAddress);
    }

    Metrics mMetrics;
    PeerSocket mSocket;
    std::string mAddress;
    WatchRelay mRelay;
    std::string mSeen;
    PrefixWatcher mWatcher;
  };

  /// A store whose watch returns what the test says.
  class HeldStore final : public AsyncStore
  {
  public:
    explicit HeldStore(net::Loop& aLoop)
      : mReturn(aLoop)
    {
    }

    net::Task<Result<RangeResponse>> Range(std::string) override
    {
      RangeResponse out;
      out.mEra = 1;
      out.mRevision = 10;
      co_return out;
    }
    net::Task<Result<RangeResponse>> RangeStale(std::string aPrefix) override
    {
      return Range(std::move(aPrefix));
    }
    net::Task<AsyncCommitResult> Commit(Transaction) override
    {
      AsyncCommitResult out;
      co_return out;
    }
    net::Task<Result<WatchResponse>> Watch(std::string, Revision aAfter, Millis) override
    {
      co_await mReturn.WaitFor(std::chrono::hours(1));
      auto out = mResponse;
      std::erase_if(out.mEvents,
                    [&](const WatchEvent& it) { return it.mEntry.mModRevision <= aAfter; });
      co_return out;
    }
    net::Task<Result<LeaseId>> GrantLease(Millis) override { co_return LeaseId{ 1 }; }
    net::Task<Result<bool>> RenewLease(LeaseId) override { co_return true; }
    net::Task<Result<void>> RevokeLease(LeaseId) override { co_return success(); }
    std::int64_t Era() const override { return 1; }
    const StoreContact& Contact() const override { return mContact; }

    StoreContact mContact;
    WatchResponse mResponse;
    net::Signal mReturn;
  };

  static WatchEvent MakeEvent(const std::string& aKey, Revision aRevision, std::string aValue = "v")
  {
    return { { aKey, std::move(aValue), 0, aRevision, 0 }, false };
  }

  static PrefixUpdate MakeUpdate(Revision aAfter,
                                 Revision aRevision,
                                 std::vector<WatchEvent> aEvents = {})
  {
    PrefixUpdate out;
    out.mPrefix = kPrefix;
    out.mEra = 1;
    out.mAfter = aAfter;
    out.mRevision = aRevision;
    out.mEvents = std::move(aEvents);
    return out;
  }

  void RunBriefly(Millis aTime = Millis(60))
  {
    mLoop.restart();
    mLoop.run_for(aTime);
  }

  /// Creates an instance with peers that do nothing, until it is a watcher of the zone or is not.
  void CreateFollower(AsyncStore& aStore, bool aIsWatcher)
  {
    while (mFollower == nullptr || mFollower->mRelay.IsWatcher() != aIsWatcher) {
      // Their sockets are in use by the loop until the end of the test.
      std::move(mPeers.begin(), mPeers.end(), std::back_inserter(mUnused));
      mUnused.push_back(std::move(mFollower));
      mAddresses.clear();
      mPeers.clear();
      for (std::size_t n = 0; n < kInstances; ++n) {
        mPeers.push_back(std::make_unique<Instance>(*this, mStore));
      }
      mFollower = std::make_unique<Instance>(*this, aStore, mFollowerPrefix);
    }
  }

  /// Whether the follower is a watcher only if all others are gone.
  bool IsFollowerLastInOrder() const
  {
    return ChooseKeepers(StableHash("watch"), mAddresses, mAddresses.size()).back() ==
           mFollower->mAddress;
  }

  /// Starts a follower with peers that do nothing, of which the test uses one to send updates.
  void StartFollower()
  {
    CreateFollower(mStore, /*aIsWatcher=*/false);
    mStore.EnableWaiting(mLoop);
    mFollower->mWatcher.Start();
    RunBriefly();
    CPPUNIT_ASSERT_EQUAL(std::string("snapshot0 "), mFollower->mSeen);
    mFollower->mSeen.clear();
  }

  void SendToFollower(const PrefixUpdate& aUpdate)
  {
    mPeers.front()->mSocket.Send(mFollower->mAddress, EncodePrefixUpdate(aUpdate));
    RunBriefly();
  }

  /// Sends updates without changes until the watch that the follower began before them has ended.
  void KeepFollowing()
  {
    for (int n = 0; n < 30; ++n) {
      SendToFollower(MakeUpdate(mStore.mRevision, mStore.mRevision));
    }
  }

  net::Loop mLoop{ 1 };
  SystemClock mClock;
  MemoryAsyncStore mStore;
  HeldStore mHeldStore{ mLoop };
  std::vector<std::string> mAddresses;
  std::vector<std::unique_ptr<Instance>> mPeers;
  std::vector<std::unique_ptr<Instance>> mUnused;
  std::unique_ptr<Instance> mFollower;
  std::string_view mFollowerPrefix = kPrefix;

public:
  // With hundreds of instances, the calls of their watches were most of the store's load: 202 calls
  // of 20 instances here.
  void TestFewInstancesCallTheStore()
  {
    mStore.EnableWaiting(mLoop);
    for (std::size_t n = 0; n < kInstances; ++n) {
      mPeers.push_back(std::make_unique<Instance>(*this, mStore));
    }
    for (const auto& it : mPeers) {
      it->mWatcher.Start();
    }
    const auto followers = [this] {
      return std::count_if(
        mPeers.begin(), mPeers.end(), [](const auto& it) { return !it->mRelay.IsWatcher(); });
    };
    CPPUNIT_ASSERT_EQUAL(static_cast<long>(kInstances - WatchRelay::kWatchers), followers());
    RunBriefly(Millis(2'000)); // the first watches of all end
    const auto before = mStore.mWatchCalls;
    constexpr int kChanges = 5;
    for (int n = 0; n < kChanges; ++n) {
      mStore.Put("p/" + std::to_string(n), "v");
      RunBriefly(Millis(100));
    }
    RunBriefly(Millis(1'000));
    // Each watcher is woken by each change and calls again, and waits for 1 s without one.
    constexpr int kCallsOfWatcher = 2 * kChanges + 3;
    CPPUNIT_ASSERT_LESSEQUAL(static_cast<int>(WatchRelay::kWatchers) * kCallsOfWatcher,
                             mStore.mWatchCalls - before);
    for (const auto& it : mPeers) {
      CPPUNIT_ASSERT_EQUAL(std::string("snapshot0 +p/0 +p/1 +p/2 +p/3 +p/4 "), it->mSeen);
    }
  }

  // During a rolling replacement, the watchers of a zone may be of another build that watches a
  // wider or narrower prefix. Their updates say nothing of the keys that an instance follows, so it
  // has to ask the store itself.
  void TestOtherPrefix()
  {
    for (const auto* prefix : { "p", "p/config" }) {
      mUnused.push_back(std::move(mFollower));
      mFollowerPrefix = prefix;
      CreateFollower(mStore, /*aIsWatcher=*/false);
      mStore.EnableWaiting(mLoop);
      for (const auto& it : mPeers) {
        it->mWatcher.Start();
      }
      mFollower->mWatcher.Start();
      RunBriefly(Millis(300));
      const auto peer = std::find_if(
        mPeers.begin(), mPeers.end(), [](const auto& it) { return !it->mRelay.IsWatcher(); });
      const Instance* instances[] = { mFollower.get(), peer->get() };
      for (int n = 0; n < 3; ++n) {
        mStore.Put("p/config", std::to_string(n));
        RunBriefly(Millis(100));
      }
      mStore.Remove("p/config");
      RunBriefly(Millis(100));
      for (const auto* it : instances) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
          prefix, std::string("snapshot0 +p/config +p/config +p/config -p/config "), it->mSeen);
      }
    }
  }

  // A datagram that is lost, late, repeated or of another history must not hide a change or undo
  // one.
  void TestUpdates()
  {
    StartFollower();
    const auto start = mStore.mRevision;
    struct Row
    {
      std::string mName;
      PrefixUpdate mUpdate;
      std::string mSeen;
      bool mAsksStore;
    };
    auto otherEra = MakeUpdate(start + 2, start + 9, { MakeEvent("p/old", start + 9) });
    otherEra.mEra = 0;
    auto otherPrefix = MakeUpdate(start + 2, start + 9, { MakeEvent("q/x", start + 9) });
    otherPrefix.mPrefix = "q/";
    auto afterOutage = MakeUpdate(start + 2, start + 3, { MakeEvent("p/c", start + 3) });
    afterOutage.mIsAfterOutage = true;
    const Row rows[] = {
      { "no change", MakeUpdate(start, start), "", false },
      { "a change", MakeUpdate(start, start + 1, { MakeEvent("p/a", start + 1) }), "+p/a ", false },
      { "repeated", MakeUpdate(start, start + 1, { MakeEvent("p/a", start + 1) }), "", false },
      { "partly known",
        MakeUpdate(start, start + 2, { MakeEvent("p/a", start + 1), MakeEvent("p/b", start + 2) }),
        "+p/b ",
        false },
      { "an older history", otherEra, "", false },
      { "another prefix", otherPrefix, "", false },
      { "after an outage of the sender alone", afterOutage, "+p/c ", false },
      { "no change since", MakeUpdate(start + 3, start + 8), "", false },
      { "a gap", MakeUpdate(start + 9, start + 10, { MakeEvent("p/e", start + 10) }), "", true },
    };
    KeepFollowing();
    for (const auto& row : rows) {
      mFollower->mSeen.clear();
      SendToFollower(MakeUpdate(start, start)); // keeps the follower from asking after a silence
      const auto calls = mStore.mWatchCalls;
      SendToFollower(row.mUpdate);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mName, row.mSeen, mFollower->mSeen);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mName, row.mAsksStore, mStore.mWatchCalls > calls);
    }
  }

  // A watcher that had been cut off alone told its followers so, and they used an endpoint for
  // longer that had left while the store was up. An outage that both had counts.
  void TestUpdateAfterOutage()
  {
    CreateFollower(mHeldStore, /*aIsWatcher=*/false);
    mFollower->mWatcher.Start();
    RunBriefly();
    const auto now = mClock.Now();
    struct Row
    {
      std::string mName;
      Millis mAnswersAgo[2]; ///< of two calls of the follower
      bool mIsSenderAfterOutage;
      std::string mSeen;
    };
    const Row rows[] = {
      { "no outage", { Millis(900), Millis(100) }, false, "+p/a " },
      { "one of the sender alone", { Millis(900), Millis(100) }, true, "+p/b " },
      { "one of both", { Millis(4'900), Millis(1'700) }, true, "+p/c? " },
      { "one of both, over for both", { Millis(4'900), Millis(1'700) }, false, "+p/d " },
      { "one of this instance", { Millis(3'100), Millis(1'000) }, false, "+p/e? " },
    };
    Revision revision = 10;
    for (const auto& row : rows) {
      mFollower->mSeen.clear();
      auto& contact = mHeldStore.mContact = StoreContact();
      for (const auto it : row.mAnswersAgo) {
        contact.OnCall(now - it);
        contact.OnAnswer(now - it);
        contact.OnCall(now - it);
        contact.OnFailure();
      }
      auto update =
        MakeUpdate(revision, revision + 1, { MakeEvent(row.mSeen.substr(1, 3), revision + 1) });
      update.mIsAfterOutage = row.mIsSenderAfterOutage;
      SendToFollower(update);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mName, row.mSeen, mFollower->mSeen);
      ++revision;
    }
  }

  // If the watchers end together, the others must not go on without knowing of changes.
  void TestSilence()
  {
    StartFollower();
    KeepFollowing();
    mStore.Put("p/a", "v");
    RunBriefly(kTimeout + Millis(300));
    CPPUNIT_ASSERT_EQUAL(std::string("+p/a "), mFollower->mSeen);
    // A sender that is not of the zone keeps nobody from asking.
    std::erase(mAddresses, mPeers.front()->mAddress);
    RunBriefly(Millis(600)); // the list of peers is read again
    const auto calls = mStore.mWatchCalls;
    KeepFollowing();
    CPPUNIT_ASSERT(mStore.mWatchCalls > calls);
  }

  // DRAIN: an instance with little processor time handled datagrams seconds after they had arrived.
  // Old updates without changes kept it from asking, and it used an endpoint that had left.
  void TestUpdatesThatWaitedAreNotNew()
  {
    struct Row
    {
      std::string mName;
      PeerMessageKind mSlowKind; ///< that takes the instance long to handle
    };
    const Row rows[] = {
      { "load reports", PeerMessageKind::Load },
      { "messages that are handled in their order", PeerMessageKind::CrashReport },
    };
    constexpr int kUpdates = 5;
    constexpr int kSlowBeforeEach = 40;
    constexpr Millis kHandlingTime{ 20 };
    for (const auto& row : rows) {
      mUnused.push_back(std::move(mFollower));
      StartFollower();
      KeepFollowing();
      mFollower->mSocket.SetHandler(row.mSlowKind, [=](std::string_view, const auto&) {
        std::this_thread::sleep_for(kHandlingTime);
      });
      const auto slow = row.mSlowKind == PeerMessageKind::Load
                          ? EncodePeerLoad({ "run-1", 1, {} })
                          : EncodeDatagram({ static_cast<int>(row.mSlowKind) });
      const auto update = EncodePrefixUpdate(MakeUpdate(mStore.mRevision, mStore.mRevision));
      for (int n = 0; n < kUpdates; ++n) {
        for (int it = 0; it < kSlowBeforeEach; ++it) {
          mPeers.back()->mSocket.Send(mFollower->mAddress, slow);
        }
        mPeers.front()->mSocket.Send(mFollower->mAddress, update);
      }
      mStore.Put("p/a", "v");
      RunBriefly(kTimeout + Millis(800));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mName, std::string("+p/a "), mFollower->mSeen);
      mStore.Remove("p/a");
    }
  }

  // A watcher that had learned more from another one than its own watch then returned told its
  // followers that it had told them of all changes, and they missed one.
  void TestOwnWatchEndsAfterAnUpdate()
  {
    auto& store = mHeldStore;
    CreateFollower(store, /*aIsWatcher=*/true);
    std::vector<PrefixUpdate> updates;
    mPeers.front()->mRelay.Subscribe(std::string(kPrefix),
                                     [&](const PrefixUpdate& it) { updates.push_back(it); });
    mFollower->mWatcher.Start();
    RunBriefly();
    SendToFollower(MakeUpdate(10, 12, { MakeEvent("p/a", 11), MakeEvent("p/b", 12) }));
    CPPUNIT_ASSERT_EQUAL(std::string("snapshot0 +p/a +p/b "), mFollower->mSeen);
    store.mResponse = { 1, false, 11, { MakeEvent("p/a", 11) } };
    store.mReturn.Notify();
    RunBriefly();
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
      "handled once", std::string("snapshot0 +p/a +p/b "), mFollower->mSeen);
    CPPUNIT_ASSERT(!updates.empty());
    CPPUNIT_ASSERT_EQUAL(Revision{ 10 }, updates.back().mAfter);
    CPPUNIT_ASSERT_EQUAL(Revision{ 11 }, updates.back().mRevision);
  }

  // An update that claimed more than it held made all watchers of a zone drop a change that their
  // own watches returned, and with it all instances of the zone missed that an endpoint leaves.
  void TestWrongUpdate()
  {
    CreateFollower(mHeldStore, /*aIsWatcher=*/true);
    mFollower->mWatcher.Start();
    RunBriefly();
    SendToFollower(MakeUpdate(10, 12));
    mHeldStore.mResponse = { 1, false, 11, { MakeEvent("p/a", 11) } };
    mHeldStore.mReturn.Notify();
    RunBriefly();
    CPPUNIT_ASSERT_EQUAL(std::string("snapshot0 +p/a "), mFollower->mSeen);
  }

  // A follower that became a watcher told the others that nothing had changed since the last change
  // that it had read itself, although it knew of later ones from others only.
  void TestFollowerBecomesWatcher()
  {
    do {
      mUnused.push_back(std::move(mFollower));
      CreateFollower(mHeldStore, /*aIsWatcher=*/false);
    } while (IsFollowerLastInOrder());
    mFollower->mWatcher.Start();
    RunBriefly();
    SendToFollower(MakeUpdate(10, 20, { MakeEvent("p/a", 15) }));
    mHeldStore.mResponse = { 1, false, 10, {} }; // ends the watch that began before the update
    mHeldStore.mReturn.Notify();
    RunBriefly();
    SendToFollower(MakeUpdate(25, 25)); // a gap: it asks itself, from revision 20 on
    mHeldStore.mResponse = { 1, false, 26, { MakeEvent("p/a", 15) } };
    mHeldStore.mReturn.Notify();
    RunBriefly();
    std::vector<PrefixUpdate> updates;
    mPeers.front()->mRelay.Subscribe(std::string(kPrefix),
                                     [&](const PrefixUpdate& it) { updates.push_back(it); });
    for (std::size_t n = 1; !mFollower->mRelay.IsWatcher(); ++n) {
      mAddresses = {
        mPeers[0]->mAddress, mPeers.at(n)->mAddress, mPeers.at(n + 1)->mAddress, mFollower->mAddress
      };
      RunBriefly(Millis(600)); // the list of peers is read again
    }
    mHeldStore.mResponse = { 1, false, 30, { MakeEvent("p/a", 15) } };
    for (int n = 0; n < 3; ++n) {
      mHeldStore.mReturn.Notify();
      RunBriefly();
    }
    CPPUNIT_ASSERT(!updates.empty());
    for (const auto& it : updates) {
      CPPUNIT_ASSERT_MESSAGE("there was a change at revision 15",
                             it.mAfter >= 15 || it.mRevision < 15 || !it.mEvents.empty());
    }
  }

  // Changes that did not fit into one datagram were lost.
  void TestParts()
  {
    struct Row
    {
      std::string mName;
      std::vector<WatchEvent> mEvents;
      std::size_t mParts;
      bool mHasEvents;
    };
    const std::string large(1'000, 'x');
    std::vector<WatchEvent> many;
    for (Revision n = 1; n <= 40; ++n) {
      many.push_back(MakeEvent("p/a", 10 + n, large));
    }
    const Row rows[] = {
      { "none", {}, 1, false },
      { "one", { MakeEvent("p/a", 11) }, 1, true },
      { "two large", { MakeEvent("p/a", 11, large), MakeEvent("p/b", 12, large) }, 2, true },
      { "two large of one transaction",
        { MakeEvent("p/a", 11, large), MakeEvent("p/b", 11, large) },
        1,
        false },
      { "too large", { MakeEvent("p/a", 11, std::string(5'000, 'x')) }, 1, false },
      { "too many", many, 1, false },
    };
    for (const auto& row : rows) {
      const auto parts = SplitPrefixUpdate(MakeUpdate(10, 60, row.mEvents));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mName, row.mParts, parts.size());
      const Revision firstAfter = row.mHasEvents || row.mEvents.empty() ? 10 : 60;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mName, firstAfter, parts.front().mAfter);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mName, Revision{ 60 }, parts.back().mRevision);
      std::size_t events = 0;
      for (std::size_t n = 0; n < parts.size(); ++n) {
        events += parts[n].mEvents.size();
        CPPUNIT_ASSERT_MESSAGE(row.mName, n == 0 || parts[n].mAfter == parts[n - 1].mRevision);
        CPPUNIT_ASSERT_LESSEQUAL(PeerSocket::kMaxDatagramBytes,
                                 EncodePrefixUpdate(parts[n]).size());
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mName, row.mHasEvents ? row.mEvents.size() : 0, events);
    }
  }

  // An instance that follows others did not know the lease of an entry, by which a late write after
  // a deletion is told from a new one.
  void TestLeases()
  {
    auto update = MakeUpdate(1, 3, { MakeEvent("p/a", 2), MakeEvent("p/b", 3) });
    update.mEvents.front().mEntry.mLease = 77'120;
    const auto decoded = DecodePrefixUpdate(EncodePrefixUpdate(update));
    CPPUNIT_ASSERT(decoded);
    CPPUNIT_ASSERT_EQUAL(LeaseId{ 77'120 }, decoded.value().mEvents.front().mEntry.mLease);
    CPPUNIT_ASSERT_EQUAL(LeaseId{ 0 }, decoded.value().mEvents.back().mEntry.mLease);
  }

  // A datagram that is cut or was not sent by an instance must not be taken for an update.
  void TestMalformedDatagrams()
  {
    const auto bytes =
      EncodePrefixUpdate(MakeUpdate(1, 2, { MakeEvent("p/a", 2, { '\0', '\xff' }) }));
    const auto decoded = DecodePrefixUpdate(bytes);
    CPPUNIT_ASSERT(decoded);
    CPPUNIT_ASSERT_EQUAL(std::string("p/a"), decoded.value().mEvents.front().mEntry.mKey);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, decoded.value().mEvents.front().mEntry.mValue.size());
    for (std::size_t n = 0; n < bytes.size(); ++n) {
      CPPUNIT_ASSERT(!DecodePrefixUpdate(std::string_view(bytes).substr(0, n)));
    }
    CPPUNIT_ASSERT(!DecodePrefixUpdate(EncodePrefixUpdate(MakeUpdate(-1, 2))));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WatchRelayTest);

} // namespace gentianloom
