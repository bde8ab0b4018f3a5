#include "gentianloom/base/Address.h"

#include <charconv>

namespace gentianloom {

Result<std::pair<std::string, std::uint16_t>> ParseAddress(std::string_view aAddress)
{
  const auto colon = aAddress.rfind(':');
  std::uint16_t port = 0;
  bool isValid = colon != std::string_view::npos && colon > 0;
  if (isValid) {
    const auto text = aAddress.substr(colon + 1);
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), port);
    isValid = ec == std::errc() && end == text.data() + text.size();
  }
  if (!isValid) {
    return MakeError(ErrorCode::BadSettings,
                     Step::Settings,
                     aAddress,
                     "address \"" + std::string(aAddress) + "\" must be written as IP:PORT");
  }
  return std::pair(std::string(aAddress.substr(0, colon)), port);
}

} // namespace gentianloom
