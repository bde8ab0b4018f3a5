#include "gentianloom/routing/RouteTable.h"

#include <algorithm>

namespace gentianloom {

RouteTable::Ptr RouteTable::Create(RoutingConfiguration aConfiguration)
{
  return Ptr(new RouteTable(std::move(aConfiguration)));
}

RouteTable::RouteTable(RoutingConfiguration aConfiguration)
  : mConfiguration(std::move(aConfiguration))
{
  for (const auto& it : mConfiguration.mRoutes) {
    mByHost[it.mHost].try_emplace(it.mPrefix, &it);
  }
}

const Route* RouteTable::Find(std::string_view aHost, std::string_view aPath) const
{
  const auto host = mByHost.find(aHost);
  if (host == mByHost.end()) {
    return nullptr;
  }
  // Route prefixes end with a slash, so only prefixes of the path that end with a slash can match.
  // The longest is tried first.
  for (auto end = aPath.rfind('/'); end != std::string_view::npos;) {
    const auto it = host->second.find(aPath.substr(0, end + 1));
    if (it != host->second.end()) {
      return it->second;
    }
    end = end == 0 ? std::string_view::npos : aPath.rfind('/', end - 1);
  }
  return nullptr;
}

AllowedRegions RouteTable::RegionsOf(std::string_view aHost) const
{
  AllowedRegions out;
  const auto host = mByHost.find(aHost);
  if (host == mByHost.end()) {
    return out;
  }
  for (const auto& [prefix, route] : host->second) {
    out = Intersect(out, route->mAllowedRegions);
  }
  return out;
}

const OrganisationAccount* RouteTable::AccountByKey(std::string_view aKey) const
{
  const auto it = mConfiguration.mAccountByKey.find(aKey);
  return it == mConfiguration.mAccountByKey.end() ? nullptr : &mConfiguration.mAccounts[it->second];
}

const OrganisationAccount* RouteTable::AccountByName(std::string_view aName) const
{
  const auto& all = mConfiguration.mAccounts;
  const auto it = std::find_if(all.begin(), all.end(), [&](const OrganisationAccount& aAccount) {
    return aAccount.mName == aName;
  });
  return it == all.end() ? nullptr : &*it;
}

std::vector<std::string> RouteTable::PrepaidOrganisations() const
{
  std::vector<std::string> out;
  for (const auto& it : mConfiguration.mAccounts) {
    if (it.mPrepaid) {
      out.push_back(it.mName);
    }
  }
  return out;
}

std::map<std::string, double, std::less<>> RouteTable::WarmUpLimits() const
{
  std::map<std::string, double, std::less<>> out;
  for (const auto& [name, it] : mConfiguration.mServices) {
    if (it.mWarmUpLimit) {
      out[name] = *it.mWarmUpLimit;
    }
  }
  return out;
}

const ServiceTarget* RouteTable::Service(const std::string& aName) const
{
  const auto it = mConfiguration.mServices.find(aName);
  return it == mConfiguration.mServices.end() ? nullptr : &it->second;
}

const std::string& RouteTable::ChooseService(const Route& aRoute, std::uint64_t aDraw)
{
  std::int64_t total = 0;
  for (const auto& it : aRoute.mServices) {
    total += std::max<std::int64_t>(0, it.mWeight);
  }
  if (total <= 0) {
    return aRoute.mServices.front().mService;
  }
  auto remaining = static_cast<std::int64_t>(aDraw % static_cast<std::uint64_t>(total));
  for (const auto& it : aRoute.mServices) {
    remaining -= std::max<std::int64_t>(0, it.mWeight);
    if (remaining < 0) {
      return it.mService;
    }
  }
  return aRoute.mServices.back().mService;
}

} // namespace gentianloom
