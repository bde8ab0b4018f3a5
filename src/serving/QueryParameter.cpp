#include "gentianloom/serving/QueryParameter.h"

#include <charconv>

namespace gentianloom {

std::optional<std::int64_t> FindQueryNumber(std::string_view aQuery, std::string_view aName)
{
  while (!aQuery.empty()) {
    const auto part = aQuery.substr(0, aQuery.find('&'));
    aQuery.remove_prefix(part.size() + (part.size() < aQuery.size() ? 1 : 0));
    const auto equals = part.find('=');
    if (equals == std::string_view::npos || part.substr(0, equals) != aName) {
      continue;
    }
    const auto text = part.substr(equals + 1);
    std::int64_t n = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    if (ec == std::errc() && end == text.data() + text.size()) {
      return n;
    }
  }
  return std::nullopt;
}

} // namespace gentianloom
