#ifndef GENTIANLOOM_BASE_JSON_TEXT_H
#define GENTIANLOOM_BASE_JSON_TEXT_H

#include <nlohmann/json.hpp>

#include <string_view>

namespace gentianloom {

/**
 * @brief Parses JSON whose texts may hold what is no Unicode: invalid UTF-8, or half of a surrogate
 * pair as an escape.
 *
 * Each such piece counts as U+FFFD, the replacement character, so that one odd text does not make
 * the others unreadable.
 * @return the value; a discarded one if the text is no JSON
 */
nlohmann::json ParseLenientJson(std::string_view aText);

} // namespace gentianloom

#endif
