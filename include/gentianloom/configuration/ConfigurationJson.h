#ifndef GENTIANLOOM_CONFIGURATION_CONFIGURATION_JSON_H
#define GENTIANLOOM_CONFIGURATION_CONFIGURATION_JSON_H

#include "gentianloom/base/Error.h"
#include "gentianloom/configuration/Configuration.h"

#include <string>
#include <string_view>
#include <vector>

namespace gentianloom {

/// A parsed configuration, or everything that is wrong with the file.
struct ParsedConfiguration
{
  Configuration mConfiguration;
  std::vector<Error> mErrors; ///< empty if the file is good
};

/**
 * @brief Reads and checks a configuration file whole.
 *
 * Checks types, ranges, unknown keys (naming the nearest known key), names stated twice and
 * references to names that the file does not state.
 *
 * @param aText JSON with comments
 * @param aSource file name, named in errors
 * @return the configuration and its errors; use it only if there are none
 * @par Complexity n log n in the size of the file
 */
ParsedConfiguration ParseConfiguration(std::string_view aText, std::string_view aSource);

/**
 * @brief Reads a part of a configuration that was checked whole before it was accepted.
 *
 * Checks each entry, but neither references nor names stated twice.
 */
ParsedConfiguration ParseChunk(std::string_view aText, std::string_view aSource);

/**
 * @brief Writes a configuration in its canonical form: equal configurations give equal texts.
 * @return JSON without comments
 */
std::string SerializeConfiguration(const Configuration& aConfiguration);

/// @brief Writes one entry in its canonical form.
std::string SerializeEntry(const OrganisationSpec& aSpec);
std::string SerializeEntry(const BudgetSpec& aSpec);
std::string SerializeEntry(const EndpointSpec& aSpec);
std::string SerializeEntry(const TeamSpec& aSpec);
std::string SerializeEntry(const ModelSpec& aSpec);
std::string SerializeEntry(const ServiceSpec& aSpec);
std::string SerializeEntry(const ObjectivesSpec& aSpec);

} // namespace gentianloom

#endif
