#include "gentianloom/routing/EndpointPools.h"

#include "gentianloom/base/Ids.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace gentianloom {

namespace {

/// Minimum number of endpoints that a router polls for a model, if the model has as many.
constexpr std::size_t kMinPolledPerModel = 2;

/// Appends the endpoints of one model that a router polls: aCount of them, or all if there are
/// fewer.
void AppendSubset(const std::vector<PoolMember>& aMembers,
                  const EndpointPools::PollCriteria& aCriteria,
                  std::size_t aCount,
                  std::vector<PoolMember>& aOut)
{
  const auto seed = StableHash(aCriteria.mRouter);
  std::vector<std::tuple<bool, std::uint64_t, const PoolMember*>> local;
  std::vector<std::tuple<bool, std::uint64_t, const PoolMember*>> remote;
  for (const auto& it : aMembers) {
    auto& list = it.mZone == aCriteria.mZone ? local : remote;
    list.emplace_back(aCriteria.mIsUnavailable(it.mName), StableHash(it.mName, seed), &it);
  }
  std::sort(local.begin(), local.end());
  std::sort(remote.begin(), remote.end());
  const auto remoteCount = std::min(remote.size(), aCount / 2);
  const auto localCount = std::min(local.size(), aCount - remoteCount);
  for (std::size_t n = 0; n < localCount; ++n) {
    aOut.push_back(*std::get<2>(local[n]));
  }
  for (std::size_t n = 0; n < std::min(remote.size(), aCount - localCount); ++n) {
    aOut.push_back(*std::get<2>(remote[n]));
  }
}

} // namespace

void EndpointPools::Update(const AcceptedConfiguration& aConfiguration)
{
  if (aConfiguration.Version() == mVersion && aConfiguration.Digest() == mDigest) {
    return;
  }
  mVersion = aConfiguration.Version();
  mDigest = aConfiguration.Digest();
  mByModel.clear();
  mServiceEndpoints.clear();
  mModelEndpointCount = 0;
  for (const auto& it : aConfiguration.Spec().mEndpoints) {
    if (it.mRole != EndpointRole::Prefill) {
      mByModel[it.mModel].push_back({ it.mName, it.mZone, it.mModel, it.mAdapters, it.mSlots });
      ++mModelEndpointCount;
    }
  }
  std::set<std::string> names;
  for (const auto& service : aConfiguration.Spec().mServices) {
    names.insert(service.mEndpoints.begin(), service.mEndpoints.end());
  }
  for (const auto& it : names) {
    mServiceEndpoints.push_back({ it, "", "", {}, 0 });
  }
}

std::span<const PoolMember> EndpointPools::ModelPool(const AcceptedConfiguration& aConfiguration,
                                                     const std::string& aModel)
{
  Update(aConfiguration);
  const auto it = mByModel.find(aModel);
  return it == mByModel.end() ? std::span<const PoolMember>() : it->second;
}

std::vector<PoolMember> EndpointPools::ServicePool(const ServiceSpec& aService)
{
  std::vector<PoolMember> out;
  for (const auto& it : aService.mEndpoints) {
    out.push_back({ it, "", "", {}, 0 });
  }
  return out;
}

std::vector<PoolMember> EndpointPools::ChoosePolled(const AcceptedConfiguration& aConfiguration,
                                                    const PollCriteria& aCriteria)
{
  Update(aConfiguration);
  std::vector<PoolMember> out(mServiceEndpoints);
  const auto remaining =
    aCriteria.mMaxTargets > out.size() ? aCriteria.mMaxTargets - out.size() : 0;
  const bool pollsAll = mModelEndpointCount <= remaining;
  std::size_t inUse = 0;
  for (const auto& it : mByModel) {
    inUse += pollsAll || aCriteria.mIsModelInUse(it.first) ? 1 : 0;
  }
  const auto countPerModel =
    std::max(kMinPolledPerModel, remaining / std::max<std::size_t>(1, inUse));
  for (const auto& [model, members] : mByModel) {
    if (pollsAll) {
      out.insert(out.end(), members.begin(), members.end());
    } else if (aCriteria.mIsModelInUse(model)) {
      AppendSubset(members, aCriteria, countPerModel, out);
    }
  }
  if (out.size() > aCriteria.mMaxTargets) {
    out.resize(aCriteria.mMaxTargets);
  }
  return out;
}

} // namespace gentianloom
