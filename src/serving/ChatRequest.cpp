#include "gentianloom/serving/ChatRequest.h"

#include "gentianloom/base/JsonReader.h"

namespace gentianloom {

namespace {

constexpr Tokens kMaxOutputTokens = 1'000'000;

Error MakeBodyError(ErrorCode aCode, std::string aText)
{
  return MakeError(aCode, Step::RequestAccept, "caller", std::move(aText));
}

Result<Tokens> ReadOutputBound(const Json& aBody)
{
  for (const char* key : { "max_completion_tokens", "max_tokens" }) {
    const auto it = aBody.find(key);
    if (it == aBody.end() || it->is_null()) {
      continue;
    }
    if (!it->is_number_integer() || it->get<std::int64_t>() < 1 ||
        it->get<std::int64_t>() > kMaxOutputTokens) {
      return MakeBodyError(ErrorCode::OutOfRange,
                           "body#/" + std::string(key) + ": must be an integer from 1 to " +
                             std::to_string(kMaxOutputTokens));
    }
    return it->get<Tokens>();
  }
  return kDefaultOutputTokens;
}

Result<Tokens> ReadPromptBound(const Json& aBody)
{
  const auto messages = aBody.find("messages");
  if (messages == aBody.end() || !messages->is_array() || messages->empty()) {
    return MakeBodyError(ErrorCode::MissingKey,
                         "body#/messages: must be a non-empty array of messages");
  }
  Tokens n = 0;
  std::size_t index = 0;
  for (const auto& it : *messages) {
    const auto pointer = "body#/messages/" + std::to_string(index++);
    if (!it.is_object() || !it.contains("role") || !it["role"].is_string()) {
      return MakeBodyError(ErrorCode::WrongType,
                           pointer + "/role: must be a string, for example \"user\"");
    }
    const auto content = it.find("content");
    if (content == it.end()) {
      return MakeBodyError(ErrorCode::MissingKey,
                           pointer + "/content: is missing; set it to the text of the message");
    }
    n += kMessageOverheadTokens;
    n += static_cast<Tokens>(content->is_string() ? content->get_ref<const std::string&>().size()
                                                  : content->dump().size());
  }
  // Engines put other structured fields, such as tools and schemas, into the prompt as well.
  for (const auto& [key, value] : aBody.items()) {
    if (key != "messages" && value.is_structured()) {
      n += static_cast<Tokens>(value.dump().size());
    }
  }
  return n;
}

} // namespace

Result<ChatRequest> ParseChatRequest(std::string_view aBody)
{
  BOOST_OUTCOME_TRY(json, ParseJson(aBody, "body", Step::RequestAccept));
  if (!json.is_object()) {
    return MakeBodyError(ErrorCode::MalformedJson, "body: must be a JSON object");
  }
  ChatRequest out;
  const auto model = json.find("model");
  if (model == json.end() || !model->is_string()) {
    return MakeBodyError(ErrorCode::MissingKey,
                         "body#/model: must be the name of a model; see GET /v1/models");
  }
  out.mModel = model->get<std::string>();
  const auto stream = json.find("stream");
  if (stream != json.end() && !stream->is_boolean()) {
    return MakeBodyError(ErrorCode::WrongType, "body#/stream: must be true or false");
  }
  out.mIsStreaming = stream != json.end() && stream->get<bool>();
  BOOST_OUTCOME_TRY(outputBound, ReadOutputBound(json));
  BOOST_OUTCOME_TRY(promptBound, ReadPromptBound(json));
  out.mOutputBound = outputBound;
  out.mPromptBound = promptBound;
  json.erase("max_completion_tokens");
  json["max_tokens"] = out.mOutputBound;
  json["stream"] = true;
  json["stream_options"] = { { "include_usage", true }, { "continuous_usage_stats", true } };
  out.mEngineBody = json.dump(-1, ' ', false, Json::error_handler_t::replace);
  return out;
}

} // namespace gentianloom
