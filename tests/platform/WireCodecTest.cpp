#include "platform/WireCodec.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace gentianloom::platform {

namespace {

net::RequestHead Head(std::initializer_list<std::pair<std::string, std::string>> aHeaders)
{
  net::RequestHead out{ "POST", "/a/b?c=/d", {}, true };
  for (const auto& [name, value] : aHeaders) {
    out.mHeaders.Add(name, value);
  }
  return out;
}

} // namespace

class WireCodecTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(WireCodecTest);
  CPPUNIT_TEST(TestDecode);
  CPPUNIT_TEST(TestMalformedHeaders);
  CPPUNIT_TEST(TestLargestTokenCounts);
  CPPUNIT_TEST(TestForgedHeadersAreRemoved);
  CPPUNIT_TEST(TestResponses);
  CPPUNIT_TEST(TestNumbersOfResponses);
  CPPUNIT_TEST(TestPaceOfLoadHeader);
  CPPUNIT_TEST(TestWishesOfEndpoints);
  CPPUNIT_TEST(TestRateLimits);
  CPPUNIT_TEST(TestWarmUps);
  CPPUNIT_TEST(TestRequestsAndResponsesOfPeers);
  CPPUNIT_TEST_SUITE_END();

public:
  // Another instance has to decide by what the caller sent, and no caller may see what they tell
  // each other.
  void TestRequestsAndResponsesOfPeers()
  {
    const auto sent = mCodec.EncodeForPeer(Head({ { "Host", "h" },
                                                  { "X-Attempt-Id", "9c41" },
                                                  { "X-Deadline-Ms", "15000" },
                                                  { "X-Credential", "key" },
                                                  { "Connection", "X-Other" },
                                                  { "X-Other", "1" } }),
                                           Millis(70));
    const auto request = mCodec.Decode(sent).value();
    CPPUNIT_ASSERT_EQUAL(std::string("key"), request.mApiKey);
    CPPUNIT_ASSERT(request.mTimeout == Millis(70));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, sent.mHeaders.Count("X-Deadline-Ms"));
    CPPUNIT_ASSERT(!sent.mHeaders.Find("X-Other"));
    net::ResponseHead response{ 503, "", {}, true };
    mCodec.AddDeclined(response);
    mCodec.AddEndpoint(response, "i-1");
    CPPUNIT_ASSERT(mCodec.DecodeResponse(response, request).mIsDeclined);
    CPPUNIT_ASSERT_EQUAL(std::string("i-1"),
                         mCodec.DecodeResponse(response, request).mPeerEndpoint);
    mCodec.RemovePeerHeaders(response);
    CPPUNIT_ASSERT(response.mHeaders.Lines().empty());
  }

  void TestDecode()
  {
    const auto request = mCodec
                           .Decode(Head({ { "Host", "H.example:80" },
                                          { "X-Attempt-Id", "9c41" },
                                          { "X-Token-Usage", "1460,80" },
                                          { "X-Prompt-Prefix", "5c1e07a2:800,e4402b7d:660" },
                                          { "X-Deadline-Ms", "15000" },
                                          { "X-Credential", "key" },
                                          { "Last-Event-Id", "7" },
                                          { "Resumes", "first" } }))
                           .value();
    CPPUNIT_ASSERT_EQUAL(std::string("h.example"), request.mHost);
    CPPUNIT_ASSERT_EQUAL(std::string("/a/b"), request.mPath);
    CPPUNIT_ASSERT_EQUAL(std::string("9c41"), request.mId);
    CPPUNIT_ASSERT_EQUAL(std::string("key"), request.mApiKey);
    CPPUNIT_ASSERT(request.mTimeout == Millis(15'000));
    CPPUNIT_ASSERT(request.mPromptTokens == 1'460 && request.mMaxOutputTokens == 80);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, request.mPromptParts.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0x5c1e07a2 }, request.mPromptParts[0].mId);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 660 }, request.mPromptParts[1].mTokens);
    CPPUNIT_ASSERT(request.mResumeAfter == 7);
    CPPUNIT_ASSERT_EQUAL(std::string("first"), request.mResumedRequest);
  }

  void TestMalformedHeaders()
  {
    struct Row
    {
      std::string mName;
      std::string mValue;
    };
    const Row rows[] = { { "X-Token-Usage", "1" },
                         { "X-Token-Usage", "1,-2" },
                         { "X-Token-Usage", "a,b" },
                         { "X-Prompt-Prefix", "zz:1" },
                         { "X-Prompt-Prefix", "1" },
                         { "X-Prompt-Prefix", "1:-4" },
                         { "X-Deadline-Ms", "soon" },
                         { "X-Deadline-Ms", "-1" },
                         { "X-Token-Usage", "-1,2" },
                         { "X-Token-Usage", "1099511627777,1" },
                         { "X-Token-Usage", "1,1099511627777" },
                         { "X-Token-Usage", "9223372036854775807,9" },
                         { "X-Token-Usage", "9,9223372036854775807" },
                         { "X-Token-Usage", "9223372036854775808,9" },
                         { "X-Prompt-Prefix", "1:1099511627777" },
                         { "X-Attempt-Id", "duplicate" } };
    for (const auto& row : rows) {
      const auto head = Head({ { "X-Attempt-Id", "1" }, { row.mName, row.mValue } });
      CPPUNIT_ASSERT_MESSAGE(row.mName + " " + row.mValue, !mCodec.Decode(head));
    }
    CPPUNIT_ASSERT_MESSAGE("no attempt ID", !mCodec.Decode(Head({ { "Host", "h" } })));
  }

  // A bound on token counts must not reject the largest counts that it allows.
  void TestLargestTokenCounts()
  {
    const auto request = mCodec
                           .Decode(Head({ { "X-Attempt-Id", "1" },
                                          { "X-Token-Usage", "1099511627776,1099511627776" },
                                          { "X-Prompt-Prefix", "1:1099511627776" } }))
                           .value();
    CPPUNIT_ASSERT(request.mPromptTokens == kMaxTokenCount);
    CPPUNIT_ASSERT(request.mMaxOutputTokens == kMaxTokenCount);
    CPPUNIT_ASSERT_EQUAL(kMaxTokenCount, request.mPromptParts[0].mTokens);
  }

  // A caller must not be able to forge a header that only a gateway may set, for example by writing
  // its name in another case.
  void TestForgedHeadersAreRemoved()
  {
    const auto head = Head({ { "X-Attempt-Id", "9c41" },
                             { "X-Credential", "key" },
                             { "x-tenant-id", "forged" },
                             { "X-EXPECT-INSTANCE", "forged" },
                             { "X-Hold", "forged" },
                             { "X-Pin-Ms", "1" },
                             { "X-Kv-Backup", "1.2.3.4:5" },
                             { "Kv-From", "1.2.3.4:5/x" },
                             { "Kv-Fetch", "1.2.3.4:5" },
                             { "X-Request-Urgency", "0" },
                             { "X-Expect-Version", "3" },
                             { "Connection", "X-Secret" },
                             { "X-Secret", "1" },
                             { "X-Model", "m" },
                             { "X-Deadline-Ms", "99999" } });
    const auto out = mCodec.Encode(head, { "i-1", Millis(1'234), "org", 5 });
    struct Row
    {
      std::string mName;
      std::optional<std::string> mValue;
    };
    const Row rows[] = { { "X-Attempt-Id", "9c41" },
                         { "X-Model", "m" },
                         { "X-Tenant-Id", "org" },
                         { "X-Expect-Instance", "i-1" },
                         { "X-Deadline-Ms", "1234" },
                         { "Last-Event-Id", "5" },
                         { "X-Credential", std::nullopt },
                         { "X-Hold", std::nullopt },
                         { "X-Pin-Ms", std::nullopt },
                         { "X-Kv-Backup", std::nullopt },
                         { "Kv-From", std::nullopt },
                         { "Kv-Fetch", std::nullopt },
                         { "X-Secret", std::nullopt },
                         { "X-Request-Urgency", std::nullopt },
                         { "X-Expect-Version", std::nullopt } };
    for (const auto& row : rows) {
      const auto found = out.mHeaders.Find(row.mName);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mName, row.mValue.has_value(), found.has_value());
      if (row.mValue) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mName, *row.mValue, std::string(*found));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mName, std::size_t{ 1 }, out.mHeaders.Count(row.mName));
      }
    }
    // An anonymous request is forwarded without an organisation, not with a forged one.
    const auto anonymous = mCodec.Encode(head, { "i-1", Millis(1), "", {} });
    CPPUNIT_ASSERT(!anonymous.mHeaders.Find("X-Tenant-Id"));
  }

  void TestResponses()
  {
    CallerRequest request;
    request.mId = "9c41";
    net::ResponseHead head{ 200, "OK", {}, true };
    head.mHeaders.Add("X-Attempt-Id", "9c41");
    head.mHeaders.Add("X-Server-Signature", "s");
    head.mHeaders.Add("X-Instance-Load", "3,1,8");
    head.mHeaders.Add("Keep-Alive", "max=5, timeout=4");
    const auto good = mCodec.DecodeResponse(head, request);
    CPPUNIT_ASSERT(good.mRequestId == ResponseRequestId::Same && good.mHasSignature &&
                   !good.mDidNotRun && !good.mIsMisdirected);
    CPPUNIT_ASSERT(good.mLoad && good.mLoad->mRunning == 3 && good.mLoad->mSlots == 8);
    CPPUNIT_ASSERT(good.mIdleTimeout == Millis(4'000));
    request.mId = "other";
    CPPUNIT_ASSERT(mCodec.DecodeResponse(head, request).mRequestId == ResponseRequestId::Other);
    net::ResponseHead refused{ 503, "Full", {}, true };
    refused.mHeaders.Add("X-Not-Executed", "1");
    CPPUNIT_ASSERT(mCodec.DecodeResponse(refused, request).mDidNotRun);
    const net::ResponseHead withoutNotExecuted{ 503, "Full", {}, true };
    CPPUNIT_ASSERT(!mCodec.DecodeResponse(withoutNotExecuted, request).mDidNotRun);
    const net::ResponseHead misdirected{ 421, "Misdirected", {}, true };
    const auto decoded = mCodec.DecodeResponse(misdirected, request);
    CPPUNIT_ASSERT(decoded.mIsMisdirected && decoded.mRequestId == ResponseRequestId::Missing);
  }

  // A number of a faulty endpoint must not overflow in the sums and products that use it.
  void TestNumbersOfResponses()
  {
    struct Row
    {
      std::string mLoad;
      bool mHasLoad;
      std::string mKeepAlive;
      std::optional<Millis> mIdleTimeout;
    };
    const Row rows[] = {
      { "0,0,0", true, "timeout=0", Millis(0) },
      { "3,1", false, "max=5", std::nullopt },
      { "-1,1,8", false, "timeout=-5", Millis(0) },
      { "9223372036854775807,9,8", false, "timeout=9223372036854775807", Millis(86'400'000) },
      { "1,1099511627777,8", false, "timeout=9223372036854775", Millis(86'400'000) },
    };
    for (const auto& row : rows) {
      net::ResponseHead head{ 200, "OK", {}, true };
      head.mHeaders.Add("X-Instance-Load", row.mLoad);
      head.mHeaders.Add("Keep-Alive", row.mKeepAlive);
      const auto response = mCodec.DecodeResponse(head, {});
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mLoad, row.mHasLoad, response.mLoad.has_value());
      CPPUNIT_ASSERT_MESSAGE(row.mKeepAlive, row.mIdleTimeout == response.mIdleTimeout);
    }
  }

  // A header with four figures used to be rejected as a whole, so that sites that state a pace had
  // no load data. An odd pace must not make the other figures unusable either.
  void TestPaceOfLoadHeader()
  {
    struct Row
    {
      std::string mLoad;
      bool mHasLoad;
      std::optional<std::int64_t> mPacePercent;
    };
    const Row rows[] = {
      { "3,1,8", true, std::nullopt },
      { "3,1,8,100", true, 100 },
      { "3,1,8,250,7,x", true, 250 },
      { "3,1,8,0", true, 10 },
      { "3,1,8,9223372036854775807", true, 1'000 },
      { "3,1,8,-5", true, std::nullopt },
      { "3,1,8,", true, std::nullopt },
      { "3,1,8,1e2", true, std::nullopt },
      { "3,1,8,99999999999999999999", true, std::nullopt },
      { "3,1", false, std::nullopt },
      { "3,-1,8,100", false, std::nullopt },
    };
    for (const auto& row : rows) {
      net::ResponseHead head{ 200, "OK", {}, true };
      head.mHeaders.Add("X-Instance-Load", row.mLoad);
      const auto load = mCodec.DecodeResponse(head, {}).mLoad;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mLoad, row.mHasLoad, load.has_value());
      if (!load) {
        continue;
      }
      CPPUNIT_ASSERT_MESSAGE(row.mLoad, load->mRunning == 3 && load->mSlots == 8);
      CPPUNIT_ASSERT_MESSAGE(row.mLoad, row.mPacePercent == load->mPacePercent);
    }
  }

  // A pause that cannot be read, or that no endpoint can mean, must not be taken for one.
  void TestWishesOfEndpoints()
  {
    struct Row
    {
      int mStatus;
      std::string mRetryAfter;
      std::string mLeaving;
      std::optional<Millis> mPause;
      bool mIsLeaving;
    };
    const Row rows[] = {
      { 503, "2", "1", Millis(2'000), true },
      { 200, "2", "1", std::nullopt, true },
      { 429, "2", "", std::nullopt, false },
      { 503, "0.75", "0", Millis(750), false },
      { 503, "0", "true", std::nullopt, false },
      { 503, "-1", "11", std::nullopt, false },
      { 503, "nan", "", std::nullopt, false },
      { 503, "inf", "", std::nullopt, false },
      { 503, "1e3", "", std::nullopt, false },
      { 503, "2 s", "", std::nullopt, false },
      { 503, "", "", std::nullopt, false },
      { 503, "Wed, 21 Oct 2026 07:28:00 GMT", "", std::nullopt, false },
      { 503, "99999999999999999999", "", Millis(86'400'000), false },
      { 503, std::string(400, '9'), "", std::nullopt, false },
    };
    for (const auto& row : rows) {
      net::ResponseHead head{ row.mStatus, "", {}, true };
      head.mHeaders.Add("Retry-After", row.mRetryAfter);
      head.mHeaders.Add("Server-Leaving", row.mLeaving);
      const auto response = mCodec.DecodeResponse(head, {});
      CPPUNIT_ASSERT_MESSAGE(row.mRetryAfter, row.mPause == response.mRetryAfter);
      const bool isRefusal = row.mStatus == 503;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        row.mRetryAfter, isRefusal && !row.mPause, response.mIsRetryAfterInvalid);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mLeaving, row.mIsLeaving, response.mIsLeaving);
    }
  }

  // A value that is no limit must neither block an endpoint nor count as the end of a limit.
  void TestRateLimits()
  {
    struct Row
    {
      std::vector<std::string> mValues;
      std::optional<double> mLimit;
    };
    const Row rows[] = {
      { {}, std::nullopt },
      { { "1.3" }, 1.3 },
      { { "0" }, 0 },
      { { "0.2" }, 0.2 },
      { { "7" }, 7 },
      { { "99999999" }, 1'000'000 },
      { { "-1" }, std::nullopt },
      { { "-0.5" }, std::nullopt },
      { { "nan" }, std::nullopt },
      { { "inf" }, std::nullopt },
      { { "1e99" }, std::nullopt },
      { { "1,5" }, std::nullopt },
      { { "0x1" }, std::nullopt },
      { { "" }, std::nullopt },
      { { std::string(400, '9') }, std::nullopt },
      { { "1", "2" }, std::nullopt },
      { { "1", "1" }, std::nullopt },
    };
    for (const auto& row : rows) {
      net::ResponseHead head{ 200, "", {}, true };
      for (const auto& it : row.mValues) {
        head.mHeaders.Add("Server-Limit", it);
      }
      const auto response = mCodec.DecodeResponse(head, {});
      const auto name = row.mValues.empty() ? std::string("none") : row.mValues.front();
      CPPUNIT_ASSERT_MESSAGE(name, row.mLimit == response.mRateLimit);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        name, !row.mValues.empty() && !row.mLimit, response.mIsRateLimitInvalid);
    }
  }

  // A value that is no time must neither end a warm-up nor begin one.
  void TestWarmUps()
  {
    struct Row
    {
      std::vector<std::string> mValues;
      std::optional<Millis> mRemaining;
    };
    const Row rows[] = { { {}, std::nullopt },
                         { { "0" }, Millis(0) },
                         { { "4321" }, Millis(4'321) },
                         { { "86400001" }, std::nullopt },
                         { { "-1" }, std::nullopt },
                         { { "1.5" }, std::nullopt },
                         { { "soon" }, std::nullopt },
                         { { "" }, std::nullopt },
                         { { std::string(400, '9') }, std::nullopt },
                         { { "1", "1" }, std::nullopt } };
    for (const auto& row : rows) {
      net::ResponseHead head{ 200, "", {}, true };
      for (const auto& it : row.mValues) {
        head.mHeaders.Add("X-Cold-Ms", it);
      }
      const auto response = mCodec.DecodeResponse(head, {});
      const auto name = row.mValues.empty() ? std::string("none") : row.mValues.front();
      CPPUNIT_ASSERT_MESSAGE(name, row.mRemaining == response.mWarmUpRemaining);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        name, !row.mValues.empty() && !row.mRemaining, response.mIsWarmUpInvalid);
    }
  }

private:
  WireCodec mCodec;
};

CPPUNIT_TEST_SUITE_REGISTRATION(WireCodecTest);

} // namespace gentianloom::platform
