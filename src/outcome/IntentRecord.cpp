#include "gentianloom/outcome/IntentRecord.h"

#include "gentianloom/base/Base64.h"
#include "gentianloom/base/Ids.h"
#include "gentianloom/base/JsonReader.h"

#include <algorithm>
#include <array>

namespace gentianloom {

namespace {

constexpr std::string_view kIntentPrefix = "/gentianloom/intents/";
constexpr std::array<std::string_view, 4> kStateNames = { "open", "done", "not-run", "unknown" };

/// Concatenates texts, each prefixed with its length, so that different lists give different
/// results.
std::string JoinLengthPrefixed(std::initializer_list<std::string_view> aTexts)
{
  std::string out;
  for (const auto it : aTexts) {
    out += std::to_string(it.size()) + ":";
    out += it;
  }
  return out;
}

} // namespace

std::string MakeIntentKey(std::string_view aOrganisation,
                          std::string_view aService,
                          std::string_view aIdempotencyKey)
{
  return std::string(kIntentPrefix) +
         KeyDigest(JoinLengthPrefixed({ aOrganisation, aService, aIdempotencyKey }));
}

std::string ComputeCallFingerprint(std::string_view aMethod,
                                   std::string_view aPath,
                                   std::string_view aContentType,
                                   std::string_view aBody)
{
  return KeyDigest(JoinLengthPrefixed({ aMethod, aPath, aContentType, aBody }));
}

std::string SerializeIntent(const IntentRecord& aRecord)
{
  Json json = { { "incarnation", aRecord.mIncarnation },
                { "nonce", aRecord.mNonce },
                { "fingerprint", aRecord.mFingerprint },
                { "state", kStateNames.at(static_cast<std::size_t>(aRecord.mState)) },
                { "giveUpAtMs", aRecord.mHolderDeadline.count() } };
  if (aRecord.mState == IntentState::Done) {
    json["status"] = aRecord.mResponse.mStatus;
    json["contentType"] = aRecord.mResponse.mContentType;
  }
  if (aRecord.mIsBodyStored) {
    json["answer"] = EncodeBase64(aRecord.mResponse.mBody);
  }
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<IntentRecord> ParseIntent(std::string_view aText)
{
  const auto json = Json::parse(aText, nullptr, false);
  if (!json.is_object()) {
    return std::nullopt;
  }
  try {
    IntentRecord out;
    out.mIncarnation = json.at("incarnation").get<std::string>();
    out.mNonce = json.at("nonce").get<std::string>();
    out.mFingerprint = json.at("fingerprint").get<std::string>();
    out.mHolderDeadline = Millis(json.at("giveUpAtMs").get<std::int64_t>());
    const auto state = json.at("state").get<std::string>();
    const auto* const it = std::find(kStateNames.begin(), kStateNames.end(), state);
    if (it == kStateNames.end()) {
      return std::nullopt;
    }
    out.mState = static_cast<IntentState>(it - kStateNames.begin());
    out.mResponse.mStatus = json.value("status", 0);
    out.mResponse.mContentType = json.value("contentType", "");
    out.mIsBodyStored = json.contains("answer");
    auto body = DecodeBase64(json.value("answer", ""));
    if (!body) {
      return std::nullopt;
    }
    out.mResponse.mBody = std::move(*body);
    return out;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

} // namespace gentianloom
