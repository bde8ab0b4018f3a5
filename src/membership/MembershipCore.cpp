#include "gentianloom/membership/MembershipCore.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <tuple>

namespace gentianloom {

namespace {

/// This process was paused if more than this many periods passed between two period starts.
constexpr int kPauseThresholdPeriods = 4;
/// An update is sent this many times the base-2 logarithm (rounded up) of the fleet's size
/// plus one.
constexpr int kTransmissionFactor = 3;
/// Additional probes of a new suspect, which carry the suspicion so that the suspect can refute it.
constexpr std::size_t kSuspectReprobes = 2;
/// Maximum number of times that this router moves its start time past that of another incarnation
/// of its name.
constexpr int kMaxStartTimeRaises = 3;
/// The suspicion timeout in periods is this factor times the base-10 logarithm of the fleet's size.
constexpr double kSuspicionFactor = 4;

/// Sort key of the updates within an incarnation. Supersedes() handles leaving before it compares
/// the keys.
auto PrecedenceOf(const wire::MemberNews& aUpdate)
{
  return std::tuple(aUpdate.generation, static_cast<int>(aUpdate.standing));
}

bool IsDead(const Member& aMember)
{
  return aMember.mInfo.standing == wire::Standing::DEAD;
}

bool IsLeavingOrDead(const Member& aMember)
{
  return aMember.mInfo.standing == wire::Standing::LEAVING || IsDead(aMember);
}

/// Returns the entry after a key, or the first one at the end. The map must not be empty.
template<typename Map>
auto NextCyclic(const Map& aMap, const std::string& aKey)
{
  const auto it = aMap.upper_bound(aKey);
  return it == aMap.end() ? aMap.begin() : it;
}

} // namespace

std::string_view ToString(wire::Standing::type aStanding)
{
  switch (aStanding) {
    case wire::Standing::ALIVE:
      return "alive";
    case wire::Standing::SUSPECT:
      return "suspect";
    case wire::Standing::LEAVING:
      return "leaving";
    default:
      return "dead";
  }
}

bool Supersedes(const wire::MemberNews& aNew, const wire::MemberNews& aKnown)
{
  if (aNew.incarnation != aKnown.incarnation) {
    return std::tie(aNew.startedMs, aNew.incarnation) >
           std::tie(aKnown.startedMs, aKnown.incarnation);
  }
  const bool newIsStaying =
    aNew.standing == wire::Standing::ALIVE || aNew.standing == wire::Standing::SUSPECT;
  if (aKnown.standing == wire::Standing::LEAVING && newIsStaying) {
    return false;
  }
  const bool knownIsStaying =
    aKnown.standing == wire::Standing::ALIVE || aKnown.standing == wire::Standing::SUSPECT;
  if (aNew.standing == wire::Standing::LEAVING && knownIsStaying) {
    return true;
  }
  return PrecedenceOf(aNew) > PrecedenceOf(aKnown);
}

MembershipCore::MembershipCore(const wire::MemberNews& aSelf,
                               const MembershipOptions& aOptions,
                               std::uint64_t aSeed)
  : mSelf(aSelf)
  , mOptions(aOptions)
  , mRandom(aSeed)
{
  mSelf.standing = wire::Standing::ALIVE;
  mSelf.generation = 1;
}

void MembershipCore::AddCandidate(const std::string& aName, const std::string& aAddress)
{
  if (aName != mSelf.name && aAddress != mSelf.peerAddress && !aAddress.empty()) {
    mCandidates[aName] = aAddress;
  }
}

std::size_t MembershipCore::LiveCount() const
{
  return static_cast<std::size_t>(std::count_if(
    mOthers.begin(), mOthers.end(), [](const auto& it) { return !IsLeavingOrDead(it.second); }));
}

bool MembershipCore::IsKnownAndNotDead(const std::string& aName) const
{
  const auto it = mOthers.find(aName);
  return it != mOthers.end() && !IsDead(it->second);
}

std::string MembershipCore::AddressOf(const std::string& aName) const
{
  const auto it = mOthers.find(aName);
  if (it != mOthers.end()) {
    return it->second.mInfo.peerAddress;
  }
  const auto candidate = mCandidates.find(aName);
  return candidate == mCandidates.end() ? std::string() : candidate->second;
}

Millis MembershipCore::SuspicionTimeout() const
{
  const double members = static_cast<double>(mOthers.size()) + 1;
  const auto scaled = std::chrono::duration_cast<Millis>(
    mOptions.mPeriod * (kSuspicionFactor * std::max(0.0, std::log10(members))));
  return std::max(mOptions.mMinSuspicion, scaled);
}

int MembershipCore::MaxTransmissions() const
{
  // Adding one keeps the logarithm above zero for a fleet of one router.
  const double sizePlusOne = static_cast<double>(mOthers.size()) + 2;
  return kTransmissionFactor * static_cast<int>(std::ceil(std::log2(sizePlusOne)));
}

void MembershipCore::ExpireMembers(TimePoint aNow)
{
  const auto limit = SuspicionTimeout();
  for (auto it = mOthers.begin(); it != mOthers.end();) {
    auto& member = it->second;
    if (IsDead(member) && aNow - member.mSince > mOptions.mDeadRetention) {
      mPendingUpdates.erase(it->first);
      it = mOthers.erase(it);
      continue;
    }
    if (member.mInfo.standing == wire::Standing::SUSPECT && aNow - member.mSince > limit) {
      member.mInfo.standing = wire::Standing::DEAD;
      member.mSince = aNow;
      QueueUpdate(it->first);
    }
    ++it;
  }
}

std::optional<ProbeTarget> MembershipCore::StartPeriod(TimePoint aNow)
{
  const auto gap = mLastPeriodStart ? aNow - *mLastPeriodStart : Micros(0);
  if (gap > mOptions.mPeriod * kPauseThresholdPeriods) {
    for (auto& [name, member] : mOthers) {
      if (member.mInfo.standing == wire::Standing::SUSPECT) {
        member.mSince += gap;
      }
    }
  }
  mLastPeriodStart = aNow;
  ExpireMembers(aNow);
  ++mPeriods;
  if (auto candidate = NextCandidate(); candidate && (mPeriods % 2 == 1 || LiveCount() == 0)) {
    return candidate;
  }
  if (mPeriods % mOptions.mDeadProbePeriods == 0 || LiveCount() == 0) {
    if (auto dead = PickDeadMember()) {
      return dead;
    }
  }
  if (mProbeRound.empty()) {
    RefillRound();
  }
  while (!mProbeRound.empty()) {
    const auto name = mProbeRound.back();
    mProbeRound.pop_back();
    const auto it = mOthers.find(name);
    if (it != mOthers.end() && !IsDead(it->second)) {
      return ProbeTarget{ name, it->second.mInfo.peerAddress };
    }
  }
  return std::nullopt;
}

void MembershipCore::RefillRound()
{
  for (const auto& [name, member] : mOthers) {
    if (!IsDead(member)) {
      mProbeRound.push_back(name);
    }
  }
  std::shuffle(mProbeRound.begin(), mProbeRound.end(), mRandom);
}

std::optional<ProbeTarget> MembershipCore::NextCandidate()
{
  std::erase_if(mCandidates, [this](const auto& aCandidate) {
    return std::any_of(mOthers.begin(), mOthers.end(), [&](const auto& it) {
      return it.first == aCandidate.first || it.second.mInfo.peerAddress == aCandidate.second;
    });
  });
  if (mCandidates.empty()) {
    return std::nullopt;
  }
  const auto it = NextCyclic(mCandidates, mLastCandidate);
  mLastCandidate = it->first;
  return ProbeTarget{ it->first, it->second };
}

std::optional<ProbeTarget> MembershipCore::PickDeadMember()
{
  std::vector<const Member*> dead;
  for (const auto& [name, member] : mOthers) {
    if (IsDead(member)) {
      dead.push_back(&member);
    }
  }
  if (dead.empty()) {
    return std::nullopt;
  }
  const auto& it = dead[mRandom() % dead.size()]->mInfo;
  return ProbeTarget{ it.name, it.peerAddress };
}

std::vector<ProbeTarget> MembershipCore::ChooseHelpers(const std::string& aTarget)
{
  std::vector<ProbeTarget> out;
  for (const auto& [name, member] : mOthers) {
    if (name != aTarget && member.mInfo.standing == wire::Standing::ALIVE) {
      out.push_back({ name, member.mInfo.peerAddress });
    }
  }
  std::shuffle(out.begin(), out.end(), mRandom);
  out.resize(std::min(out.size(), mOptions.mHelperCount));
  return out;
}

void MembershipCore::OnContact(const std::string& aName, TimePoint aNow)
{
  const auto it = mOthers.find(aName);
  if (it != mOthers.end()) {
    it->second.mLastContact = aNow;
    it->second.mVersionUpdatedAt = aNow;
  }
}

void MembershipCore::OnProbeFailed(const std::string& aName, TimePoint aNow)
{
  const auto it = mOthers.find(aName);
  if (it == mOthers.end() || IsDead(it->second)) {
    return;
  }
  auto& info = it->second.mInfo;
  if (info.standing == wire::Standing::SUSPECT) {
    return;
  }
  if (info.standing == wire::Standing::ALIVE) {
    info.standing = wire::Standing::SUSPECT;
    ++mSuspicions;
    mProbeRound.insert(mProbeRound.end(), kSuspectReprobes, aName);
  } else {
    info.standing = wire::Standing::DEAD; // it had announced that it was leaving
  }
  it->second.mSince = aNow;
  QueueUpdate(aName);
}

void MembershipCore::QueueUpdate(const std::string& aName)
{
  mPendingUpdates[aName] = 0;
}

void MembershipCore::ApplyUpdates(const std::vector<wire::MemberNews>& aUpdates, TimePoint aNow)
{
  for (const auto& it : aUpdates) {
    if (it.name == mSelf.name) {
      ApplyUpdateAboutSelf(it);
    } else {
      ApplyUpdate(it, aNow);
    }
  }
}

void MembershipCore::ApplyUpdateAboutSelf(const wire::MemberNews& aUpdate)
{
  if (aUpdate.incarnation != mSelf.incarnation) {
    // The other incarnation is an earlier run whose clock was ahead. The limit stops two running
    // routers with the same name from raising their start times without end.
    if (aUpdate.startedMs >= mSelf.startedMs && mStartTimeRaises < kMaxStartTimeRaises) {
      ++mStartTimeRaises;
      mSelf.startedMs = aUpdate.startedMs + 1;
    }
    return;
  }
  const bool isWrong =
    aUpdate.standing == wire::Standing::SUSPECT || aUpdate.standing == wire::Standing::DEAD;
  if (isWrong && aUpdate.generation >= mSelf.generation) {
    mSelf.generation = aUpdate.generation + 1;
    ++mRefutations;
  }
}

void MembershipCore::ApplyUpdate(const wire::MemberNews& aUpdate, TimePoint aNow)
{
  const auto it = mOthers.find(aUpdate.name);
  if (it == mOthers.end()) {
    mOthers.emplace(aUpdate.name, Member{ aUpdate, aNow, {}, aNow });
    QueueUpdate(aUpdate.name);
    if (aUpdate.standing != wire::Standing::DEAD) {
      const auto at = mRandom() % (mProbeRound.size() + 1);
      mProbeRound.insert(mProbeRound.begin() + static_cast<std::ptrdiff_t>(at), aUpdate.name);
    }
    return;
  }
  auto& known = it->second;
  if (aUpdate.configurationVersion > known.mInfo.configurationVersion) {
    known.mVersionUpdatedAt = aNow;
  }
  if (!Supersedes(aUpdate, known.mInfo)) {
    if (aUpdate.incarnation == known.mInfo.incarnation) {
      known.mInfo.configurationVersion =
        std::max(known.mInfo.configurationVersion, aUpdate.configurationVersion);
    }
    return;
  }
  const bool changed =
    aUpdate.standing != known.mInfo.standing || aUpdate.incarnation != known.mInfo.incarnation;
  const bool isSameIncarnation = aUpdate.incarnation == known.mInfo.incarnation;
  const auto version = isSameIncarnation ? known.mInfo.configurationVersion : 0;
  known.mInfo = aUpdate;
  known.mInfo.configurationVersion = std::max(version, aUpdate.configurationVersion);
  known.mSince = changed ? aNow : known.mSince;
  QueueUpdate(aUpdate.name);
}

std::vector<wire::MemberNews> MembershipCore::CollectUpdates(const std::string& aRecipient,
                                                             bool aAllMembers)
{
  std::vector<wire::MemberNews> out{ mSelf };
  if (aAllMembers) {
    for (const auto& [name, member] : mOthers) {
      if (!IsDead(member) || name == aRecipient) {
        out.push_back(member.mInfo);
      }
    }
    return out;
  }
  const auto to = mOthers.find(aRecipient);
  if (to != mOthers.end() && to->second.mInfo.standing != wire::Standing::ALIVE) {
    out.push_back(to->second.mInfo);
  }
  std::vector<std::pair<int, std::string>> pending;
  for (const auto& [name, sent] : mPendingUpdates) {
    if (name != aRecipient) {
      pending.emplace_back(sent, name);
    }
  }
  std::sort(pending.begin(), pending.end());
  pending.resize(std::min(pending.size(), kMaxUpdates));
  const int maxTransmissions = MaxTransmissions();
  for (const auto& [sent, name] : pending) {
    out.push_back(mOthers.at(name).mInfo);
    if (sent + 1 >= maxTransmissions) {
      mPendingUpdates.erase(name);
    } else {
      mPendingUpdates[name] = sent + 1;
    }
  }
  AppendSample(out, aRecipient);
  return out;
}

void MembershipCore::AppendSample(std::vector<wire::MemberNews>& aOut,
                                  const std::string& aRecipient)
{
  for (std::size_t n = 0; n < std::min(kSampledMembers, mOthers.size()); ++n) {
    const auto it = NextCyclic(mOthers, mLastSample);
    mLastSample = it->first;
    const bool isIncluded = std::any_of(
      aOut.begin(), aOut.end(), [&](const auto& aUpdate) { return aUpdate.name == it->first; });
    // Dead members are not sampled. After a partition heals, running members of the other side are
    // still marked dead here, and sampling them would spread that wrong state.
    if (!isIncluded && it->first != aRecipient && !IsDead(it->second)) {
      aOut.push_back(it->second.mInfo);
    }
  }
}

void MembershipCore::Leave()
{
  if (mSelf.standing != wire::Standing::LEAVING) {
    mSelf.standing = wire::Standing::LEAVING;
    ++mSelf.generation;
  }
}

void MembershipCore::SetLoad(std::int32_t aPermille)
{
  if (std::abs(mSelf.loadPermille - aPermille) >= kLoadChangePermille) {
    ++mSelf.generation;
    mSelf.loadPermille = aPermille;
  }
}

} // namespace gentianloom
