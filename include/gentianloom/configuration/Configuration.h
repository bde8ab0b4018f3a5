#ifndef GENTIANLOOM_CONFIGURATION_CONFIGURATION_H
#define GENTIANLOOM_CONFIGURATION_CONFIGURATION_H

#include <cstdint>
#include <string>
#include <vector>

namespace gentianloom {

/// A number of tokens, prompt and output counted alike; the unit of budgets and bills.
using Tokens = std::int64_t;

/// A team of operators. Each organisation belongs to one team, whose operators may change it.
struct TeamSpec
{
  std::string mName;
  bool operator==(const TeamSpec&) const = default;
};

/// An organisation whose callers all draw on one budget.
struct OrganisationSpec
{
  std::string mName;
  std::string mTeam;
  std::string mBudget; ///< name of the budget; empty: its callers may not use models
  std::vector<std::string> mKeyDigests; ///< digests of its callers' bearer keys, see KeyDigest()
  std::int64_t mWeight = 1;             ///< weight in the fair admission queue
  std::int64_t mPriority = 0;           ///< higher is served first
  bool operator==(const OrganisationSpec&) const = default;
};

/// A prepaid budget. The figure is the total of all payments, so a top-up increases it.
struct BudgetSpec
{
  std::string mName;
  Tokens mPrepaidTokens = 0;
  bool operator==(const BudgetSpec&) const = default;
};

/// A model with its adapters and limits.
struct ModelSpec
{
  std::string mName;
  std::string mVersion;
  std::vector<std::string> mAdapters;
  Tokens mMaxOutputTokens = 4096;
  std::int64_t mWeightBytes = 0; ///< size of the weights, bytes
  bool operator==(const ModelSpec&) const = default;
};

/// The phases of inference that an endpoint runs.
enum class EndpointRole : std::uint8_t
{
  Both,
  Prefill,
  Decode
};

/// A model engine and what it is to run. Its address comes from the settings or the instance list.
struct EndpointSpec
{
  std::string mName;
  std::string mZone;
  std::string mModel;
  std::vector<std::string> mAdapters;
  EndpointRole mRole = EndpointRole::Both;
  bool mChecksFencing = false; ///< whether it rejects control orders with an old fencing number
  std::int64_t mSlots = 32;    ///< number of streams that it runs concurrently
  bool operator==(const EndpointSpec&) const = default;
};

/// Whether calls of a plain service are idempotent, by method and path.
struct ServiceCallSpec
{
  std::string mMethod;
  std::string mPath;          ///< path prefix below `/services/NAME`
  bool mIsIdempotent = false; ///< whether a failed call may always be retried
  bool operator==(const ServiceCallSpec&) const = default;
};

/// A service other than a model, and its endpoints.
struct ServiceSpec
{
  std::string mName;
  std::vector<std::string> mEndpoints;
  std::vector<ServiceCallSpec> mCalls; ///< the first match applies; none: not idempotent
  bool operator==(const ServiceSpec&) const = default;
};

/// Service-level objectives.
struct ObjectivesSpec
{
  std::int64_t mFirstTokenMs = 790;   ///< latency of the first token
  std::int64_t mBetweenTokensMs = 34; ///< latency of each further token
  double mLatencyTargetShare = 0.95;  ///< minimum share of requests within both latencies
  double mDeadlineTargetShare = 0.99; ///< minimum share of requests answered within their deadline
  double mMaxWrongRefusalShare = 0.0001; ///< maximum share of requests that are refused wrongly
  bool operator==(const ObjectivesSpec&) const = default;
};

/**
 * @brief A complete configuration, as an operator writes it in one file.
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
