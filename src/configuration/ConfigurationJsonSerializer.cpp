#include "gentianloom/base/JsonReader.h"
#include "gentianloom/configuration/ConfigurationJson.h"

#include <algorithm>

namespace gentianloom {

namespace {

std::string_view RoleText(EndpointRole aRole)
{
  switch (aRole) {
    case EndpointRole::Prefill:
      return "prefill";
    case EndpointRole::Decode:
      return "decode";
    case EndpointRole::Both:
      break;
  }
  return "both";
}

Json OrganisationJson(const OrganisationSpec& aSpec)
{
  return { { "name", aSpec.mName },     { "team", aSpec.mTeam },
           { "budget", aSpec.mBudget }, { "keyDigests", aSpec.mKeyDigests },
           { "weight", aSpec.mWeight }, { "priority", aSpec.mPriority } };
}

Json ServiceJson(const ServiceSpec& aSpec)
{
  Json calls = Json::array();
  for (const auto& it : aSpec.mCalls) {
    calls.push_back(
      { { "method", it.mMethod }, { "path", it.mPath }, { "repeatable", it.mIsIdempotent } });
  }
  return { { "name", aSpec.mName }, { "endpoints", aSpec.mEndpoints }, { "calls", calls } };
}

Json EndpointJson(const EndpointSpec& aSpec)
{
  return { { "name", aSpec.mName },           { "zone", aSpec.mZone },
           { "model", aSpec.mModel },         { "adapters", aSpec.mAdapters },
           { "role", RoleText(aSpec.mRole) }, { "checksFencing", aSpec.mChecksFencing },
           { "slots", aSpec.mSlots } };
}

template<typename T, typename F>
Json ListJson(std::vector<T> aList, F aWrite)
{
  std::sort(aList.begin(), aList.end(), [](const T& aLeft, const T& aRight) {
    return aLeft.mName < aRight.mName;
  });
  Json out = Json::array();
  for (const auto& it : aList) {
    out.push_back(aWrite(it));
  }
  return out;
}

Json TeamJson(const TeamSpec& aSpec)
{
  return { { "name", aSpec.mName } };
}

Json BudgetJson(const BudgetSpec& aSpec)
{
  return { { "name", aSpec.mName }, { "prepaidTokens", aSpec.mPrepaidTokens } };
}

Json ModelJson(const ModelSpec& aSpec)
{
  return { { "name", aSpec.mName },
           { "version", aSpec.mVersion },
           { "adapters", aSpec.mAdapters },
           { "mostOutputTokens", aSpec.mMaxOutputTokens },
           { "weightBytes", aSpec.mWeightBytes } };
}

Json ObjectivesJson(const ObjectivesSpec& aSpec)
{
  return { { "firstTokenMs", aSpec.mFirstTokenMs },
           { "betweenTokensMs", aSpec.mBetweenTokensMs },
           { "shareWithin", aSpec.mLatencyTargetShare },
           { "answeredInDeadline", aSpec.mDeadlineTargetShare },
           { "wrongRefusals", aSpec.mMaxWrongRefusalShare } };
}

} // namespace

std::string SerializeConfiguration(const Configuration& aConfiguration)
{
  const Json out = { { "deployment", aConfiguration.mDeployment },
                     { "teams", ListJson(aConfiguration.mTeams, TeamJson) },
                     { "organisations", ListJson(aConfiguration.mOrganisations, OrganisationJson) },
                     { "budgets", ListJson(aConfiguration.mBudgets, BudgetJson) },
                     { "models", ListJson(aConfiguration.mModels, ModelJson) },
                     { "endpoints", ListJson(aConfiguration.mEndpoints, EndpointJson) },
                     { "services", ListJson(aConfiguration.mServices, ServiceJson) },
                     { "objectives", ObjectivesJson(aConfiguration.mObjectives) } };
  return out.dump();
}

std::string SerializeEntry(const OrganisationSpec& aSpec)
{
  return OrganisationJson(aSpec).dump();
}

std::string SerializeEntry(const BudgetSpec& aSpec)
{
  return BudgetJson(aSpec).dump();
}

std::string SerializeEntry(const EndpointSpec& aSpec)
{
  return EndpointJson(aSpec).dump();
}

std::string SerializeEntry(const TeamSpec& aSpec)
{
  return TeamJson(aSpec).dump();
}

std::string SerializeEntry(const ModelSpec& aSpec)
{
  return ModelJson(aSpec).dump();
}

std::string SerializeEntry(const ServiceSpec& aSpec)
{
  return ServiceJson(aSpec).dump();
}

std::string SerializeEntry(const ObjectivesSpec& aSpec)
{
  return ObjectivesJson(aSpec).dump();
}

} // namespace gentianloom
