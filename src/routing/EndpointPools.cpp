#include "gentianloom/routing/EndpointPools.h"

#include "gentianloom/base/Ids.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace gentianloom {

namespace {

/// Fewest endpoints of a model that a router polls, if the model has as many.
constexpr std::size_t kLeastPolled = 2;

void AppendSubset(const std::vector<PoolMember>& aMembers,
                  const EndpointPools::PollOrder& aOrder,
                  std::size_t aShare,
                  std::vector<PoolMember>& aOut)
{
  const auto seed = StableHash(aOrder.mRouter);
  std::vector<std::tuple<bool, std::uint64_t, const PoolMember*>> near;
  std::vector<std::tuple<bool, std::uint64_t, const PoolMember*>> far;
  for (const auto& it : aMembers) {
    auto& list = it.mZone == aOrder.mZone ? near : far;
    list.emplace_back(aOrder.mIsOut(it.mName), StableHash(it.mName, seed), &it);
  }
  std::sort(near.begin(), near.end());
  std::sort(far.begin(), far.end());
  const auto farWanted = std::min(far.size(), aShare / 2);
  const auto nearWanted = std::min(near.size(), aShare - farWanted);
  for (std::size_t n = 0; n < nearWanted; ++n) {
    aOut.push_back(*std::get<2>(near[n]));
  }
  for (std::size_t n = 0; n < std::min(far.size(), aShare - nearWanted); ++n) {
    aOut.push_back(*std::get<2>(far[n]));
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
  mServices.clear();
  mModelEndpoints = 0;
  for (const auto& it : aConfiguration.Spec().mEndpoints) {
    if (it.mRole != EndpointRole::Prefill) {
      mByModel[it.mModel].push_back({ it.mName, it.mZone, it.mModel, it.mAdapters, it.mSlots });
      ++mModelEndpoints;
    }
  }
  std::set<std::string> names;
  for (const auto& service : aConfiguration.Spec().mServices) {
    names.insert(service.mEndpoints.begin(), service.mEndpoints.end());
  }
  for (const auto& it : names) {
    mServices.push_back({ it, "", "", {}, 0 });
  }
}

std::span<const PoolMember> EndpointPools::OfModel(const AcceptedConfiguration& aConfiguration,
                                                   const std::string& aModel)
{
  Update(aConfiguration);
  const auto it = mByModel.find(aModel);
  return it == mByModel.end() ? std::span<const PoolMember>() : it->second;
}

std::vector<PoolMember> EndpointPools::OfService(const ServiceSpec& aService)
{
  std::vector<PoolMember> out;
  for (const auto& it : aService.mEndpoints) {
    out.push_back({ it, "", "", {}, 0 });
  }
  return out;
}

std::vector<PoolMember> EndpointPools::Polled(const AcceptedConfiguration& aConfiguration,
                                              const PollOrder& aOrder)
{
  Update(aConfiguration);
  std::vector<PoolMember> out(mServices);
  const auto left = aOrder.mMost > out.size() ? aOrder.mMost - out.size() : 0;
  const bool all = mModelEndpoints <= left;
  std::size_t inUse = 0;
  for (const auto& it : mByModel) {
    inUse += all || aOrder.mModelInUse(it.first) ? 1 : 0;
  }
  const auto share = std::max(kLeastPolled, left / std::max<std::size_t>(1, inUse));
  for (const auto& [model, members] : mByModel) {
    if (all) {
      out.insert(out.end(), members.begin(), members.end());
    } else if (aOrder.mModelInUse(model)) {
      AppendSubset(members, aOrder, share, out);
    }
  }
  if (out.size() > aOrder.mMost) {
    out.resize(aOrder.mMost);
  }
  return out;
}

} // namespace gentianloom
