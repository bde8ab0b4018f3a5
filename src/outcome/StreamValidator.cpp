#include "gentianloom/outcome/StreamValidator.h"

#include "gentianloom/base/JsonReader.h"

#include <algorithm>

namespace gentianloom {

namespace {

constexpr std::size_t kMaxEngines = 100'000;

} // namespace

void EchoingEngines::Add(const std::string& aEngine)
{
  const std::lock_guard lock(mMutex);
  if (mEngines.size() < kMaxEngines) {
    mEngines.insert(aEngine);
  }
}

bool EchoingEngines::Contains(const std::string& aEngine) const
{
  const std::lock_guard lock(mMutex);
  return mEngines.contains(aEngine);
}

std::string FindEventId(std::string_view aData)
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
                                 EchoingEngines& aEchoingEngines,
                                 std::int64_t aLastSequence)
  : mExchangeId(std::move(aExchangeId))
  , mIdField("\"id\":\"" + mExchangeId + "\"")
  , mEngine(std::move(aEngine))
  , mEchoingEngines(aEchoingEngines)
  , mLastSequence(aLastSequence)
{
}

bool StreamValidator::BelongsToExchange(std::string_view aData)
{
  // Quotes inside JSON strings are escaped, so this finds only a field, never text of the content.
  const bool isEchoed = mStreamId == mExchangeId && aData.find(mIdField) != std::string_view::npos;
  if (isEchoed) {
    return true;
  }
  const auto id = FindEventId(aData);
  if (id.ends_with(mExchangeId)) {
    if (mStreamId.empty()) {
      mEchoingEngines.Add(mEngine);
      mStreamId = id;
    }
    return mStreamId == id;
  }
  if (id.empty()) {
    return mStreamId.empty();
  }
  if (mStreamId.empty() && !mEchoingEngines.Contains(mEngine)) {
    mStreamId = id;
  }
  return mStreamId == id;
}

EventCheckResult StreamValidator::Check(std::string_view aData,
                                        std::int64_t aSequence,
                                        std::int64_t aTokens)
{
  if (!BelongsToExchange(aData)) {
    return EventCheckResult::WrongExchange;
  }
  const auto hash = std::hash<std::string_view>()(aData);
  if (aSequence > 0) {
    if (aSequence <= mLastSequence) {
      return EventCheckResult::Duplicate;
    }
    if (aSequence != mLastSequence + 1) {
      return EventCheckResult::Gap;
    }
    mLastSequence = aSequence;
  } else if (aTokens > 0 && aTokens == mTokens && hash == mLastDataHash) {
    return EventCheckResult::Duplicate;
  } else if (aTokens > 0 && aTokens < mTokens) {
    return EventCheckResult::Gap;
  }
  mTokens = std::max(mTokens, aTokens);
  mLastDataHash = hash;
  return EventCheckResult::InOrder;
}

} // namespace gentianloom
