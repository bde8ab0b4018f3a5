#include "gentianloom/outcome/StreamValidator.h"

#include "gentianloom/base/JsonReader.h"

#include <algorithm>

namespace gentianloom {

namespace {

constexpr std::size_t kMostEngines = 100'000;

} // namespace

void EchoingEngines::Note(const std::string& aEngine)
{
  const std::lock_guard lock(mMutex);
  if (mEngines.size() < kMostEngines) {
    mEngines.insert(aEngine);
  }
}

bool EchoingEngines::Contains(const std::string& aEngine) const
{
  const std::lock_guard lock(mMutex);
  return mEngines.contains(aEngine);
}

std::string EventId(std::string_view aData)
{
  const auto json = Json::parse(aData, nullptr, false);
  if (!json.is_object()) {
    return {};
  }
  const auto it = json.find("id");
  return it != json.end() && it->is_string() ? it->get<std::string>() : std::string();
}

StreamValidator::StreamValidator(std::string aExchangeId,
                                 std::string aEngine,
                                 EchoingEngines& aEchoing,
                                 std::int64_t aAfter)
  : mExchangeId(std::move(aExchangeId))
  , mEcho("\"id\":\"" + mExchangeId + "\"")
  , mEngine(std::move(aEngine))
  , mEchoing(aEchoing)
  , mLast(aAfter)
{
}

bool StreamValidator::IsMine(std::string_view aData)
{
  // Texts inside a payload have their quotes escaped, so that this finds a field only.
  const bool echoed = mPinned == mExchangeId && aData.find(mEcho) != std::string_view::npos;
  if (echoed) {
    return true;
  }
  const auto id = EventId(aData);
  if (id.ends_with(mExchangeId)) {
    if (mPinned.empty()) {
      mEchoing.Note(mEngine);
      mPinned = id;
    }
    return mPinned == id;
  }
  if (id.empty()) {
    return mPinned.empty();
  }
  if (mPinned.empty() && !mEchoing.Contains(mEngine)) {
    mPinned = id;
  }
  return mPinned == id;
}

EventCheckResult StreamValidator::Check(std::string_view aData,
                                        std::int64_t aSequence,
                                        std::int64_t aTokens)
{
  if (!IsMine(aData)) {
    return EventCheckResult::WrongExchange;
  }
  const auto hash = std::hash<std::string_view>()(aData);
  if (aSequence > 0) {
    if (aSequence <= mLast) {
      return EventCheckResult::Duplicate;
    }
    if (aSequence != mLast + 1) {
      return EventCheckResult::Gap;
    }
    mLast = aSequence;
  } else if (aTokens > 0 && aTokens == mTokens && hash == mLastData) {
    return EventCheckResult::Duplicate;
  } else if (aTokens > 0 && aTokens < mTokens) {
    return EventCheckResult::Gap;
  }
  mTokens = std::max(mTokens, aTokens);
  mLastData = hash;
  return EventCheckResult::InOrder;
}

} // namespace gentianloom
