#include "gentianloom/report/BurnReport.h"
#include "gentianloom/serving/BurnAdmin.h"

#include <cppunit/extensions/HelperMacros.h>

namespace gentianloom::testing {

class BurnReportTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(BurnReportTest);
  CPPUNIT_TEST(TestCountsExpireByWindow);
  CPPUNIT_TEST(TestSampleOfExchange);
  CPPUNIT_TEST(TestKeysAreBounded);
  CPPUNIT_TEST(TestReportOfTwoInstances);
  CPPUNIT_TEST_SUITE_END();

  static BurnSample Sample(const std::string& aOrganisation, bool aInDeadline)
  {
    BurnSample out;
    out.mKey = { aOrganisation, "m" };
    out.mAdmitted = true;
    out.mInDeadline = aInDeadline;
    out.mFirstToken = aInDeadline ? Millis(100) : Millis(900);
    return out;
  }

public:
  void TestCountsExpireByWindow()
  {
    BurnRecorder recorder;
    ManualClock clock;
    recorder.Record(Sample("o", false), {}, clock.Now());
    recorder.Record(Sample("o", true), {}, clock.Now());
    struct Row
    {
      Micros mAdvance;
      std::array<std::uint64_t, kBurnWindows.size()> mMissed; ///< in each window
    };
    const Row rows[] = { { Micros(0), { 1, 1, 1, 1 } },
                         { std::chrono::minutes(6), { 0, 1, 1, 1 } },
                         { std::chrono::hours(1), { 0, 0, 1, 1 } },
                         { std::chrono::hours(6), { 0, 0, 0, 1 } },
                         { std::chrono::hours(72), { 0, 0, 0, 0 } } };
    for (const auto& row : rows) {
      clock.Advance(row.mAdvance);
      const auto counts = recorder.Counts(clock.Now()).at({ "o", "m" });
      for (std::size_t window = 0; window < kBurnWindows.size(); ++window) {
        for (const auto it : { Objective::FirstToken, Objective::InDeadline }) {
          const auto& count = counts[window][static_cast<std::size_t>(it)];
          CPPUNIT_ASSERT_EQUAL(row.mMissed[window], count.mMissed);
          CPPUNIT_ASSERT_EQUAL(row.mMissed[window] * 2, count.mRequests);
        }
      }
    }
  }

  void TestSampleOfExchange()
  {
    struct Row
    {
      std::optional<ErrorCode> mRefusal;
      bool mCounted;
      bool mWrong;
    };
    const Row rows[] = {
      { std::nullopt, true, false },           { ErrorCode::BudgetExhausted, true, false },
      { ErrorCode::BudgetBusy, true, true },   { ErrorCode::Overloaded, true, true },
      { ErrorCode::NotAllowed, false, false }, { ErrorCode::UnknownModel, false, false }
    };
    ManualClock clock;
    for (const auto& row : rows) {
      Exchange exchange;
      exchange.mOrganisation = "o";
      exchange.mArrived = clock.Now();
      exchange.mDeadline = clock.Now() + Millis(100);
      exchange.RecordTokens(1, clock.Now() + Millis(10));
      exchange.RecordTokens(5, clock.Now() + Millis(50));
      exchange.mOutcome = Outcome::Done;
      std::optional<Error> refusal;
      if (row.mRefusal) {
        refusal = MakeError(*row.mRefusal, Step::RequestReserve, "self", "");
      }
      const auto sample = MakeBurnSample(exchange, refusal, clock.Now() + Millis(50));
      CPPUNIT_ASSERT_EQUAL(row.mCounted, sample.has_value());
      if (!sample) {
        continue;
      }
      CPPUNIT_ASSERT_EQUAL(row.mWrong, sample->mWronglyRefused);
      CPPUNIT_ASSERT_EQUAL(!row.mRefusal, sample->mAdmitted);
      CPPUNIT_ASSERT(sample->mInDeadline);
      CPPUNIT_ASSERT(*sample->mFirstToken == Millis(10));
      CPPUNIT_ASSERT(*sample->mBetweenTokens == Millis(10));
      CPPUNIT_ASSERT(!MakeBurnSample(exchange, refusal, clock.Now() + Millis(101))->mInDeadline);
    }
  }

  void TestKeysAreBounded()
  {
    BurnRecorder recorder;
    const ManualClock clock;
    for (std::size_t n = 0; n < BurnRecorder::kMaxKeys + 10; ++n) {
      recorder.Record(Sample(std::to_string(n), true), {}, clock.Now());
    }
    const auto counts = recorder.Counts(clock.Now());
    CPPUNIT_ASSERT_EQUAL(BurnRecorder::kMaxKeys + 1, counts.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 10 }, counts.at(BurnRecorder::kOtherKey)[0][2].mRequests);
  }

  void TestReportOfTwoInstances()
  {
    const ManualClock clock;
    BurnReport report;
    for (const auto* it : { "a", "b" }) {
      BurnRecorder recorder;
      recorder.Record(Sample("<o>", false), {}, clock.Now());
      recorder.Record(Sample("<o>", true), {}, clock.Now());
      const InstanceBurn burn{ it, 60, {}, recorder.Counts(clock.Now()) };
      AddInstance(report, ParseInstanceBurn(InstanceBurnToJson(burn), it).value());
    }
    const auto& counts = report.mCounts.at({ "<o>", "m" });
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 4 }, counts[0][0].mRequests);
    // Half of the requests missed the objective, and 5 in 100 may.
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
      10, BurnRate(counts[0][0], AllowedShare({}, Objective::FirstToken)), 1e-6);
    CPPUNIT_ASSERT(FormatBurnTable(report).find("10.00") != std::string::npos);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
      10, BurnReportToJson(report)["rows"][0]["burn"]["5m"]["firstToken"].get<double>(), 1e-6);
    const auto page = RenderBurnPage(report);
    CPPUNIT_ASSERT(page.find("&lt;o&gt;") != std::string::npos);
    for (const auto* it : { "<o>", "http", "<script" }) {
      CPPUNIT_ASSERT(page.find(it) == std::string::npos);
    }
    CPPUNIT_ASSERT(!ParseInstanceBurn(Json::parse("{\"rows\":[{}]}"), "x"));
    CPPUNIT_ASSERT(!ParseInstanceBurn(Json(), "x"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BurnReportTest);

} // namespace gentianloom::testing
