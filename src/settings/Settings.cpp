#include "gentianloom/settings/Settings.h"

#include "gentianloom/base/Address.h"
#include "gentianloom/base/JsonReader.h"

namespace gentianloom {

namespace {

constexpr std::int64_t kMaxMillis = 86'400'000;
constexpr std::int64_t kMaxConnections = 100'000;
constexpr std::int64_t kMaxSlots = 1'000'000;
constexpr std::int64_t kMaxBodyBytes = 1LL << 30U;
constexpr std::int64_t kMinIntentLifetimeMs = 60'000;
constexpr std::int64_t kMaxTokens = 1'000'000'000'000;

Millis ReadMillis(JsonReader& aReader,
                  std::string_view aKey,
                  Millis aDefault,
                  std::int64_t aMin = 1)
{
  return Millis(aReader.IntegerOr(aKey, aDefault.count(), aMin, kMaxMillis));
}

std::string ReadAddress(JsonReader& aReader, std::string_view aKey, std::string_view aDefault)
{
  auto text = aReader.StringOr(aKey, aDefault);
  if (!text.empty() && !ParseAddress(text)) {
    aReader.AddError(ErrorCode::BadSettings, aKey, "\"" + text + "\" is not of the form IP:PORT");
  }
  return text;
}

OperatorSettings ReadOperator(JsonReader& aReader)
{
  OperatorSettings out;
  out.mName = aReader.String("name");
  out.mKeyDigest = aReader.String("keyDigest");
  out.mTeams = aReader.Strings("teams");
  const auto role = aReader.StringOr("role", "reader");
  if (role == "owner") {
    out.mRole = OperatorRole::Owner;
  } else if (role == "team") {
    out.mRole = OperatorRole::Team;
  } else if (role != "reader") {
    aReader.AddError(ErrorCode::OutOfRange, "role", "must be \"owner\", \"team\" or \"reader\"");
  }
  return out;
}

void ReadServing(JsonReader& aReader, ServingSettings& aOut)
{
  aOut.mMaxConnections = static_cast<int>(
    aReader.IntegerOr("mostConnections", aOut.mMaxConnections, 1, kMaxConnections));
  aOut.mRingSlots = static_cast<int>(aReader.IntegerOr("ringSlots", aOut.mRingSlots, 1, kMaxSlots));
  aOut.mMaxBodyBytes = aReader.IntegerOr("mostBodyBytes", aOut.mMaxBodyBytes, 1, kMaxBodyBytes);
  aOut.mClientIdleTimeout = ReadMillis(aReader, "clientIdleMs", aOut.mClientIdleTimeout);
  aOut.mDefaultDeadline = ReadMillis(aReader, "defaultDeadlineMs", aOut.mDefaultDeadline);
  aOut.mConnectTimeout = ReadMillis(aReader, "connectTimeoutMs", aOut.mConnectTimeout);
  aOut.mEndpointIdleTimeout = ReadMillis(aReader, "endpointSilenceMs", aOut.mEndpointIdleTimeout);
}

void ReadBudget(JsonReader& aReader, BudgetSettings& aOut)
{
  aOut.mPolicy = aReader.StringOr("policy", aOut.mPolicy);
  if (aOut.mPolicy != "fixed" && aOut.mPolicy != "demand" && aOut.mPolicy != "shrinking") {
    aReader.AddError(
      ErrorCode::OutOfRange, "policy", "must be \"fixed\", \"demand\" or \"shrinking\"");
  }
  aOut.mFixedTokens = aReader.IntegerOr("fixedTokens", aOut.mFixedTokens, 1, kMaxTokens);
  aOut.mDemandWindow = ReadMillis(aReader, "demandWindowMs", aOut.mDemandWindow);
  aOut.mCommitInterval = ReadMillis(aReader, "commitIntervalMs", aOut.mCommitInterval);
}

void ReadRouting(JsonReader& aReader, RoutingSettings& aOut)
{
  aOut.mPolicy = aReader.StringOr("policy", aOut.mPolicy);
  if (aOut.mPolicy != "least-wait" && aOut.mPolicy != "round-robin" && aOut.mPolicy != "random") {
    aReader.AddError(
      ErrorCode::OutOfRange, "policy", "must be \"least-wait\", \"round-robin\" or \"random\"");
  }
  aOut.mSampleSize = aReader.IntegerOr("drawn", aOut.mSampleSize, 2, kMaxSlots);
  aOut.mFirstTokenTarget = ReadMillis(aReader, "firstTokenTargetMs", aOut.mFirstTokenTarget);
  aOut.mMaxEjectedShare = aReader.NumberOr("mostEjected", aOut.mMaxEjectedShare, 0, 1);
  aOut.mRemoteZonePenalty = ReadMillis(aReader, "farPenaltyMs", aOut.mRemoteZonePenalty, 0);
  aOut.mQueueSlots = aReader.IntegerOr("queueSlots", aOut.mQueueSlots, 1, kMaxSlots);
  aOut.mMaxQueueTime = ReadMillis(aReader, "queueTimeMs", aOut.mMaxQueueTime);
  aOut.mLoadPollInterval = ReadMillis(aReader, "loadPollMs", aOut.mLoadPollInterval);
  aOut.mMaxPolled = aReader.IntegerOr("mostPolled", aOut.mMaxPolled, 1, kMaxSlots);
  aOut.mPollTimeout = ReadMillis(aReader, "pollTimeoutMs", aOut.mPollTimeout);
  aOut.mCrashBlockTime = ReadMillis(aReader, "crashBlockMs", aOut.mCrashBlockTime);
}

void ReadExternalServices(JsonReader& aReader, Settings& aOut)
{
  aReader.Object("keyValue", [&](JsonReader& it) {
    aOut.mKeyValueAddresses = it.Strings("addresses");
    aOut.mKeyValueTimeout = ReadMillis(it, "timeoutMs", aOut.mKeyValueTimeout);
  });
  aReader.Object("instanceList", [&](JsonReader& it) {
    aOut.mInstanceListAddress = ReadAddress(it, "address", "");
    aOut.mInstanceListPollInterval = ReadMillis(it, "pollMs", aOut.mInstanceListPollInterval);
  });
  aReader.Object("weightStore", [&](JsonReader& it) {
    aOut.mWeightStoreAddress = ReadAddress(it, "address", "");
  });
}

void ReadSettings(JsonReader& aReader, Settings& aOut)
{
  aOut.mName = aReader.String("name");
  aOut.mZone = aReader.String("zone");
  aOut.mListen = ReadAddress(aReader, "listen", "127.0.0.1:0");
  aOut.mAdvertise = ReadAddress(aReader, "advertise", "");
  aOut.mPeerListen = ReadAddress(aReader, "peerListen", "127.0.0.1:0");
  aOut.mPeerAdvertise = ReadAddress(aReader, "peerAdvertise", "");
  aOut.mReadyFile = aReader.StringOr("readyFile", "");
  ReadExternalServices(aReader, aOut);
  aReader.Objects("peers", [&](JsonReader& it) {
    aOut.mPeers.push_back({ it.String("name"), ReadAddress(it, "address", "") });
  });
  for (auto& [name, address] : aReader.StringMap("endpointAddresses")) {
    aOut.mEndpointAddresses[name] = address;
  }
  aOut.mMaxEndpointStatusAge =
    ReadMillis(aReader, "endpointStandingMs", aOut.mMaxEndpointStatusAge);
  aReader.Objects("operators",
                  [&](JsonReader& it) { aOut.mOperators.push_back(ReadOperator(it)); });
  aReader.Object("serving", [&](JsonReader& it) { ReadServing(it, aOut.mServing); });
  aReader.Object("budget", [&](JsonReader& it) { ReadBudget(it, aOut.mBudget); });
  aReader.Object("intent", [&](JsonReader& it) {
    aOut.mIntent.mLifetime =
      ReadMillis(it, "lifetimeMs", aOut.mIntent.mLifetime, kMinIntentLifetimeMs);
    aOut.mIntent.mSendWindow = ReadMillis(it, "sendWindowMs", aOut.mIntent.mSendWindow);
  });
  aReader.Object("routing", [&](JsonReader& it) { ReadRouting(it, aOut.mRouting); });
  aReader.Object("drain", [&](JsonReader& it) {
    aOut.mDrain.mAddressLifetime =
      ReadMillis(it, "addressLifetimeMs", aOut.mDrain.mAddressLifetime, 0);
    aOut.mDrain.mMaxDrainTime = ReadMillis(it, "limitMs", aOut.mDrain.mMaxDrainTime);
  });
}

} // namespace

ParsedSettings ParseSettings(std::string_view aText, std::string_view aSource)
{
  ParsedSettings out;
  auto json = ParseJson(aText, aSource, Step::Settings);
  if (!json) {
    out.mErrors.push_back(json.error());
    return out;
  }
  JsonReader::Sink sink{ std::string(aSource), Step::Settings };
  JsonReader reader(json.value(), "", sink);
  ReadSettings(reader, out.mSettings);
  if (out.mSettings.mKeyValueAddresses.empty()) {
    reader.AddError(ErrorCode::MissingKey,
                    "keyValue/addresses",
                    "is missing; list the IP:PORT addresses of the key-value service");
  }
  reader.Finish();
  out.mErrors = std::move(sink.mErrors);
  return out;
}

} // namespace gentianloom
