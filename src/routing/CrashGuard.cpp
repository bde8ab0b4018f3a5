#include "gentianloom/routing/CrashGuard.h"

#include "gentianloom/base/Ids.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace gentianloom {

namespace {

constexpr std::size_t kCrashesToBlock = 2;
constexpr std::size_t kMaxRecords = 10'000;
constexpr std::size_t kMaxPendingObservations = 256;
constexpr std::size_t kMaxKnownObservations = 8'192;
/// Interruptions of at least kNetworkFaultEndpoints endpoints within this time are treated as a
/// network fault.
constexpr Millis kNetworkFaultWindow{ 1'000 };
constexpr std::size_t kNetworkFaultEndpoints = 3;
constexpr std::chrono::seconds kCleanupInterval{ 10 };

} // namespace

std::string ContentFingerprint(std::string_view aOrganisation, std::string_view aBody)
{
  const auto seed = StableHash(aOrganisation);
  std::array<char, 33> buf{};
  std::snprintf(buf.data(),
                buf.size(),
                "%016llx%016llx",
                static_cast<unsigned long long>(StableHash(aBody, seed)),
                static_cast<unsigned long long>(StableHash(aBody, ~seed)));
  return buf.data();
}

CrashGuard::CrashGuard(const CrashGuardSettings& aSettings,
                       const Clock& aClock,
                       std::string aRouter)
  : mSettings(aSettings)
  , mClock(aClock)
  , mRouter(std::move(aRouter))
{
}

CrashCheckResult CrashGuard::Evaluate(const std::string& aFingerprint, TimePoint aNow) const
{
  const auto it = mRecords.find(aFingerprint);
  if (it == mRecords.end()) {
    return {};
  }
  if (aNow < it->second.mBlockedUntil) {
    const auto remaining = std::chrono::ceil<Millis>(it->second.mBlockedUntil - aNow);
    return { CrashVerdict::Blocked, remaining };
  }
  const auto isRecent = [&](const Crash& aCrash) {
    return aNow - aCrash.mAt <= mSettings.mSuspectWindow;
  };
  const bool suspect =
    it->second.mWasBlocked ||
    std::any_of(it->second.mCrashes.begin(), it->second.mCrashes.end(), isRecent);
  return { suspect ? CrashVerdict::Suspect : CrashVerdict::NotSuspected, Millis(0) };
}

CrashCheckResult CrashGuard::Check(const std::string& aFingerprint)
{
  const std::lock_guard lock(mMutex);
  const auto now = mClock.Now();
  RemoveExpired(now);
  return Evaluate(aFingerprint, now);
}

void CrashGuard::OnPlaced(const std::string& aFingerprint, const std::string& aEndpoint)
{
  const std::lock_guard lock(mMutex);
  mRunningRequests.emplace(aFingerprint, aEndpoint);
}

void CrashGuard::RemoveRunning(const std::string& aFingerprint, const std::string& aEndpoint)
{
  const auto [begin, end] = mRunningRequests.equal_range(aFingerprint);
  const auto it =
    std::find_if(begin, end, [&](const auto& aEntry) { return aEntry.second == aEndpoint; });
  if (it != end) {
    mRunningRequests.erase(it);
  }
}

void CrashGuard::OnAttempt(const Attempt& aAttempt)
{
  if (aAttempt.mFingerprint.empty()) {
    return;
  }
  bool hasNewObservation = false;
  {
    const std::lock_guard lock(mMutex);
    RemoveRunning(aAttempt.mFingerprint, aAttempt.mEndpoint);
    if (aAttempt.mOutcome == AttemptOutcome::Done) {
      mRecords.erase(aAttempt.mFingerprint);
    } else if (aAttempt.mOutcome == AttemptOutcome::Interrupted) {
      const auto before = mPendingObservations.size();
      OnInterrupted(aAttempt, mClock.Now());
      hasNewObservation = mPendingObservations.size() > before;
    }
  }
  if (hasNewObservation && mOnObservation) {
    mOnObservation();
  }
}

void CrashGuard::OnInterrupted(const Attempt& aAttempt, TimePoint aNow)
{
  std::erase_if(mRecentInterruptions,
                [&](const InterruptedAttempt& it) { return aNow - it.mAt > kNetworkFaultWindow; });
  mRecentInterruptions.push_back({ aAttempt.mEndpoint, aAttempt.mFingerprint, aNow });
  if (IsNetworkFault()) {
    RemoveCrashes(
      [&](const Crash& it) { return it.mIsLocal && aNow - it.mAt <= kNetworkFaultWindow; });
    std::erase_if(mPendingObservations, [&](const PendingObservation& it) {
      return it.mObservation.observation.starts_with(mRouter + "/") &&
             aNow - it.mObservedAt <= kNetworkFaultWindow;
    });
    return;
  }
  const auto observation = mRouter + "/" + std::to_string(++mObservationCount);
  MarkKnown(observation);
  AddCrash(aAttempt.mFingerprint,
           { aAttempt.mEndpoint, aNow, observation, mLastRunIds[aAttempt.mEndpoint], true });
  wire::CrashNews message;
  message.fingerprint = aAttempt.mFingerprint;
  message.endpoint = aAttempt.mEndpoint;
  message.observation = observation;
  message.neighbours = static_cast<std::int32_t>(
    std::count_if(mRunningRequests.begin(), mRunningRequests.end(), [&](const auto& it) {
      return it.second == aAttempt.mEndpoint;
    }));
  QueueObservation(message, aNow);
}

bool CrashGuard::IsNetworkFault() const
{
  // A crash interrupts the requests of one endpoint. If several endpoints are interrupted at the
  // same time and no request ran on two of them, the cause is the network.
  std::map<std::string, std::set<std::string>> endpointsOf;
  std::set<std::string> endpoints;
  for (const auto& it : mRecentInterruptions) {
    endpoints.insert(it.mEndpoint);
    endpointsOf[it.mFingerprint].insert(it.mEndpoint);
  }
  const bool sameRequestOnSeveral = std::any_of(
    endpointsOf.begin(), endpointsOf.end(), [](const auto& it) { return it.second.size() > 1; });
  return endpoints.size() >= kNetworkFaultEndpoints && !sameRequestOnSeveral;
}

bool CrashGuard::MarkKnown(const std::string& aObservation)
{
  if (!mKnownObservations.insert(aObservation).second) {
    return false;
  }
  mKnownOrder.push_back(aObservation);
  if (mKnownOrder.size() > kMaxKnownObservations) {
    mKnownObservations.erase(mKnownOrder.front());
    mKnownOrder.pop_front();
  }
  return true;
}

void CrashGuard::QueueObservation(const wire::CrashNews& aObservation, TimePoint aObservedAt)
{
  if (mPendingObservations.size() < kMaxPendingObservations) {
    mPendingObservations.push_back({ aObservedAt, aObservation });
  }
}

bool CrashGuard::AddCrash(const std::string& aFingerprint, Crash aCrash)
{
  if (mRecords.size() >= kMaxRecords && !mRecords.contains(aFingerprint)) {
    return false;
  }
  auto& record = mRecords[aFingerprint];
  for (const auto& it : record.mCrashes) {
    const auto timeBetween = it.mAt > aCrash.mAt ? it.mAt - aCrash.mAt : aCrash.mAt - it.mAt;
    if (it.mEndpoint == aCrash.mEndpoint && timeBetween <= mSettings.mSameCrashWindow) {
      return false;
    }
  }
  const auto at = aCrash.mAt;
  record.mCrashes.push_back(std::move(aCrash));
  if (record.mWasBlocked || record.mCrashes.size() >= kCrashesToBlock) {
    record.mWasBlocked = true;
    record.mBlockedUntil = std::max(record.mBlockedUntil, at + mSettings.mBlockTime);
  }
  return true;
}

void CrashGuard::RemoveCrashes(const std::function<bool(const Crash&)>& aPredicate)
{
  for (auto it = mRecords.begin(); it != mRecords.end();) {
    auto& record = it->second;
    if (std::erase_if(record.mCrashes, aPredicate) == 0) {
      ++it;
      continue;
    }
    if (record.mCrashes.size() < kCrashesToBlock) {
      record.mBlockedUntil = {};
      record.mWasBlocked = false;
    }
    it = record.mCrashes.empty() ? mRecords.erase(it) : std::next(it);
  }
}

void CrashGuard::OnEndpointAnswered(const std::string& aEndpoint, const std::string& aRunId)
{
  if (aRunId.empty()) {
    return;
  }
  const std::lock_guard lock(mMutex);
  mLastRunIds[aEndpoint] = aRunId;
  RemoveCrashes([&](const Crash& it) {
    return it.mIsLocal && it.mEndpoint == aEndpoint && it.mRunId == aRunId;
  });
}

std::set<std::string> CrashGuard::EndpointsRunningSuspects()
{
  const std::lock_guard lock(mMutex);
  std::set<std::string> out;
  if (mRecords.empty()) {
    return out;
  }
  const auto now = mClock.Now();
  for (const auto& [fingerprint, endpoint] : mRunningRequests) {
    if (Evaluate(fingerprint, now).mVerdict != CrashVerdict::NotSuspected) {
      out.insert(endpoint);
    }
  }
  return out;
}

std::string CrashGuard::FindRunningEndpoint(const std::string& aFingerprint)
{
  const std::lock_guard lock(mMutex);
  const auto it = mRunningRequests.find(aFingerprint);
  return it == mRunningRequests.end() ? std::string() : it->second;
}

std::vector<wire::CrashNews> CrashGuard::TakeObservations()
{
  const std::lock_guard lock(mMutex);
  const auto now = mClock.Now();
  std::vector<wire::CrashNews> out;
  out.reserve(mPendingObservations.size());
  for (auto& it : mPendingObservations) {
    it.mObservation.ageMs = std::chrono::duration_cast<Millis>(now - it.mObservedAt).count();
    out.push_back(std::move(it.mObservation));
  }
  mPendingObservations.clear();
  return out;
}

void CrashGuard::MergeObservation(const wire::CrashNews& aObservation)
{
  const std::lock_guard lock(mMutex);
  if (!MarkKnown(aObservation.observation)) {
    return;
  }
  const auto age =
    Millis(std::clamp<std::int64_t>(aObservation.ageMs, 0, mSettings.mBlockTime.count()));
  const auto at = mClock.Now() - age;
  if (AddCrash(aObservation.fingerprint,
               { aObservation.endpoint, at, aObservation.observation, "", false })) {
    QueueObservation(aObservation, at);
  }
}

void CrashGuard::RemoveExpired(TimePoint aNow)
{
  if (aNow - mLastCleanup < kCleanupInterval) {
    return;
  }
  mLastCleanup = aNow;
  for (auto it = mRecords.begin(); it != mRecords.end();) {
    auto& record = it->second;
    std::erase_if(record.mCrashes, [&](const Crash& aCrash) {
      return aNow - aCrash.mAt > mSettings.mSuspectWindow && aNow >= record.mBlockedUntil;
    });
    // After a block, one more crash blocks the request again; the record is kept for another block
    // time.
    const bool wasRecentlyBlocked =
      record.mWasBlocked && aNow - record.mBlockedUntil <= mSettings.mBlockTime;
    it = record.mCrashes.empty() && !wasRecentlyBlocked ? mRecords.erase(it) : std::next(it);
  }
}

} // namespace gentianloom
