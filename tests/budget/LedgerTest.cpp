#include "gentianloom/budget/Ledger.h"
#include "gentianloom/budget/BudgetView.h"

#include <cppunit/extensions/HelperMacros.h>

namespace gentianloom {

namespace {

const std::string kBudget = "budget";
const int kShard = ShardOf(kBudget);

/// Two routers and their shard; each write takes effect at once.
class LedgerPair
{
public:
  LedgerPair()
    : mPolicy(GrantPolicy::Create(Settings()))
    , mFirst("first", *mPolicy)
    , mSecond("second", *mPolicy)
  {
  }

  static BudgetSettings Settings()
  {
    BudgetSettings out;
    out.mPolicy = "fixed";
    out.mFixedTokens = 100;
    return out;
  }

  std::int64_t Plan(Ledger& aLedger, ConfiguredBudget aConfigured, bool aIsClosing = false)
  {
    PlanInput input;
    input.mNow = mNow;
    input.mWallTime = mWall;
    input.mConfiguredBudget = [aConfigured](const std::string&) { return aConfigured; };
    input.mIsClosing = aIsClosing;
    CPPUNIT_ASSERT(aLedger.Reconcile(kShard, mShard));
    return aLedger.Plan(kShard, mShard, input);
  }

  void Write(Ledger& aLedger, ConfiguredBudget aConfigured, bool aIsClosing = false)
  {
    const auto batch = Plan(aLedger, aConfigured, aIsClosing);
    aLedger.OnCommitted(kShard, batch);
    aLedger.RefuseWaiting(kBudget, mNow, true);
  }

  /// Draws tokens by a reservation that exceeds the free tokens.
  void Draw(Ledger& aLedger, ConfiguredBudget aConfigured, Tokens aTokens = 1)
  {
    mNow += std::chrono::seconds(1);
    static_cast<void>(aLedger.Reserve(kBudget, aTokens, mNow));
    Write(aLedger, aConfigured);
  }

  void Use(Ledger& aLedger, const std::string& aKey, Tokens aTokens)
  {
    CPPUNIT_ASSERT(aLedger.Reserve(kBudget, aTokens, mNow) == ReserveAnswer::Reserved);
    aLedger.Settle({ aKey, kBudget, "organisation", "model", 1, aTokens }, aTokens);
  }

  const BudgetRecord& Record() { return mShard.mBudgets[kBudget]; }
  static Tokens FreeOf(const Ledger& aLedger)
  {
    const auto it = aLedger.Holdings().find(kBudget);
    return it == aLedger.Holdings().end() ? 0 : it->second.Free();
  }

  std::unique_ptr<GrantPolicy> mPolicy;
  Ledger mFirst;
  Ledger mSecond;
  ShardRecord mShard;
  TimePoint mNow{ std::chrono::hours(1) };
  Millis mWall{ 1'000'000 };
};

} // namespace

/// Changes of budgets by operators, bills of repeated requests, and transfers.
class LedgerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LedgerTest);
  CPPUNIT_TEST(TestLateRequests);
  CPPUNIT_TEST(TestPrepaidUpdates);
  CPPUNIT_TEST(TestBills);
  CPPUNIT_TEST(TestPausedHolder);
  CPPUNIT_TEST(TestRelease);
  CPPUNIT_TEST(TestTransfers);
  CPPUNIT_TEST(TestLateWrite);
  CPPUNIT_TEST(TestSerialization);
  CPPUNIT_TEST_SUITE_END();

public:
  /// A request that arrives after the round's plan was made must not be refused at the end of the
  /// round if the budget has enough tokens for it.
  void TestLateRequests()
  {
    struct Row
    {
      std::string mCase;
      Tokens mPlanned;    // requested before the plan; 0 if there was no plan
      Tokens mLateTokens; // requested after the plan
      bool mIsStoreAvailable;
      ReserveAnswer mAnswer; // to the retry of the late request
    };
    const Row rows[] = {
      { "no plan yet", 0, 100, true, ReserveAnswer::Wait },
      { "no plan, service unavailable", 0, 100, false, ReserveAnswer::Exhausted },
      { "after the plan, enough unallocated", 10, 200, true, ReserveAnswer::Wait },
      { "after the plan, too few unallocated", 10, 5'000, true, ReserveAnswer::Exhausted },
      { "after the plan, service unavailable", 10, 200, false, ReserveAnswer::Exhausted },
    };
    for (const auto& row : rows) {
      LedgerPair it;
      if (row.mPlanned > 0) {
        CPPUNIT_ASSERT(it.mFirst.Reserve(kBudget, row.mPlanned, it.mNow) == ReserveAnswer::Wait);
        it.mFirst.OnCommitted(kShard, it.Plan(it.mFirst, { 1'000, 1 }));
      }
      CPPUNIT_ASSERT(it.mFirst.Reserve(kBudget, row.mLateTokens, it.mNow) == ReserveAnswer::Wait);
      const bool refused = it.mFirst.RefuseWaiting(kBudget, it.mNow, row.mIsStoreAvailable);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mCase, row.mAnswer == ReserveAnswer::Exhausted, refused);
      CPPUNIT_ASSERT_MESSAGE(row.mCase,
                             it.mFirst.Reserve(kBudget, row.mLateTokens, it.mNow) == row.mAnswer);
    }
  }

  void TestPrepaidUpdates()
  {
    struct Row
    {
      std::string mCase;
      std::vector<ConfiguredBudget> mByFirst; // applied by the first router, in order
      Tokens mPrepaid;
      Tokens mFree; // with the first router at the end
    };
    const Row rows[] = {
      { "top-up", { { 50, 1 }, { 500, 2 } }, 500, 200 },
      { "an older version does not overwrite", { { 500, 2 }, { 50, 1 } }, 500, 100 },
      { "same version twice", { { 50, 1 }, { 50, 1 } }, 50, 50 },
      { "two operators: the later version applies", { { 70, 3 }, { 60, 2 } }, 70, 70 },
      { "lowered below the tokens granted: free tokens are returned",
        { { 90, 1 }, { 30, 2 } },
        30,
        30 },
      { "removed", { { 90, 1 }, { 0, 2 } }, 0, 0 },
      { "removed and configured again", { { 90, 1 }, { 0, 2 }, { 90, 3 } }, 90, 90 },
    };
    for (const auto& row : rows) {
      LedgerPair pair;
      for (const auto& it : row.mByFirst) {
        pair.Draw(pair.mFirst, it, 100);
      }
      pair.Write(pair.mFirst, row.mByFirst.back());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mCase, row.mPrepaid, pair.Record().mPrepaid);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mCase, row.mFree, LedgerPair::FreeOf(pair.mFirst));
      CPPUNIT_ASSERT_MESSAGE(row.mCase, pair.Record().Granted() <= row.mPrepaid);
    }
  }

  void TestBills()
  {
    struct Row
    {
      std::string mCase;
      std::string mSecondKey;
      Tokens mFirst, mSecond, mSpent;
    };
    const Row rows[] = { { "one run", "", 10, 0, 10 },
                         { "a retry that used less", "a", 10, 4, 10 },
                         { "a retry that used more", "a", 4, 10, 10 },
                         { "another request", "b", 4, 10, 14 } };
    for (const auto& row : rows) {
      LedgerPair pair;
      const ConfiguredBudget configured{ 1'000, 1 };
      pair.Draw(pair.mFirst, configured);
      pair.Draw(pair.mSecond, configured);
      pair.Use(pair.mFirst, "a", row.mFirst);
      if (!row.mSecondKey.empty()) {
        pair.Use(pair.mSecond, row.mSecondKey, row.mSecond);
      }
      pair.Write(pair.mSecond, configured);
      pair.Write(pair.mFirst, configured);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mCase, row.mSpent, pair.Record().Spent());
      const UsageKey usage{ "organisation", "model", 1 };
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mCase, row.mSpent, pair.Record().mUsage.at(usage));
      for (auto* it : { &pair.mFirst, &pair.mSecond }) {
        pair.Write(*it, configured, true);
        CPPUNIT_ASSERT(it->IsClosed(kShard));
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mCase, row.mSpent, pair.Record().Granted());
    }
  }

  /// A process is paused for two days and then uses its tokens before it reads the record. Its
  /// holding must not be reclaimed by age: the variant that does so overspends the budget.
  void TestPausedHolder()
  {
    for (const bool reclaims : { false, true }) {
      const ConfiguredBudget configured{ 100, 1 };
      LedgerPair pair;
      pair.Draw(pair.mFirst, configured);
      pair.mNow += std::chrono::hours(48);
      pair.mWall += std::chrono::hours(48);
      const auto view = MakeBudgetView(pair.mShard, kBudget, pair.mWall);
      CPPUNIT_ASSERT_EQUAL(Tokens{ 100 }, view.mInDoubt);
      CPPUNIT_ASSERT_EQUAL(view.mPrepaid,
                           view.mSpent + view.mHeld + view.mInDoubt + view.mUnallocated);
      if (reclaims) {
        CPPUNIT_ASSERT(Release(pair.mShard, { kBudget, "first", 0, pair.mWall }).has_value());
      }
      pair.Draw(pair.mSecond, configured, 50);
      pair.Use(pair.mFirst, "a", 100); // it resumes and uses tokens before any read
      const auto usable = Tokens{ 100 } + LedgerPair::FreeOf(pair.mSecond);
      CPPUNIT_ASSERT_EQUAL(reclaims, usable > configured.mPrepaid);
    }
  }

  void TestRelease()
  {
    struct Row
    {
      Tokens mUsed;
      bool mIsAccepted;
      Tokens mFreed;
    };
    // The first router reported 10 spent, and the second one reported 20 received from it.
    const Row rows[] = {
      { 30, true, 70 }, { 45, true, 55 }, { 100, true, 0 }, { 29, false, 0 }, { 101, false, 0 }
    };
    for (const auto& row : rows) {
      const ConfiguredBudget configured{ 100, 1 };
      LedgerPair pair;
      pair.Draw(pair.mFirst, configured);
      pair.Use(pair.mFirst, "a", 10);
      pair.Write(pair.mFirst, configured);
      pair.mSecond.StartTransfer("t");
      pair.mSecond.Credit(pair.mFirst.Give("t", kBudget, 20, "second"));
      pair.Write(pair.mSecond, configured);
      const auto freed = Release(pair.mShard, { kBudget, "first", row.mUsed, pair.mWall });
      CPPUNIT_ASSERT_EQUAL(row.mIsAccepted, freed.has_value());
      if (!row.mIsAccepted) {
        continue;
      }
      CPPUNIT_ASSERT_EQUAL(row.mFreed, freed.value());
      CPPUNIT_ASSERT_EQUAL(row.mFreed, pair.Record().Unallocated());
      CPPUNIT_ASSERT_EQUAL(row.mUsed - 20, pair.Record().Spent());
      CPPUNIT_ASSERT(!Release(pair.mShard, { kBudget, "first", row.mUsed, pair.mWall }));
      // If the router was only paused, its next read shows the release and it uses no more tokens.
      CPPUNIT_ASSERT(pair.mFirst.Reconcile(kShard, pair.mShard));
      CPPUNIT_ASSERT(pair.mFirst.Reserve(kBudget, 1, pair.mNow) == ReserveAnswer::Exhausted);
    }
  }

  void TestTransfers()
  {
    struct Row
    {
      std::string mCase;
      Tokens mAsked;
      int mGiven, mCredited; // how often the request and the answer arrive
      Tokens mGiver, mTaker; // free at the end
    };
    const Row rows[] = { { "once", 30, 1, 1, 70, 30 },
                         { "repeated", 30, 3, 3, 70, 30 },
                         { "answer lost", 30, 1, 0, 70, 0 },
                         { "request lost", 30, 0, 0, 100, 0 },
                         { "more than the giver has", 500, 1, 1, 0, 100 } };
    for (const auto& row : rows) {
      LedgerPair pair;
      pair.Draw(pair.mFirst, { 100, 1 });
      pair.mSecond.StartTransfer("t");
      Transfer answer;
      for (int n = 0; n < row.mGiven; ++n) {
        answer = pair.mFirst.Give("t", kBudget, row.mAsked, "second");
      }
      for (int n = 0; n < row.mCredited; ++n) {
        pair.mSecond.Credit(answer);
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mCase, row.mGiver, LedgerPair::FreeOf(pair.mFirst));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mCase, row.mTaker, LedgerPair::FreeOf(pair.mSecond));
    }
  }

  /// A write whose answer was lost takes effect only after the next read, which does not show it.
  /// Its bill must be charged once.
  void TestLateWrite()
  {
    LedgerPair pair;
    const ConfiguredBudget configured{ 1'000, 1 };
    pair.Draw(pair.mFirst, configured);
    pair.Use(pair.mFirst, "a", 60);
    auto before = pair.mShard;
    pair.Plan(pair.mFirst, configured); // answer lost; takes effect later
    const auto late = pair.mShard;
    pair.mShard = before;
    const auto batch = pair.Plan(pair.mFirst, configured); // conflicts with the late one
    pair.mFirst.OnNotCommitted(kShard, batch);
    pair.mShard = late;
    CPPUNIT_ASSERT(pair.mFirst.Reconcile(kShard, pair.mShard));
    CPPUNIT_ASSERT(!pair.mFirst.Reconcile(kShard, before)); // older than a known write
    const auto& holding = pair.mFirst.Holdings().at(kBudget);
    CPPUNIT_ASSERT_EQUAL(Tokens{ 60 }, holding.mSpent);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, pair.mFirst.StagedBills());
    CPPUNIT_ASSERT_EQUAL(pair.Record().Granted(), holding.mGranted);
  }

  void TestSerialization()
  {
    LedgerPair pair;
    pair.Draw(pair.mFirst, { 100, 1 });
    pair.mSecond.StartTransfer("t");
    pair.mSecond.Credit(pair.mFirst.Give("t", kBudget, 20, "second"));
    pair.Use(pair.mSecond, "a", 20);
    pair.Write(pair.mSecond, { 100, 1 });
    pair.Write(pair.mFirst, { 100, 1 }, true);
    const auto text = SerializeShard(pair.mShard);
    const auto read = ParseShard(text);
    CPPUNIT_ASSERT(read.has_value());
    CPPUNIT_ASSERT_EQUAL(text, SerializeShard(read.value()));
    for (const std::string_view it : { "{", "[]", "{\"commits\":\"x\"}" }) {
      CPPUNIT_ASSERT(!ParseShard(it));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LedgerTest);

} // namespace gentianloom
