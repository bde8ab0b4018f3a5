#include "gentianloom/base/BoundedJson.h"

#include <string>

namespace gentianloom {

Result<nlohmann::json> ParseBoundedJson(std::string_view aText)
{
  using Json = nlohmann::json;
  bool isTooDeep = false;
  const auto isStored = [&](int aDepth, Json::parse_event_t, Json&) {
    isTooDeep = isTooDeep || aDepth > kMaxJsonDepth;
    return aDepth <= kMaxJsonDepth;
  };
  auto out = Json::parse(aText, isStored, /*allow_exceptions=*/false);
  if (isTooDeep || out.is_discarded()) {
    return MakeError(ErrorCode::MalformedJson,
                     Step::ApplicationCheck,
                     "key-value service",
                     isTooDeep ? "lists and objects are nested more deeply than " +
                                   std::to_string(kMaxJsonDepth) + " levels"
                               : "the text is no JSON");
  }
  return out;
}

std::int64_t ToBoundedNumber(const nlohmann::json& aValue, std::int64_t aMax)
{
  const bool isWithin =
    aValue.is_number_unsigned() && aValue.get<std::uint64_t>() <= static_cast<std::uint64_t>(aMax);
  if (!isWithin) {
    throw nlohmann::json::out_of_range::create(401, "a number is out of range", &aValue);
  }
  return aValue.get<std::int64_t>();
}

} // namespace gentianloom
