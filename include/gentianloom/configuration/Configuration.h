#ifndef GENTIANLOOM_CONFIGURATION_CONFIGURATION_H
#define GENTIANLOOM_CONFIGURATION_CONFIGURATION_H

#include <cstdint>
#include <string>
#include <vector>

namespace gentianloom {

/// Tokens, prompt and output alike; the unit of budgets and bills.
using Tokens = std::int64_t;

/// Who may change what: organisations belong to one team each.
struct TeamSpec
{
  std::string mName;
  bool operator==(const TeamSpec&) const = default;
};

/// A customer whose callers spend one budget.
struct OrganisationSpec
{
  std::string mName;
  std::string mTeam;
  std::string mBudget;                  ///< name of the budget; empty: may not run models
  std::vector<std::string> mKeyDigests; ///< digests of bearer keys, see KeyDigest()
  std::int64_t mWeight = 1;             ///< share in the admission queue
  std::int64_t mPriority = 0;           ///< higher is served first
  bool operator==(const OrganisationSpec&) const = default;
};

/// A prepaid budget; the figure is the total ever paid, so a top-up states a higher one.
struct BudgetSpec
{
  std::string mName;
  Tokens mPrepaidTokens = 0;
  bool operator==(const BudgetSpec&) const = default;
};

/// A model, what it may be combined with, and its limits.
struct ModelSpec
{
  std::string mName;
  std::string mVersion;
  std::vector<std::string> mAdapters;
  Tokens mMaxOutputTokens = 4096;
  std::int64_t mWeightBytes = 0; ///< size of the weights, bytes
  bool operator==(const ModelSpec&) const = default;
};

/// What an endpoint does in the serving of a model.
enum class EndpointRole : std::uint8_t
{
  Both,
  Prefill,
  Decode
};

/// A model engine and what is to run on it. Its address comes from settings or instance list.
struct EndpointSpec
{
  std::string mName;
  std::string mZone;
  std::string mModel;
  std::vector<std::string> mAdapters;
  EndpointRole mRole = EndpointRole::Both;
  bool mChecksFencing = false; ///< whether it refuses orders with an old fencing number
  std::int64_t mSlots = 32;    ///< streams it runs at once
  bool operator==(const EndpointSpec&) const = default;
};

/// How one call of a plain service may be treated.
struct ServiceCallSpec
{
  std::string mMethod;
  std::string mPath;          ///< path below `/services/NAME`, matched as a prefix
  bool mIsIdempotent = false; ///< whether it is idempotent, so that it may simply be retried
  bool operator==(const ServiceCallSpec&) const = default;
};

/// A plain service and its endpoints.
struct ServiceSpec
{
  std::string mName;
  std::vector<std::string> mEndpoints;
  std::vector<ServiceCallSpec> mCalls; ///< first match counts; no match: not repeatable
  bool operator==(const ServiceSpec&) const = default;
};

/// Service-level objectives.
struct ObjectivesSpec
{
  std::int64_t mFirstTokenMs = 790;
  std::int64_t mBetweenTokensMs = 34;
  double mLatencyTargetShare = 0.95;     ///< share of requests that must keep the two above
  double mDeadlineTargetShare = 0.99;    ///< share of requests answered within their deadline
  double mMaxWrongRefusalShare = 0.0001; ///< largest share of requests refused wrongly
  bool operator==(const ObjectivesSpec&) const = default;
};

/**
 * @brief A whole configuration as one operator's file states it.
 * @sa ParseConfiguration
 */
struct Configuration
{
  std::string mDeployment;
  std::vector<TeamSpec> mTeams;
  std::vector<OrganisationSpec> mOrganisations;
  std::vector<BudgetSpec> mBudgets;
  std::vector<ModelSpec> mModels;
  std::vector<EndpointSpec> mEndpoints;
  std::vector<ServiceSpec> mServices;
  ObjectivesSpec mObjectives;
};

} // namespace gentianloom

#endif
