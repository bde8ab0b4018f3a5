#include "gentianloom/configuration/ConfigurationVersionTracker.h"

#include <algorithm>

namespace gentianloom {

std::string_view ToString(ConfigurationAlarm aAlarm)
{
  switch (aAlarm) {
    case ConfigurationAlarm::StoreBehind:
      return "store behind";
    case ConfigurationAlarm::Forked:
      return "forked";
    case ConfigurationAlarm::None:
      break;
  }
  return "none";
}

VersionCheckResult ConfigurationVersionTracker::CheckVersion(const VersionId& aId)
{
  mHighestKnown = std::max(mHighestKnown, aId.mVersion);
  if (aId.mVersion > mInForce.mVersion) {
    return VersionCheckResult::Newer;
  }
  if (aId.mVersion < mInForce.mVersion) {
    return VersionCheckResult::Older;
  }
  if (aId.mDigest != mInForce.mDigest) {
    mForkedVersion = aId.mVersion;
    return VersionCheckResult::Forked;
  }
  return VersionCheckResult::Same;
}

VersionCheckResult ConfigurationVersionTracker::OnHead(const VersionId& aHead, TimePoint aNow)
{
  mStoreVersion = aHead.mVersion;
  const auto result = CheckVersion(aHead);
  if (result != VersionCheckResult::Older) {
    mStoreBehindSince.reset();
    mIsStoreBehind = false;
    return result;
  }
  if (!mStoreBehindSince) {
    mStoreBehindSince = aNow;
  }
  mIsStoreBehind = mIsStoreBehind || aNow - *mStoreBehindSince >= kStaleReadGracePeriod;
  return result;
}

VersionCheckResult ConfigurationVersionTracker::OnPeerVersion(const VersionId& aId)
{
  return CheckVersion(aId);
}

bool ConfigurationVersionTracker::PutInForce(const VersionId& aId)
{
  if (CheckVersion(aId) != VersionCheckResult::Newer) {
    return false;
  }
  mInForce = aId;
  return true;
}

ConfigurationAlarm ConfigurationVersionTracker::Alarm() const
{
  if (mIsStoreBehind) {
    return ConfigurationAlarm::StoreBehind;
  }
  const bool isForked = mForkedVersion != 0 && mForkedVersion == mInForce.mVersion;
  return isForked ? ConfigurationAlarm::Forked : ConfigurationAlarm::None;
}

} // namespace gentianloom
