#ifndef GENTIANLOOM_BASE_LOG_H
#define GENTIANLOOM_BASE_LOG_H

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace gentianloom {

/// Severity of a log line.
enum class LogLevel
{
  Info,
  Warning,
  Error
};

/// Key and value of a field of a log line.
using LogField = std::pair<std::string_view, std::string>;

/**
 * @brief Starts structured logging to standard output, one JSON object per line.
 *
 * Logging never blocks: lines that cannot be written at once are dropped and counted.
 *
 * @param aInstance name of this instance, included in each line
 */
void StartLog(std::string_view aInstance);

/**
 * @brief Writes one log line about a state change.
 *
 * Callers log each decision that affects a request or changes the state of the process, together
 * with the inputs of the decision. Fields with an empty value are omitted.
 *
 * @param aLevel severity
 * @param aComponent area of the code, for example `budget`
 * @param aText what changed
 * @param aFields keys and values of further fields
 */
void LogChange(LogLevel aLevel,
               std::string_view aComponent,
               std::string_view aText,
               std::initializer_list<LogField> aFields = {});

} // namespace gentianloom

#endif
