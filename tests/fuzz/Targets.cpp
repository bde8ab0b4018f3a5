#include "Targets.h"

#include "gentianloom/configuration/ConfigurationJson.h"
#include "gentianloom/serving/ChatRequest.h"
#include "gentianloom/settings/Settings.h"

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

constexpr std::array<std::string_view, 2> kBodies = {
  R"({"model":"m","stream":true,"max_tokens":5,"messages":[{"role":"user","content":"x"}]})",
  R"({"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"x"}]}],"tools":[{}]})",
};

constexpr std::array<std::string_view, 1> kSettings = {
  R"({"name":"r","zone":"z","listen":"127.0.0.1:0","keyValue":{"addresses":["127.0.0.1:1"]},
"peers":[{"name":"p","address":"127.0.0.1:2"}],"serving":{"mostConnections":5}})",
};

/// A good file read again from its canonical text must be the same file.
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
  const auto again = ParseConfiguration(text, "canonical");
  if (!again.mErrors.empty()) {
    return "the canonical text is refused: " + again.mErrors.front().mText;
  }
  return SerializeConfiguration(again.mConfiguration) == text ? ""
                                                              : "the canonical text is not stable";
}

/// The bound must cover every byte that an engine could count as a token.
std::string RunBody(std::string_view aInput)
{
  const auto chat = ParseChatRequest(aInput);
  if (!chat) {
    return chat.error().mText.empty() ? "an error has no text" : "";
  }
  const auto& it = chat.value();
  if (it.mOutputBound < 1 || it.mPromptBound < kMessageOverheadTokens) {
    return "a bound is too small";
  }
  const auto again = ParseChatRequest(it.mEngineBody);
  const bool same = again.has_value() && again.value().mOutputBound == it.mOutputBound &&
                    again.value().mModel == it.mModel;
  return same ? "" : "the engine's body does not read as the caller's";
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

constexpr std::array<Target, 3> kTargets = {
  Target{ "configuration", kConfigurations, &RunConfiguration },
  Target{ "body", kBodies, &RunBody },
  Target{ "settings", kSettings, &RunSettings },
};

} // namespace

std::span<const Target> Targets()
{
  return kTargets;
}

} // namespace gentianloom::fuzz
