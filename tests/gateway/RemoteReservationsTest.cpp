#include "gentianloom/gateway/RemoteReservations.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <string_view>

namespace gentianloom {

class RemoteReservationsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RemoteReservationsTest);
  CPPUNIT_TEST(TestMessagesInAnyOrder);
  CPPUNIT_TEST(TestExpiry);
  CPPUNIT_TEST_SUITE_END();

  static constexpr TimePoint kStart{ std::chrono::hours(1) };
  static constexpr Tokens kReserved = 500;
  static constexpr Tokens kUsed = 120;

  const RemoteReservationKey mKey{ {}, 7 };

  static ReservationMessage Query()
  {
    ReservationMessage out;
    out.mBudget = "b";
    out.mTokens = kReserved;
    out.mLifetime = Millis(1'000);
    return out;
  }

public:
  // Datagrams are lost, repeated and reordered: the keeper must neither free tokens that are in use
  // nor keep or charge them twice.
  void TestMessagesInAnyOrder()
  {
    struct Row
    {
      std::string mEvents; ///< q: query, r: reserved, x: refused, s: settlement, c: cancellation
      Tokens mCharged;     ///< by settlements
      Tokens mFreed;
      std::size_t mOpen; ///< reservations that are not settled
    };
    const Row rows[] = {
      { "qr", 0, 0, 1 },
      { "qrs", kUsed, kReserved - kUsed, 0 },
      { "qrqs", kUsed, kReserved - kUsed, 0 },
      { "qrss", kUsed, kReserved - kUsed, 0 },
      { "qrsqs", kUsed, kReserved - kUsed, 0 },
      { "qcr", 0, kReserved, 0 },
      { "cqc", 0, 0, 0 },
      { "qx", 0, 0, 0 },
      { "qxc", 0, 0, 0 },
      { "qrcs", 0, kReserved, 0 },
    };
    for (const auto& row : rows) {
      RemoteReservations table;
      Tokens charged = 0;
      Tokens freed = 0;
      const auto settle = [&](const std::optional<RemoteSettlement>& aSettlement) {
        charged += aSettlement ? aSettlement->mUsed : 0;
        freed += aSettlement ? aSettlement->mReserved - aSettlement->mUsed : 0;
      };
      for (const char it : std::string_view(row.mEvents)) {
        if (it == 'q') {
          table.Begin(mKey, Query(), kStart);
        } else if (it == 'r') {
          const bool isAccepted = table.Answer(mKey, KeeperAnswer::Reserved, Millis(0));
          freed += isAccepted ? 0 : kReserved;
        } else if (it == 'x') {
          table.Answer(mKey, KeeperAnswer::Unavailable, Millis(0));
        } else {
          settle(table.End(mKey, it == 's' ? kUsed : 0, kStart));
        }
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mEvents, row.mCharged, charged);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mEvents, row.mFreed, freed);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mEvents, row.mOpen, table.Open());
    }
  }

  // An instance that ended without a settlement may have used all that was reserved for it.
  void TestExpiry()
  {
    RemoteReservations table;
    table.Begin(mKey, Query(), kStart);
    table.Answer(mKey, KeeperAnswer::Reserved, Millis(0));
    const auto end = kStart + Query().mLifetime + RemoteReservations::kSettlementGrace;
    CPPUNIT_ASSERT(table.Expire(end - Millis(1)).empty());
    const auto expired = table.Expire(end);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, expired.size());
    CPPUNIT_ASSERT_EQUAL(kReserved, expired.front().mUsed);
    CPPUNIT_ASSERT_MESSAGE("a late settlement frees nothing", !table.End(mKey, 0, end));
    CPPUNIT_ASSERT(table.AnswerOf(mKey).mAnswer == KeeperAnswer::Unavailable);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RemoteReservationsTest);

} // namespace gentianloom
