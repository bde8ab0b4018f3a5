#include "gentianloom/base/JsonReader.h"
#include "gentianloom/configuration/ConfigurationJson.h"

#include <algorithm>

namespace gentianloom {

namespace {

std::string_view FormatRole(EndpointRole aRole)
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

Json OrganisationToJson(const OrganisationSpec& aSpec)
{
  return { { "name", aSpec.mName },     { "team", aSpec.mTeam },
           { "budget", aSpec.mBudget }, { "keyDigests", aSpec.mKeyDigests },
           { "weight", aSpec.mWeight }, { "priority", aSpec.mPriority } };
}

Json ServiceToJson(const ServiceSpec& aSpec)
{
  Json calls = Json::array();
  for (const auto& it : aSpec.mCalls) {
    calls.push_back(
      { { "method", it.mMethod }, { "path", it.mPath }, { "repeatable", it.mIsIdempotent } });
  }
  return { { "name", aSpec.mName }, { "endpoints", aSpec.mEndpoints }, { "calls", calls } };
}

Json EndpointToJson(const EndpointSpec& aSpec)
{
  return { { "name", aSpec.mName },
           { "zone", aSpec.mZone },
           { "model", aSpec.mModel },
           { "adapters", aSpec.mAdapters },
           { "role", FormatRole(aSpec.mRole) },
           { "checksFencing", aSpec.mChecksFencing },
           { "slots", aSpec.mSlots } };
}

template<typename T, typename F>
Json ListToJson(std::vector<T> aList, F aWrite)
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

Json TeamToJson(const TeamSpec& aSpec)
{
  return { { "name", aSpec.mName } };
}

Json BudgetToJson(const BudgetSpec& aSpec)
{
  return { { "name", aSpec.mName }, { "prepaidTokens", aSpec.mPrepaidTokens } };
}

Json ModelToJson(const ModelSpec& aSpec)
{
  return { { "name", aSpec.mName },
           { "version", aSpec.mVersion },
           { "adapters", aSpec.mAdapters },
           { "mostOutputTokens", aSpec.mMaxOutputTokens },
           { "weightBytes", aSpec.mWeightBytes } };
}

Json ObjectivesToJson(const ObjectivesSpec& aSpec)
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
                     { "teams", ListToJson(aConfiguration.mTeams, TeamToJson) },
                     { "organisations",
                       ListToJson(aConfiguration.mOrganisations, OrganisationToJson) },
                     { "budgets", ListToJson(aConfiguration.mBudgets, BudgetToJson) },
                     { "models", ListToJson(aConfiguration.mModels, ModelToJson) },
                     { "endpoints", ListToJson(aConfiguration.mEndpoints, EndpointToJson) },
                     { "services", ListToJson(aConfiguration.mServices, ServiceToJson) },
                     { "objectives", ObjectivesToJson(aConfiguration.mObjectives) } };
  return out.dump();
}

std::string SerializeEntry(const OrganisationSpec& aSpec)
{
  return OrganisationToJson(aSpec).dump();
}

std::string SerializeEntry(const BudgetSpec& aSpec)
{
  return BudgetToJson(aSpec).dump();
}

std::string SerializeEntry(const EndpointSpec& aSpec)
{
  return EndpointToJson(aSpec).dump();
}

std::string SerializeEntry(const TeamSpec& aSpec)
{
  return TeamToJson(aSpec).dump();
}

std::string SerializeEntry(const ModelSpec& aSpec)
{
  return ModelToJson(aSpec).dump();
}

std::string SerializeEntry(const ServiceSpec& aSpec)
{
  return ServiceToJson(aSpec).dump();
}

std::string SerializeEntry(const ObjectivesSpec& aSpec)
{
  return ObjectivesToJson(aSpec).dump();
}

} // namespace gentianloom
