#include "Targets.h"

#include "gentianloom/configuration/ConfigurationJson.h"
#include "gentianloom/gateway/BlockedRequests.h"
#include "gentianloom/gateway/SoftwareVersionRecord.h"
#include "gentianloom/membership/InstanceDirectory.h"
#include "gentianloom/serving/ChatRequest.h"
#include "gentianloom/settings/Settings.h"
#include "platform/WireProtocol.h"

#include <array>

namespace gentianloom::fuzz {

namespace {

constexpr std::array<std::string_view, 2> kConfigurations = {
  R"({"deployment":"d","teams":[{"name":"t"}],"organisations":[{"name":"o","team":"t","budget":"b",
"keyDigests":[]}],"budgets":[{"name":"b","prepaidTokens":5}],"models":[{"name":"m","version":"1",
"adapters":["a"]}],"endpoints":[{"name":"e","zone":"z","model":"m","adapters":["a"],"role":"both"}],
"services":[{"name":"s","endpoints":["w"],"calls":[{"method":"GET","path":"/","repeatable":true}]}]})",
  "// empty\n{ \"deployment\": \"d\" /* nothing else */ }",
};

constexpr std::array<std::string_view, 2> kRequestBodies = {
  R"({"model":"m","stream":true,"max_tokens":5,"messages":[{"role":"user","content":"x"}]})",
  R"({"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"x"}]}],"tools":[{}]})",
};

constexpr std::array<std::string_view, 4> kStoredRecords = {
  R"({"service":"s","address":"127.0.0.1:9","zone":"a","version":"v1","slots":8,"state":"ready",
"cold-remaining-ms":5,"sequence":7,"born":1764900000000,"more":[{"a":[1.5,null]}]})",
  R"({"name":"i","incarnation":"r","zone":"a","address":"127.0.0.1:1","peer_address":"127.0.0.1:2",
"leaving":false})",
  R"({"blocked":true,"first_interruption_ago_ms":5,"block_time_left_ms":6,"trials":1})",
  R"({"service":["v1","v2"]})",
};

constexpr std::array<std::string_view, 1> kSettings = {
  R"({"name":"r","zone":"z","listen":"127.0.0.1:0","keyValue":{"addresses":["127.0.0.1:1"]},
"peers":[{"name":"p","address":"127.0.0.1:2"}],"serving":{"mostConnections":5}})",
};

/// A valid configuration must be unchanged after a round trip through its canonical text.
std::string RunConfiguration(std::string_view aInput)
{
  const auto parsed = ParseConfiguration(aInput, "input");
  for (const auto& it : parsed.mErrors) {
    if (it.mText.empty()) {
      return "an error has no text";
    }
  }
  if (!parsed.mErrors.empty()) {
    return {};
  }
  const auto text = SerializeConfiguration(parsed.mConfiguration);
  const auto reparsed = ParseConfiguration(text, "canonical");
  if (!reparsed.mErrors.empty()) {
    return "the canonical text is rejected: " + reparsed.mErrors.front().mText;
  }
  return SerializeConfiguration(reparsed.mConfiguration) == text
           ? ""
           : "the canonical text is not stable";
}

/// The token bounds must cover every byte that an engine could count as a token, and the body sent
/// to the engine must parse to the same request.
std::string RunRequestBody(std::string_view aInput)
{
  const auto chat = ParseChatRequest(aInput);
  if (!chat) {
    return chat.error().mText.empty() ? "an error has no text" : "";
  }
  const auto& it = chat.value();
  if (it.mOutputBound < 1 || it.mPromptBound < kMessageOverheadTokens) {
    return "a bound is too small";
  }
  const auto reparsed = ParseChatRequest(it.mEngineBody);
  const bool isSame = reparsed.has_value() && reparsed.value().mOutputBound == it.mOutputBound &&
                      reparsed.value().mModel == it.mModel;
  return isSame ? "" : "the engine's body does not parse to the caller's request";
}

std::string RunSettings(std::string_view aInput)
{
  const auto parsed = ParseSettings(aInput, "input");
  for (const auto& it : parsed.mErrors) {
    if (it.mText.empty()) {
      return "an error has no text";
    }
  }
  return {};
}

/// What an accepted entry says must be usable as it is.
std::string RunStoredRecord(std::string_view aInput)
{
  const platform::WireProtocol protocol;
  const auto endpoint = protocol.DecodeEndpoint("id", aInput);
  if (endpoint) {
    const auto& it = endpoint.value();
    const bool isInRange = it.mSlots >= 0 && it.mStartedAt >= 0 && it.mSequence >= 0 &&
                           it.mWarmUpRemaining.value_or(Millis(0)) >= Millis(0);
    if (!isInRange || it.mAddress.empty() || it.mService.empty()) {
      return "an entry is accepted that names no endpoint";
    }
  }
  const bool hasText = (endpoint || !endpoint.error().mText.empty());
  (void)ParseInstanceRecord(aInput);
  (void)ParseBlockedRequestRecord(aInput);
  (void)ParseSoftwareVersions(aInput);
  (void)protocol.DecodeConfiguration(aInput);
  return hasText ? "" : "an error has no text";
}

constexpr std::array<Target, 4> kTargets = {
  Target{ "configuration", kConfigurations, &RunConfiguration },
  Target{ "body", kRequestBodies, &RunRequestBody },
  Target{ "settings", kSettings, &RunSettings },
  Target{ "stored record", kStoredRecords, &RunStoredRecord },
};

} // namespace

std::span<const Target> Targets()
{
  return kTargets;
}

} // namespace gentianloom::fuzz
