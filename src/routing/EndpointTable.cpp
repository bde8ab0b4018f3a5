#include "gentianloom/routing/EndpointTable.h"

#include <algorithm>

namespace gentianloom {

namespace {

constexpr Millis kNoEndpointRetryAfter{ 2'000 };
constexpr Millis kOverloadedRetryAfter{ 1'000 };
/// The endpoints of a model that was requested within this time are polled.
constexpr std::chrono::seconds kModelInUseWindow{ 60 };
/// Answers with fewer tokens give no reliable time per token.
constexpr std::int64_t kMinTokensForTokenTime = 8;
constexpr std::size_t kMaxPendingStateChanges = 1'024;
/// Older state changes from peers have expired, see EndpointAvailability::kMaxPeerLeavingAge.
constexpr Millis kMaxStateChangeAge{ 60'000 };

const Clock& DefaultClock()
{
  static const SystemClock clock;
  return clock;
}

double ToMs(Micros aTime)
{
  return std::chrono::duration<double, std::milli>(aTime).count();
}

Error MakePlacementError(ErrorCode aCode, std::string aText, Millis aRetryAfter)
{
  auto error = MakeError(aCode, Step::RequestPlace, "self", std::move(aText));
  error.mRetryAfter = aRetryAfter;
  return error;
}

bool ServesAdapter(const PoolMember& aMember, const std::string& aAdapter)
{
  return aAdapter.empty() ||
         std::find(aMember.mAdapters.begin(), aMember.mAdapters.end(), aAdapter) !=
           aMember.mAdapters.end();
}

} // namespace

EndpointTable::EndpointTable(const std::map<std::string, std::string>& aOverrides)
  : EndpointTable(aOverrides, RoutingSettings{}, Millis(3'000), DefaultClock(), nullptr, 1)
{
}

EndpointTable::EndpointTable(const std::map<std::string, std::string>& aOverrides,
                             const RoutingSettings& aSettings,
                             Millis aMaxAvailabilityAge,
                             const Clock& aClock,
                             CrashGuard* aGuard,
                             std::uint64_t aSeed)
  : mSettings(aSettings)
  , mMaxAvailabilityAge(aMaxAvailabilityAge)
  , mClock(aClock)
  , mGuard(aGuard)
  , mRandom(aSeed)
  , mPolicy(MakePlacementPolicy(aSettings.mPolicy, static_cast<std::size_t>(aSettings.mSampleSize)))
{
  for (const auto& [name, address] : aOverrides) {
    auto& record = mRecords[name];
    record.mName = name;
    record.mAddress = address;
    record.mAvailability.Update(
      AvailabilitySource::Exchange, AvailabilityState::Available, mClock.Now());
  }
}

void EndpointTable::Update(const ListedEndpoint& aEntry)
{
  const std::lock_guard lock(mMutex);
  const auto now = mClock.Now();
  auto& record = mRecords[aEntry.mName];
  const bool wasLeaving = record.mAvailability.IsLeavingByLocalSources();
  record.mName = aEntry.mName;
  record.mZone = aEntry.mZone;
  if (record.mAddress.empty()) {
    record.mAddress = aEntry.mAddress;
  }
  record.mAvailability.Update(AvailabilitySource::List,
                              aEntry.mIsLeaving ? AvailabilityState::Leaving
                                                : AvailabilityState::Available,
                              now);
  QueueStateChange(record, wasLeaving);
}

void EndpointTable::Update(const LoadReport& aReport)
{
  if (mGuard != nullptr) {
    mGuard->OnEndpointAnswered(aReport.mEndpoint, aReport.mRunId);
  }
  const std::lock_guard lock(mMutex);
  const auto it = mRecords.find(aReport.mEndpoint);
  if (it == mRecords.end()) {
    return;
  }
  const auto now = mClock.Now();
  auto& record = it->second;
  const bool wasLeaving = record.mAvailability.IsLeavingByLocalSources();
  if (record.mRunId != aReport.mRunId) {
    record.mPrefixes.Clear();
    record.mRunId = aReport.mRunId;
  }
  record.mAvailability.Update(AvailabilitySource::Report,
                              aReport.mIsLeaving ? AvailabilityState::Leaving
                                                 : AvailabilityState::Available,
                              now);
  if (aReport.mHasLoad) {
    record.mLoad.OnReport(aReport.mRunning, now - aReport.mAge);
    record.SetSlots(aReport.mSlots, mSettings.mFirstTokenTarget);
  }
  for (const auto& event : aReport.mEvents) {
    record.mPrefixes.OnEvent(event, now);
  }
  QueueStateChange(record, wasLeaving);
}

void EndpointTable::Update(const wire::EndpointNews& aChange)
{
  const std::lock_guard lock(mMutex);
  const auto it = mRecords.find(aChange.endpoint);
  if (it == mRecords.end() || aChange.ageMs < 0 || aChange.ageMs > kMaxStateChangeAge.count()) {
    return;
  }
  const auto state =
    aChange.state == "back" ? AvailabilityState::Available : AvailabilityState::Leaving;
  const auto now = mClock.Now();
  auto& availability = it->second.mAvailability;
  const bool wasLeaving = availability.IsLeaving(now);
  availability.Update(AvailabilitySource::Peer, state, now - Millis(aChange.ageMs));
  if (availability.IsLeaving(now) != wasLeaving && mStateChanges.size() < kMaxPendingStateChanges) {
    mStateChanges.push_back(aChange);
  }
}

void EndpointTable::QueueStateChange(const EndpointRecord& aRecord, bool aWasLeaving)
{
  const bool leaving = aRecord.mAvailability.IsLeavingByLocalSources();
  if (leaving == aWasLeaving || mStateChanges.size() >= kMaxPendingStateChanges) {
    return;
  }
  wire::EndpointNews change;
  change.endpoint = aRecord.mName;
  change.state = leaving ? "leaving" : "back";
  change.ageMs = 0;
  mStateChanges.push_back(std::move(change));
}

std::vector<wire::EndpointNews> EndpointTable::TakeStateChanges()
{
  const std::lock_guard lock(mMutex);
  return std::exchange(mStateChanges, {});
}

Result<void> EndpointTable::CheckCrashGuard(PlacementQuery& aQuery) const
{
  const auto& fingerprint = aQuery.mHints.mFingerprint;
  if (mGuard == nullptr || fingerprint.empty()) {
    return success();
  }
  const auto answer = mGuard->Check(fingerprint);
  if (answer.mVerdict == CrashVerdict::Blocked) {
    return MakePlacementError(
      ErrorCode::RequestCrashesEndpoints,
      "the request crashed two endpoints and is blocked until the retry time; "
      "change its content",
      answer.mBlockRemaining);
  }
  aQuery.mIsSuspect = answer.mVerdict == CrashVerdict::Suspect;
  aQuery.mEndpointsRunningSuspects = mGuard->EndpointsRunningSuspects();
  return success();
}

Result<Placement> EndpointTable::PlaceModel(const AcceptedConfiguration& aConfiguration,
                                            const std::string& aModel,
                                            const std::string& aZone,
                                            std::span<const std::string> aExcluded,
                                            const PlacementHints& aHints)
{
  PlacementQuery query{ {}, aZone, aExcluded, aHints };
  BOOST_OUTCOME_TRY(CheckCrashGuard(query));
  Result<Placement> out = [&] {
    const std::lock_guard lock(mMutex);
    mLastRequestedAt[aModel] = mClock.Now();
    query.mPool = mPools.ModelPool(aConfiguration, aModel);
    return Place(query);
  }();
  if (out && mGuard != nullptr && !aHints.mFingerprint.empty()) {
    mGuard->OnPlaced(aHints.mFingerprint, out.value().mEndpoint);
  }
  return out;
}

Result<Placement> EndpointTable::PlaceService(const ServiceSpec& aService,
                                              const std::string& aZone,
                                              std::span<const std::string> aExcluded)
{
  const auto pool = EndpointPools::ServicePool(aService);
  const PlacementHints hints;
  const std::lock_guard lock(mMutex);
  return Place({ pool, aZone, aExcluded, hints });
}

std::vector<EndpointRecord*> EndpointTable::FindAvailable(const PlacementQuery& aQuery,
                                                          TimePoint aNow)
{
  std::vector<EndpointRecord*> out;
  for (const auto& member : aQuery.mPool) {
    const auto it = mRecords.find(member.mName);
    if (it == mRecords.end() || it->second.mAddress.empty() ||
        !ServesAdapter(member, aQuery.mHints.mAdapter)) {
      continue;
    }
    if (std::find(aQuery.mExcluded.begin(), aQuery.mExcluded.end(), member.mName) !=
        aQuery.mExcluded.end()) {
      continue;
    }
    auto& record = it->second;
    if (!record.mAvailability.IsAvailable(aNow, mMaxAvailabilityAge)) {
      continue;
    }
    record.mModel = member.mModel;
    if (record.mZone.empty()) {
      record.mZone = member.mZone;
    }
    if (record.mSlots == 0) {
      record.SetSlots(member.mSlots, mSettings.mFirstTokenTarget);
    }
    out.push_back(&record);
  }
  return out;
}

void EndpointTable::RemoveEjected(std::vector<EndpointRecord*>& aRecords, TimePoint aNow) const
{
  std::vector<EndpointRecord*> ejected;
  for (auto* it : aRecords) {
    if (it->mEjection.StateAt(aNow) == EjectionState::Ejected) {
      ejected.push_back(it);
    }
  }
  if (ejected.empty()) {
    return;
  }
  // At most mMaxEjectedShare of the endpoints are removed: those whose ejection ends last.
  const auto maxEjected =
    static_cast<std::size_t>(mSettings.mMaxEjectedShare * static_cast<double>(aRecords.size()));
  std::sort(ejected.begin(), ejected.end(), [](const auto* aLeft, const auto* aRight) {
    return aLeft->mEjection.EjectedUntil() > aRight->mEjection.EjectedUntil();
  });
  ejected.resize(std::min(ejected.size(), maxEjected));
  std::erase_if(aRecords, [&](const auto* it) {
    return std::find(ejected.begin(), ejected.end(), it) != ejected.end();
  });
}

void EndpointTable::RemoveEndpointsRunningSuspects(std::vector<EndpointRecord*>& aRecords,
                                                   const PlacementQuery& aQuery) const
{
  if (aQuery.mEndpointsRunningSuspects.empty()) {
    return;
  }
  const auto hasNoSuspect = [&](const auto* it) {
    return !aQuery.mEndpointsRunningSuspects.contains(it->mName);
  };
  const bool anyWithoutSuspect = std::any_of(aRecords.begin(), aRecords.end(), hasNoSuspect);
  // A suspect must not share an endpoint with another suspect. Other requests use these endpoints
  // only if each available endpoint runs a suspect.
  if (aQuery.mIsSuspect || anyWithoutSuspect) {
    std::erase_if(aRecords, [&](const auto* it) { return !hasNoSuspect(it); });
  }
}

std::size_t EndpointTable::Choose(std::span<EndpointRecord* const> aRecords,
                                  const PlacementQuery& aQuery,
                                  TimePoint aNow)
{
  std::vector<Candidate> candidates;
  candidates.reserve(aRecords.size());
  const auto& baseline = mLatencyBaselines[aRecords.front()->mModel];
  for (const auto* it : aRecords) {
    Candidate candidate{ it->mName };
    candidate.mFirstTokenMs =
      it->ExpectedFirstTokenMs(baseline, aQuery.mHints.mPrefixes, aNow) +
      (it->mZone == aQuery.mZone ? 0.0 : static_cast<double>(mSettings.mRemoteZonePenalty.count()));
    candidate.mLoad = it->mSlots > 0 ? it->mLoad.Running(aNow) / static_cast<double>(it->mSlots)
                                     : it->mLoad.Running(aNow);
    candidates.push_back(candidate);
  }
  return mPolicy->Choose(candidates, mRandom);
}

Result<Placement> EndpointTable::Place(const PlacementQuery& aQuery)
{
  const auto now = mClock.Now();
  auto records = FindAvailable(aQuery, now);
  if (records.empty()) {
    return MakePlacementError(ErrorCode::NoEndpoint,
                              "no endpoint is available for this request; retry later",
                              kNoEndpointRetryAfter);
  }
  RemoveEjected(records, now);
  RemoveEndpointsRunningSuspects(records, aQuery);
  std::erase_if(records, [&](const auto* it) { return !it->HasCapacity(now); });
  if (records.empty()) {
    return MakePlacementError(
      ErrorCode::Overloaded, "all endpoints are at capacity; retry later", kOverloadedRetryAfter);
  }
  auto& chosen = *records[Choose(records, aQuery, now)];
  chosen.mLoad.OnStart(now);
  ++chosen.mRequestsAwaitingFirstToken;
  chosen.mPrefixes.AddSentPrompt(aQuery.mHints.mPrefixes, now);
  return Placement{ chosen.mName, chosen.mAddress };
}

std::string EndpointTable::AddressOf(const std::string& aEndpoint)
{
  const std::lock_guard lock(mMutex);
  const auto it = mRecords.find(aEndpoint);
  return it == mRecords.end() ? std::string() : it->second.mAddress;
}

void EndpointTable::Release(const std::string& aEndpoint)
{
  const std::lock_guard lock(mMutex);
  const auto it = mRecords.find(aEndpoint);
  if (it != mRecords.end()) {
    it->second.mLoad.OnEnd(mClock.Now());
  }
}

bool EndpointTable::HasNonLeavingEndpoint(const AcceptedConfiguration& aConfiguration,
                                          const std::string& aModel)
{
  const std::lock_guard lock(mMutex);
  const auto now = mClock.Now();
  const auto pool = mPools.ModelPool(aConfiguration, aModel);
  return std::any_of(pool.begin(), pool.end(), [&](const PoolMember& aMember) {
    const auto it = mRecords.find(aMember.mName);
    return it != mRecords.end() && !it->second.mAddress.empty() &&
           !it->second.mAvailability.IsLeaving(now);
  });
}

bool EndpointTable::IsSuspect(const std::string& aFingerprint)
{
  return mGuard != nullptr && mGuard->Check(aFingerprint).mVerdict == CrashVerdict::Suspect;
}

std::int64_t EndpointTable::LastCacheEventSequence(const std::string& aEndpoint,
                                                   const std::string& aRunId)
{
  const std::lock_guard lock(mMutex);
  const auto it = mRecords.find(aEndpoint);
  return it == mRecords.end() || it->second.mRunId != aRunId ? 0
                                                             : it->second.mPrefixes.LastSequence();
}

std::int64_t EndpointTable::InFlight(const std::string& aEndpoint)
{
  const std::lock_guard lock(mMutex);
  const auto it = mRecords.find(aEndpoint);
  return it == mRecords.end() ? 0 : it->second.mLoad.OwnCount();
}

void EndpointTable::OnFirstToken(const std::string& aEndpoint, Micros aTimeToFirstToken)
{
  const std::lock_guard lock(mMutex);
  const auto it = mRecords.find(aEndpoint);
  if (it == mRecords.end()) {
    return;
  }
  const auto now = mClock.Now();
  auto& record = it->second;
  auto& baseline = mLatencyBaselines[record.mModel];
  record.mRequestsAwaitingFirstToken =
    std::max<std::int64_t>(0, record.mRequestsAwaitingFirstToken - 1);
  baseline.OnFirstToken(ToMs(aTimeToFirstToken));
  record.mLimit.OnFirstToken(aTimeToFirstToken, record.mLoad.OwnCount(), now);
  record.mAvailability.Update(
    AvailabilitySource::Exchange, AvailabilityState::Available, now - aTimeToFirstToken);
}

void EndpointTable::OnAttempt(const Attempt& aAttempt)
{
  if (mGuard != nullptr) {
    mGuard->OnAttempt(aAttempt);
  }
  const std::lock_guard lock(mMutex);
  const auto it = mRecords.find(aAttempt.mEndpoint);
  if (it == mRecords.end()) {
    return;
  }
  const auto now = mClock.Now();
  auto& record = it->second;
  record.mEjection.OnAttempt(aAttempt.mOutcome, now);
  if (aAttempt.mFirstToken == Micros(0)) {
    record.mRequestsAwaitingFirstToken =
      std::max<std::int64_t>(0, record.mRequestsAwaitingFirstToken - 1);
  }
  if (aAttempt.mOutcome == AttemptOutcome::Refused) {
    record.mLimit.OnRefused(now);
  }
  if (aAttempt.mOutcome != AttemptOutcome::Done) {
    return;
  }
  auto& baseline = mLatencyBaselines[record.mModel];
  baseline.OnTotal(ToMs(aAttempt.mTotal));
  if (aAttempt.mOutputTokens >= kMinTokensForTokenTime) {
    const double tokenMs = ToMs(aAttempt.mTotal - aAttempt.mFirstToken) /
                           static_cast<double>(aAttempt.mOutputTokens - 1);
    record.mSlowdown.AddSample(tokenMs / baseline.TokenMs(), now);
    baseline.OnTokenTime(tokenMs);
  }
}

std::vector<PollTarget> EndpointTable::PollTargets(const AcceptedConfiguration& aConfiguration,
                                                   const std::string& aRouter,
                                                   const std::string& aZone)
{
  const std::lock_guard lock(mMutex);
  const auto now = mClock.Now();
  const auto inUse = [&](const std::string& aModel) {
    const auto it = mLastRequestedAt.find(aModel);
    return it != mLastRequestedAt.end() && now - it->second <= kModelInUseWindow;
  };
  const auto isUnavailable = [&](const std::string& aName) {
    const auto it = mRecords.find(aName);
    return it == mRecords.end() || it->second.mAddress.empty() ||
           it->second.mAvailability.IsLeaving(now) ||
           it->second.mEjection.StateAt(now) == EjectionState::Ejected;
  };
  const auto maxPolled = static_cast<std::size_t>(mSettings.mMaxPolled);
  std::vector<PollTarget> out;
  for (const auto& it :
       mPools.ChoosePolled(aConfiguration, { aRouter, aZone, maxPolled, inUse, isUnavailable })) {
    const auto record = mRecords.find(it.mName);
    if (record == mRecords.end() || record->second.mAddress.empty()) {
      continue;
    }
    out.push_back({ it.mName, record->second.mAddress, it.mModel.empty() });
  }
  return out;
}

} // namespace gentianloom
