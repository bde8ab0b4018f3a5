#include "gentianloom/serving/ChatDelta.h"

#include "gentianloom/base/JsonFields.h"

namespace gentianloom {

ChatDelta ParseChatDelta(std::string_view aData)
{
  ChatDelta out;
  const auto json = nlohmann::json::parse(aData, nullptr, /*allow_exceptions=*/false);
  const auto& choices = FindList(json, "choices");
  if (choices.empty()) {
    return out;
  }
  const auto& choice = choices.front();
  if (const auto* const delta = FindField(choice, "delta")) {
    out.mText = FindText(*delta, "content").value_or("");
  }
  out.mFinishReason = FindText(choice, "finish_reason").value_or("");
  return out;
}

} // namespace gentianloom
