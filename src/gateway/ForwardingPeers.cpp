#include "gentianloom/gateway/ForwardingPeers.h"

#include "gentianloom/base/Jitter.h"

#include <algorithm>

namespace gentianloom {

EndpointRegistry::Ptr ForwardingPeers::Choose(const std::string& aService,
                                              std::span<const std::string> aTried,
                                              const AllowedZones& aZones)
{
  const auto& service = mServices[aService];
  if (service.mDeclined >= kMaxDeclined && mClock.Now() - service.mLastDeclinedAt < kPause) {
    return nullptr;
  }
  if (aTried.empty() && Allows(aZones, mZone)) {
    auto out = ChooseAmong(aService, mAddresses(mZone), aTried);
    if (out) {
      return out;
    }
  }
  return ChooseAmong(aService, AddressesIn(aZones), aTried);
}

std::vector<std::string> ForwardingPeers::AddressesIn(const AllowedZones& aZones) const
{
  if (!aZones) {
    return mAddresses({});
  }
  std::vector<std::string> out;
  for (const auto& it : *aZones) {
    const auto addresses = mAddresses(it);
    out.insert(out.end(), addresses.begin(), addresses.end());
  }
  return out;
}

EndpointRegistry::Ptr ForwardingPeers::ChooseAmong(const std::string& aService,
                                                   std::vector<std::string> aAddresses,
                                                   std::span<const std::string> aTried)
{
  const auto& peers = mServices[aService].mPeers;
  const auto now = mClock.Now();
  std::erase_if(aAddresses, [&](const auto& it) {
    const auto known = peers.find(it);
    const bool isPassedOver = known != peers.end() && known->second->mLoad.IsSuspended(now);
    return isPassedOver || std::find(aTried.begin(), aTried.end(), it) != aTried.end();
  });
  if (aAddresses.empty()) {
    return nullptr;
  }
  const auto draw = [&] {
    const auto n = static_cast<std::size_t>(Jitter() * static_cast<double>(aAddresses.size()));
    return RecordOf(aService, aAddresses[n]);
  };
  // Of two, so that a slow instance gets less without a comparison of all.
  auto out = draw();
  auto other = draw();
  return other->mLoad.InFlight() < out->mLoad.InFlight() ? other : out;
}

EndpointRegistry::Ptr ForwardingPeers::RecordOf(const std::string& aService,
                                                const std::string& aAddress)
{
  auto& out = mServices[aService].mPeers[aAddress];
  if (!out) {
    out = std::make_shared<Endpoint>();
    out->mIsPeerInstance = true;
    out->mEntry.mId = aAddress;
    out->mEntry.mAddress = aAddress;
    out->mEntry.mService = aService;
  }
  return out;
}

void ForwardingPeers::OnDeclined(const EndpointRegistry::Ptr& aPeer)
{
  const auto now = mClock.Now();
  aPeer->mLoad.OnUnreachable(now);
  auto& service = mServices[aPeer->mEntry.mService];
  ++service.mDeclined;
  service.mLastDeclinedAt = now;
}

void ForwardingPeers::OnAnswered(const EndpointRegistry::Ptr& aPeer)
{
  mServices[aPeer->mEntry.mService].mDeclined = 0;
}

} // namespace gentianloom
