#ifndef GENTIANLOOM_CONFIGURATION_ACCEPTED_CONFIGURATION_H
#define GENTIANLOOM_CONFIGURATION_ACCEPTED_CONFIGURATION_H

#include "gentianloom/configuration/Chunks.h"
#include "gentianloom/configuration/Configuration.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace gentianloom {

/**
 * @brief An accepted configuration with its version and lookup tables; immutable.
 *
 * Threads share it by pointer; a newer version is a new object.
 */
class AcceptedConfiguration
{
public:
  /// @brief Builds the lookup tables. @par Complexity linear in the size of the configuration
  AcceptedConfiguration(std::int64_t aVersion,
                        std::string aDigest,
                        Configuration aConfiguration,
                        std::shared_ptr<const ChunkSet> aChunks = {});
  AcceptedConfiguration(const AcceptedConfiguration&) = delete;
  AcceptedConfiguration& operator=(const AcceptedConfiguration&) = delete;

  std::int64_t Version() const { return mVersion; }
  const std::string& Digest() const { return mDigest; }
  const Configuration& Spec() const { return mSpec; }

  /// @brief The chunks that the configuration was read from; null if it was not read from chunks.
  const std::shared_ptr<const ChunkSet>& Chunks() const { return mChunks; }

  /// @brief Finds an entry by its name, or an organisation by one of its key digests.
  /// @return the entry, or null if the configuration does not contain it
  /// @par Complexity constant on average
  const OrganisationSpec* OrganisationByKey(std::string_view aKeyDigest) const;
  const OrganisationSpec* Organisation(std::string_view aName) const;
  const BudgetSpec* Budget(std::string_view aName) const;
  const ModelSpec* Model(std::string_view aName) const;
  const ServiceSpec* Service(std::string_view aName) const;
  const EndpointSpec* Endpoint(std::string_view aName) const;

private:
  template<typename T>
  using Index = std::unordered_map<std::string_view, const T*>; ///< keys point into mSpec

  std::int64_t mVersion;
  std::string mDigest;
  Configuration mSpec;
  std::shared_ptr<const ChunkSet> mChunks;
  Index<OrganisationSpec> mOrganisationsByKey;
  Index<OrganisationSpec> mOrganisations;
  Index<BudgetSpec> mBudgets;
  Index<ModelSpec> mModels;
  Index<ServiceSpec> mServices;
  Index<EndpointSpec> mEndpoints;
};

using AcceptedConfigurationPtr = std::shared_ptr<const AcceptedConfiguration>;

/**
 * @brief Builds an accepted version from a complete set of chunks.
 * @param aPrevious an earlier version, whose unchanged chunks need no parsing; or null
 * @return the version, or ErrorCode::Internal if a chunk is missing or cannot be parsed
 */
Result<AcceptedConfigurationPtr> MakeAcceptedConfiguration(
  std::int64_t aVersion,
  ChunkSet aChunks,
  const AcceptedConfigurationPtr& aPrevious);

} // namespace gentianloom

#endif
