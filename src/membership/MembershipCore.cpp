#include "gentianloom/membership/MembershipCore.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <tuple>

namespace gentianloom {

namespace {

constexpr int kPauseFactor = 4; ///< a period so many times too long is a pause of one's own
constexpr int kSendFactor = 3;  ///< times the logarithm of the fleet that news is sent
constexpr std::size_t kSecondProbes = 2; ///< probes of a suspect that let it refute at once
constexpr int kMostNameClaims = 3;       ///< tries to be seen as the newer run of one's name
constexpr double kSuspicionFactor = 4;   ///< periods of suspicion for each power of ten of members

auto Order(const wire::MemberNews& aNews)
{
  return std::tuple(aNews.generation, static_cast<int>(aNews.standing));
}

bool IsDead(const Member& aMember)
{
  return aMember.mInfo.standing == wire::Standing::DEAD;
}

bool IsGoing(const Member& aMember)
{
  return aMember.mInfo.standing == wire::Standing::LEAVING || IsDead(aMember);
}

/// The entry after a key in turn, starting again at the end; the map must not be empty.
template<typename Map>
auto NextAfter(const Map& aMap, const std::string& aKey)
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
  const bool newBack =
    aNew.standing == wire::Standing::ALIVE || aNew.standing == wire::Standing::SUSPECT;
  if (aKnown.standing == wire::Standing::LEAVING && newBack) {
    return false;
  }
  const bool knownBack =
    aKnown.standing == wire::Standing::ALIVE || aKnown.standing == wire::Standing::SUSPECT;
  if (aNew.standing == wire::Standing::LEAVING && knownBack) {
    return true;
  }
  return Order(aNew) > Order(aKnown);
}

MembershipCore::MembershipCore(const wire::MemberNews& aSelf,
                               const MembershipOptions& aTimes,
                               std::uint64_t aSeed)
  : mSelf(aSelf)
  , mTimes(aTimes)
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

std::size_t MembershipCore::Living() const
{
  return static_cast<std::size_t>(std::count_if(
    mOthers.begin(), mOthers.end(), [](const auto& it) { return !IsGoing(it.second); }));
}

bool MembershipCore::Knows(const std::string& aName) const
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

Millis MembershipCore::Suspicion() const
{
  const double members = static_cast<double>(mOthers.size()) + 1;
  const auto scaled = std::chrono::duration_cast<Millis>(
    mTimes.mPeriod * (kSuspicionFactor * std::max(0.0, std::log10(members))));
  return std::max(mTimes.mLeastSuspicion, scaled);
}

int MembershipCore::MostSends() const
{
  const double members = static_cast<double>(mOthers.size()) + 2;
  return kSendFactor * static_cast<int>(std::ceil(std::log2(members)));
}

void MembershipCore::EndSuspicions(TimePoint aNow)
{
  const auto limit = Suspicion();
  for (auto it = mOthers.begin(); it != mOthers.end();) {
    auto& member = it->second;
    if (IsDead(member) && aNow - member.mSince > mTimes.mDeadKept) {
      mPendingUpdates.erase(it->first);
      it = mOthers.erase(it);
      continue;
    }
    if (member.mInfo.standing == wire::Standing::SUSPECT && aNow - member.mSince > limit) {
      member.mInfo.standing = wire::Standing::DEAD;
      member.mSince = aNow;
      Announce(it->first);
    }
    ++it;
  }
}

std::optional<ProbeTarget> MembershipCore::StartPeriod(TimePoint aNow)
{
  const auto gap = mLastPeriod ? aNow - *mLastPeriod : Micros(0);
  if (gap > mTimes.mPeriod * kPauseFactor) {
    for (auto& [name, member] : mOthers) {
      if (member.mInfo.standing == wire::Standing::SUSPECT) {
        member.mSince += gap;
      }
    }
  }
  mLastPeriod = aNow;
  EndSuspicions(aNow);
  ++mPeriods;
  if (auto candidate = NextCandidate(); candidate && (mPeriods % 2 == 1 || Living() == 0)) {
    return candidate;
  }
  if (mPeriods % mTimes.mDeadEvery == 0 || Living() == 0) {
    if (auto dead = RandomDead()) {
      return dead;
    }
  }
  if (mRound.empty()) {
    Refill();
  }
  while (!mRound.empty()) {
    const auto name = mRound.back();
    mRound.pop_back();
    const auto it = mOthers.find(name);
    if (it != mOthers.end() && !IsDead(it->second)) {
      return ProbeTarget{ name, it->second.mInfo.peerAddress };
    }
  }
  return std::nullopt;
}

void MembershipCore::Refill()
{
  for (const auto& [name, member] : mOthers) {
    if (!IsDead(member)) {
      mRound.push_back(name);
    }
  }
  std::shuffle(mRound.begin(), mRound.end(), mRandom);
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
  const auto it = NextAfter(mCandidates, mLastCandidate);
  mLastCandidate = it->first;
  return ProbeTarget{ it->first, it->second };
}

std::optional<ProbeTarget> MembershipCore::RandomDead()
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

std::vector<ProbeTarget> MembershipCore::Helpers(const std::string& aTarget)
{
  std::vector<ProbeTarget> out;
  for (const auto& [name, member] : mOthers) {
    if (name != aTarget && member.mInfo.standing == wire::Standing::ALIVE) {
      out.push_back({ name, member.mInfo.peerAddress });
    }
  }
  std::shuffle(out.begin(), out.end(), mRandom);
  out.resize(std::min(out.size(), mTimes.mHelpers));
  return out;
}

void MembershipCore::OnReached(const std::string& aName, TimePoint aNow)
{
  const auto it = mOthers.find(aName);
  if (it != mOthers.end()) {
    it->second.mLastContact = aNow;
    it->second.mVersionAt = aNow;
  }
}

void MembershipCore::OnMissed(const std::string& aName, TimePoint aNow)
{
  const auto it = mOthers.find(aName);
  if (it == mOthers.end() || IsDead(it->second)) {
    return;
  }
  auto& news = it->second.mInfo;
  if (news.standing == wire::Standing::SUSPECT) {
    return;
  }
  if (news.standing == wire::Standing::ALIVE) {
    news.standing = wire::Standing::SUSPECT;
    ++mSuspicions;
    mRound.insert(mRound.end(), kSecondProbes, aName);
  } else {
    news.standing = wire::Standing::DEAD; // it had announced that it goes
  }
  it->second.mSince = aNow;
  Announce(aName);
}

void MembershipCore::Announce(const std::string& aName)
{
  mPendingUpdates[aName] = 0;
}

void MembershipCore::ApplyUpdates(const std::vector<wire::MemberNews>& aNews, TimePoint aNow)
{
  for (const auto& it : aNews) {
    if (it.name == mSelf.name) {
      LearnSelf(it);
    } else {
      LearnOne(it, aNow);
    }
  }
}

void MembershipCore::LearnSelf(const wire::MemberNews& aNews)
{
  if (aNews.incarnation != mSelf.incarnation) {
    // An earlier run whose clock was ahead; two living runs of one name stop after a few claims.
    if (aNews.startedMs >= mSelf.startedMs && mNameClaims < kMostNameClaims) {
      ++mNameClaims;
      mSelf.startedMs = aNews.startedMs + 1;
    }
    return;
  }
  const bool wrong =
    aNews.standing == wire::Standing::SUSPECT || aNews.standing == wire::Standing::DEAD;
  if (wrong && aNews.generation >= mSelf.generation) {
    mSelf.generation = aNews.generation + 1;
    ++mRefutations;
  }
}

void MembershipCore::LearnOne(const wire::MemberNews& aNews, TimePoint aNow)
{
  const auto it = mOthers.find(aNews.name);
  if (it == mOthers.end()) {
    mOthers.emplace(aNews.name, Member{ aNews, aNow, {}, aNow });
    Announce(aNews.name);
    if (aNews.standing != wire::Standing::DEAD) {
      const auto at = mRandom() % (mRound.size() + 1);
      mRound.insert(mRound.begin() + static_cast<std::ptrdiff_t>(at), aNews.name);
    }
    return;
  }
  auto& known = it->second;
  if (aNews.configurationVersion > known.mInfo.configurationVersion) {
    known.mVersionAt = aNow;
  }
  if (!Supersedes(aNews, known.mInfo)) {
    if (aNews.incarnation == known.mInfo.incarnation) {
      known.mInfo.configurationVersion =
        std::max(known.mInfo.configurationVersion, aNews.configurationVersion);
    }
    return;
  }
  const bool changed =
    aNews.standing != known.mInfo.standing || aNews.incarnation != known.mInfo.incarnation;
  const bool sameRun = aNews.incarnation == known.mInfo.incarnation;
  const auto version = sameRun ? known.mInfo.configurationVersion : 0;
  known.mInfo = aNews;
  known.mInfo.configurationVersion = std::max(version, aNews.configurationVersion);
  known.mSince = changed ? aNow : known.mSince;
  Announce(aNews.name);
}

std::vector<wire::MemberNews> MembershipCore::NewsFor(const std::string& aTo, bool aWhole)
{
  std::vector<wire::MemberNews> out{ mSelf };
  if (aWhole) {
    for (const auto& [name, member] : mOthers) {
      if (!IsDead(member) || name == aTo) {
        out.push_back(member.mInfo);
      }
    }
    return out;
  }
  const auto to = mOthers.find(aTo);
  if (to != mOthers.end() && to->second.mInfo.standing != wire::Standing::ALIVE) {
    out.push_back(to->second.mInfo);
  }
  std::vector<std::pair<int, std::string>> waiting;
  for (const auto& [name, sent] : mPendingUpdates) {
    if (name != aTo) {
      waiting.emplace_back(sent, name);
    }
  }
  std::sort(waiting.begin(), waiting.end());
  waiting.resize(std::min(waiting.size(), kMostNews));
  const int most = MostSends();
  for (const auto& [sent, name] : waiting) {
    out.push_back(mOthers.at(name).mInfo);
    if (sent + 1 >= most) {
      mPendingUpdates.erase(name);
    } else {
      mPendingUpdates[name] = sent + 1;
    }
  }
  AddSample(out, aTo);
  return out;
}

void MembershipCore::AddSample(std::vector<wire::MemberNews>& aOut, const std::string& aTo)
{
  for (std::size_t n = 0; n < std::min(kSample, mOthers.size()); ++n) {
    const auto it = NextAfter(mOthers, mLastSample);
    mLastSample = it->first;
    const bool there = std::any_of(
      aOut.begin(), aOut.end(), [&](const auto& aNews) { return aNews.name == it->first; });
    // The dead are not repeated: after a partition that would kill the living of the other side.
    if (!there && it->first != aTo && !IsDead(it->second)) {
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
  if (std::abs(mSelf.loadPermille - aPermille) >= kLoadBand) {
    ++mSelf.generation;
    mSelf.loadPermille = aPermille;
  }
}

} // namespace gentianloom
