#ifndef GENTIANLOOM_BASE_JSON_FIELDS_H
#define GENTIANLOOM_BASE_JSON_FIELDS_H

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace gentianloom {

/**
 * @file
 * @brief Reads single fields of a text that another program wrote.
 *
 * A field that is missing or has another type, and a value that is no object, are no field; nothing
 * is thrown. A list of which one element is odd can so be read without it.
 */

/// @brief Returns a field of an object; nullptr if there is none.
const nlohmann::json* FindField(const nlohmann::json& aJson, const char* aName);

/// @brief Returns a list; an empty one if there is none.
const nlohmann::json& FindList(const nlohmann::json& aJson, const char* aName);

/// @brief Returns a whole number of at least 0; nothing for any other value.
std::optional<std::int64_t> FindNumber(const nlohmann::json& aJson, const char* aName);

/// @brief Returns a text; nothing for any other value.
std::optional<std::string> FindText(const nlohmann::json& aJson, const char* aName);

/// @brief Whether a field is true.
bool FindFlag(const nlohmann::json& aJson, const char* aName);

} // namespace gentianloom

#endif
