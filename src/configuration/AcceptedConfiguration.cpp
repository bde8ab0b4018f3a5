#include "gentianloom/configuration/AcceptedConfiguration.h"

namespace gentianloom {

namespace {

template<typename T>
void BuildIndex(std::unordered_map<std::string_view, const T*>& aIndex, const std::vector<T>& aList)
{
  aIndex.reserve(aList.size());
  for (const auto& it : aList) {
    aIndex.emplace(it.mName, &it);
  }
}

template<typename T>
const T* Find(const std::unordered_map<std::string_view, const T*>& aIndex, std::string_view aName)
{
  const auto it = aIndex.find(aName);
  return it == aIndex.end() ? nullptr : it->second;
}

} // namespace

AcceptedConfiguration::AcceptedConfiguration(std::int64_t aVersion,
                                             std::string aDigest,
                                             Configuration aConfiguration,
                                             std::shared_ptr<const ChunkSet> aChunks)
  : mVersion(aVersion)
  , mDigest(std::move(aDigest))
  , mSpec(std::move(aConfiguration))
  , mChunks(std::move(aChunks))
{
  BuildIndex(mOrganisations, mSpec.mOrganisations);
  BuildIndex(mBudgets, mSpec.mBudgets);
  BuildIndex(mModels, mSpec.mModels);
  BuildIndex(mServices, mSpec.mServices);
  BuildIndex(mEndpoints, mSpec.mEndpoints);
  mOrganisationsByKey.reserve(mSpec.mOrganisations.size());
  for (const auto& organisation : mSpec.mOrganisations) {
    for (const auto& it : organisation.mKeyDigests) {
      mOrganisationsByKey.emplace(it, &organisation);
    }
  }
}

const OrganisationSpec* AcceptedConfiguration::OrganisationByKey(std::string_view aKeyDigest) const
{
  return Find(mOrganisationsByKey, aKeyDigest);
}

const OrganisationSpec* AcceptedConfiguration::Organisation(std::string_view aName) const
{
  return Find(mOrganisations, aName);
}

const BudgetSpec* AcceptedConfiguration::Budget(std::string_view aName) const
{
  return Find(mBudgets, aName);
}

const ModelSpec* AcceptedConfiguration::Model(std::string_view aName) const
{
  return Find(mModels, aName);
}

const ServiceSpec* AcceptedConfiguration::Service(std::string_view aName) const
{
  return Find(mServices, aName);
}

const EndpointSpec* AcceptedConfiguration::Endpoint(std::string_view aName) const
{
  return Find(mEndpoints, aName);
}

Result<AcceptedConfigurationPtr> MakeAcceptedConfiguration(
  std::int64_t aVersion,
  ChunkSet aChunks,
  const AcceptedConfigurationPtr& aPrevious)
{
  auto chunks = std::make_shared<const ChunkSet>(std::move(aChunks));
  std::optional<ChunkedConfiguration> previous;
  if (aPrevious && aPrevious->Chunks()) {
    previous.emplace(ChunkedConfiguration{ aPrevious->Spec(), *aPrevious->Chunks() });
  }
  BOOST_OUTCOME_TRY(spec, AssembleConfiguration(*chunks, previous ? &*previous : nullptr));
  return AcceptedConfigurationPtr(std::make_shared<AcceptedConfiguration>(
    aVersion, chunks->mDigest, std::move(spec), std::move(chunks)));
}

} // namespace gentianloom
