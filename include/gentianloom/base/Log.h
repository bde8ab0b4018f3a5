#ifndef GENTIANLOOM_BASE_LOG_H
#define GENTIANLOOM_BASE_LOG_H

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace gentianloom {

/// Importance of a log line.
enum class LogLevel
{
  Info,
  Warning,
  Error
};

/// One named value of a log line.
using LogField = std::pair<std::string_view, std::string>;

/**
 * @brief Sets up structured logging to standard output, one JSON object a line; never blocks.
 * @param aInstance name of this process, part of each line
 */
void StartLog(std::string_view aInstance);

/**
 * @brief Writes one line about a change of state.
 *
 * A line is written for each decision that touches a request or changes what the process believes,
 * with the inputs that decided it. Empty values are left out.
 *
 * @param aLevel importance
 * @param aComponent area of the code, for example `budget`
 * @param aText what changed, in plain words
 * @param aFields names and values
 */
void LogChange(LogLevel aLevel,
               std::string_view aComponent,
               std::string_view aText,
               std::initializer_list<LogField> aFields = {});

} // namespace gentianloom

#endif
