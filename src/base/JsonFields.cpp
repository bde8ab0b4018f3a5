#include "gentianloom/base/JsonFields.h"

#include <limits>

namespace gentianloom {

const nlohmann::json* FindField(const nlohmann::json& aJson, const char* aName)
{
  const auto it = aJson.find(aName); // the end for anything but an object
  return it == aJson.end() ? nullptr : &*it;
}

const nlohmann::json& FindList(const nlohmann::json& aJson, const char* aName)
{
  static const auto sEmpty = nlohmann::json::array();
  const auto* it = FindField(aJson, aName);
  return it != nullptr && it->is_array() ? *it : sEmpty;
}

std::optional<std::int64_t> FindNumber(const nlohmann::json& aJson, const char* aName)
{
  constexpr std::uint64_t kMax = std::numeric_limits<std::int64_t>::max();
  const auto* it = FindField(aJson, aName);
  if (it == nullptr || !it->is_number_unsigned()) {
    return std::nullopt;
  }
  const auto n = it->get<std::uint64_t>();
  return n <= kMax ? std::optional(static_cast<std::int64_t>(n)) : std::nullopt;
}

std::optional<std::string> FindText(const nlohmann::json& aJson, const char* aName)
{
  const auto* it = FindField(aJson, aName);
  return it != nullptr && it->is_string() ? std::optional(it->get<std::string>()) : std::nullopt;
}

bool FindFlag(const nlohmann::json& aJson, const char* aName)
{
  const auto* it = FindField(aJson, aName);
  return it != nullptr && it->is_boolean() && it->get<bool>();
}

} // namespace gentianloom
