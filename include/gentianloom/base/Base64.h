#ifndef GENTIANLOOM_BASE_BASE64_H
#define GENTIANLOOM_BASE_BASE64_H

#include <optional>
#include <string>
#include <string_view>

namespace gentianloom {

/// @brief Encodes bytes as base64 without line breaks. @par Complexity linear
std::string EncodeBase64(std::string_view aBytes);

/// @brief Decodes base64 with padding and without line breaks. @par Complexity linear
/// @return the bytes, or nothing if the text is anything else
std::optional<std::string> DecodeBase64(std::string_view aText);

} // namespace gentianloom

#endif
