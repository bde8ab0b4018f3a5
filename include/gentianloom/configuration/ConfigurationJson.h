#ifndef GENTIANLOOM_CONFIGURATION_CONFIGURATION_JSON_H
#define GENTIANLOOM_CONFIGURATION_CONFIGURATION_JSON_H

#include "gentianloom/base/Error.h"
#include "gentianloom/configuration/Configuration.h"

#include <string>
#include <string_view>
#include <vector>

namespace gentianloom {

/// A parsed configuration, and all errors of the file.
struct ParsedConfiguration
{
  Configuration mConfiguration;
  std::vector<Error> mErrors; ///< empty if the file is valid
};

/**
 * @brief Parses and validates a complete configuration file.
 *
 * Checks types, ranges, unknown keys (suggesting the nearest known key), duplicate names and
 * references to names that the file does not define.
 *
 * @param aText JSON with comments
 * @param aSource file name, for error messages
 * @return the configuration and its errors; valid only if there are no errors
 * @par Complexity n log n in the size of the file
 */
ParsedConfiguration ParseConfiguration(std::string_view aText, std::string_view aSource);

/**
 * @brief Parses one chunk of a configuration that was validated before it was accepted.
 *
 * Checks each entry, but neither references nor duplicate names, since a chunk does not contain the
 * other entries.
 *
 * @param aText JSON
 * @param aSource digest of the chunk, for error messages
 * @return the entries of the chunk and its errors
 */
ParsedConfiguration ParseChunk(std::string_view aText, std::string_view aSource);

/**
 * @brief Serializes a configuration in its canonical form: equal configurations give equal texts.
 * @return JSON without comments
 */
std::string SerializeConfiguration(const Configuration& aConfiguration);

/// @brief Serializes one entry in its canonical form.
std::string SerializeEntry(const OrganisationSpec& aSpec);
std::string SerializeEntry(const BudgetSpec& aSpec);
std::string SerializeEntry(const EndpointSpec& aSpec);
std::string SerializeEntry(const TeamSpec& aSpec);
std::string SerializeEntry(const ModelSpec& aSpec);
std::string SerializeEntry(const ServiceSpec& aSpec);
std::string SerializeEntry(const ObjectivesSpec& aSpec);

} // namespace gentianloom

#endif
