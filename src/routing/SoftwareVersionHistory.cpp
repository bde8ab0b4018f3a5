#include "gentianloom/routing/SoftwareVersionHistory.h"

namespace gentianloom {

void SoftwareVersionHistory::Observe(std::string_view aService,
                                     std::string_view aVersion,
                                     TimePoint aNow)
{
  mObservedAt[std::string(aService)][std::string(aVersion)] = aNow;
}

void SoftwareVersionHistory::ObserveUnknown(std::string_view aService,
                                            std::string_view aVersion,
                                            TimePoint aNow)
{
  mObservedAt[std::string(aService)].try_emplace(std::string(aVersion), aNow);
}

std::optional<std::string> SoftwareVersionHistory::SoleVersion(std::string_view aService,
                                                               TimePoint aNow) const
{
  if (aNow < mCompleteFrom || aNow - mConfirmedUntil > kMaxConfirmationAge) {
    return std::nullopt;
  }
  const auto observed = ObservedWithin(kMaxStreamAge, aNow);
  const auto it = observed.find(aService);
  if (it == observed.end() || it->second.size() != 1) {
    return std::nullopt;
  }
  return *it->second.begin();
}

bool SoftwareVersionHistory::IsRecorded(std::string_view aService, std::string_view aVersion) const
{
  const auto it = mRecorded.find(aService);
  return it != mRecorded.end() && it->second.contains(std::string(aVersion));
}

SoftwareVersions SoftwareVersionHistory::ObservedWithin(Millis aTime, TimePoint aNow) const
{
  SoftwareVersions out;
  for (const auto& [service, versions] : mObservedAt) {
    for (const auto& [version, at] : versions) {
      if (aNow - at <= aTime) {
        out[service].insert(version);
      }
    }
  }
  return out;
}

} // namespace gentianloom
