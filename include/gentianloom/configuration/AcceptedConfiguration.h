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
 * @brief An accepted configuration with its version and look-up tables; immutable.
 *
 * Shared by pointer between duties; a newer version is a new object.
 */
class AcceptedConfiguration
{
public:
  /// @brief Builds the look-up tables. @par Complexity linear in the configuration
  AcceptedConfiguration(std::int64_t aVersion,
                        std::string aDigest,
                        Configuration aConfiguration,
                        std::shared_ptr<const ChunkSet> aChunks = {});
  AcceptedConfiguration(const AcceptedConfiguration&) = delete;
  AcceptedConfiguration& operator=(const AcceptedConfiguration&) = delete;

  std::int64_t Version() const { return mVersion; }
  const std::string& Digest() const { return mDigest; }
  const Configuration& Spec() const { return mSpec; }

  /// @brief The chunks that it was read from; null if it was built otherwise.
  const std::shared_ptr<const ChunkSet>& Chunks() const { return mChunks; }

  /// @brief Finds by name or key digest; null if not stated. @par Complexity constant
  const OrganisationSpec* OrganisationByKey(std::string_view aKeyDigest) const;
  const OrganisationSpec* Organisation(std::string_view aName) const;
  const BudgetSpec* Budget(std::string_view aName) const;
  const ModelSpec* Model(std::string_view aName) const;
  const ServiceSpec* Service(std::string_view aName) const;
  const EndpointSpec* Endpoint(std::string_view aName) const;

private:
  template<typename T>
  using Index = std::unordered_map<std::string_view, const T*>; ///< keys lie in mSpec

  std::int64_t mVersion;
  std::string mDigest;
  Configuration mSpec;
  std::shared_ptr<const ChunkSet> mChunks;
  Index<OrganisationSpec> mByKey;
  Index<OrganisationSpec> mOrganisations;
  Index<BudgetSpec> mBudgets;
  Index<ModelSpec> mModels;
  Index<ServiceSpec> mServices;
  Index<EndpointSpec> mEndpoints;
};

using AcceptedConfigurationPtr = std::shared_ptr<const AcceptedConfiguration>;

/**
 * @brief Reads a complete set of chunks as an accepted version.
 * @param aHave an earlier version, so that unchanged chunks need no parsing; or null
 * @return the version, or ErrorCode::Internal if a chunk is lacking or not readable
 */
Result<AcceptedConfigurationPtr> MakeAcceptedConfiguration(std::int64_t aVersion,
                                                           ChunkSet aChunks,
                                                           const AcceptedConfigurationPtr& aHave);

} // namespace gentianloom

#endif
