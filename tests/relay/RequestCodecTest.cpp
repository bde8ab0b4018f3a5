#include "gentianloom/relay/RequestCodec.h"

#include <cppunit/extensions/HelperMacros.h>

#include <limits>

namespace gentianloom {

class RequestCodecTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RequestCodecTest);
  CPPUNIT_TEST(TestMaxTokens);
  CPPUNIT_TEST_SUITE_END();

public:
  // A codec may pass on counts whose sum overflows: a budget would be charged a negative number.
  void TestMaxTokens()
  {
    constexpr auto kLargest = std::numeric_limits<Tokens>::max();
    struct Row
    {
      std::optional<Tokens> mPrompt;
      std::optional<Tokens> mOutput;
      std::optional<Tokens> mSum;
    };
    const Row rows[] = {
      { std::nullopt, std::nullopt, 0 },
      { 1'460, std::nullopt, 1'460 },
      { 1'460, 80, 1'540 },
      { kMaxTokenCount, kMaxTokenCount, 2 * kMaxTokenCount },
      { kMaxTokenCount + 1, 0, std::nullopt },
      { 0, kMaxTokenCount + 1, std::nullopt },
      { kLargest, 9, std::nullopt },
      { 9, kLargest, std::nullopt },
      { -1, 5, std::nullopt },
      { 5, -1, std::nullopt },
    };
    for (const auto& row : rows) {
      CallerRequest request;
      request.mPromptTokens = row.mPrompt;
      request.mMaxOutputTokens = row.mOutput;
      CPPUNIT_ASSERT(row.mSum == request.MaxTokens());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestCodecTest);

} // namespace gentianloom
