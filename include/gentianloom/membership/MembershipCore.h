#ifndef GENTIANLOOM_MEMBERSHIP_MEMBERSHIP_CORE_H
#define GENTIANLOOM_MEMBERSHIP_MEMBERSHIP_CORE_H

#include "gen-cpp/peer_types.h"
#include "gentianloom/base/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace gentianloom {

/// Times and widths of probing. The same on all routers of a fleet.
struct MembershipOptions
{
  Millis mPeriod{ 1'000 };         ///< one member is probed in each period
  Millis mProbeTimeout{ 300 };     ///< of a direct probe
  Millis mIndirectTimeout{ 600 };  ///< of a probe through a helper
  std::size_t mHelpers = 3;        ///< members asked to probe on one's behalf
  Millis mLeastSuspicion{ 3'000 }; ///< suspected for at least this long before it counts as dead
  Millis mDeadKept{ 7'200'000 };   ///< dead members are probed again now and then for so long
  int mDeadEvery = 5;              ///< each so many periods one dead member is probed
};

/// A member as this router sees it.
struct Member
{
  wire::MemberNews mInfo;
  TimePoint mSince{};       ///< when its standing last changed here
  TimePoint mLastContact{}; ///< when it was last reached directly
  TimePoint mVersionAt{};   ///< when its configuration version was last learnt
};

/// @brief Stable text of a standing, for example `alive`.
std::string_view ToString(wire::Standing::type aStanding);

/// A router to probe.
struct ProbeTarget
{
  std::string mName;
  std::string mAddress;
};

/**
 * @brief Tells whether news replaces what is known of the same name.
 *
 * A newer incarnation replaces an older one. Of one incarnation, leaving beats alive and suspect
 * at any generation; else the higher generation wins, and at the same generation the higher
 * standing (alive, suspect, leaving, dead).
 */
bool Supersedes(const wire::MemberNews& aNew, const wire::MemberNews& aKnown);

/**
 * @brief Membership by direct and indirect probes with news carried along (SWIM).
 *
 * Decides only: no I/O, no lock, no clock of its own. Cost for each period is constant, whatever
 * the number of members; a message carries at most kMostNews + kSample + 2 entries.
 *
 * @sa MembershipService
 */
class MembershipCore
{
public:
  static constexpr std::size_t kMostNews = 12;   ///< pieces of news in one message
  static constexpr std::size_t kSample = 4;      ///< members without news, in turn, in one message
  static constexpr std::int32_t kLoadBand = 250; ///< permille; a change of at least this is news

  /// @param aSelf this router, alive, generation 1
  /// @param aSeed of the random choice of targets
  MembershipCore(const wire::MemberNews& aSelf,
                 const MembershipOptions& aTimes,
                 std::uint64_t aSeed);

  /// @brief Adds a router that may be there, from settings or the key-value service.
  void AddCandidate(const std::string& aName, const std::string& aAddress);

  /**
   * @brief Starts a period: ends suspicions that are due and chooses whom to probe.
   *
   * If the last period started much longer ago than a period takes, this process itself was
   * paused: suspicions are then given that time on top.
   *
   * @return the target; nothing if no other router is known
   * @par Complexity linear in the members, in memory only
   */
  std::optional<ProbeTarget> StartPeriod(TimePoint aNow);

  /// @brief Members that may probe a target on this router's behalf, at most mHelpers.
  std::vector<ProbeTarget> Helpers(const std::string& aTarget);

  /// @brief A member answered.
  void OnReached(const std::string& aName, TimePoint aNow);

  /// @brief A member answered neither directly nor through helpers.
  void OnMissed(const std::string& aName, TimePoint aNow);

  /// @brief Takes news; refutes what is said wrongly of this router.
  void ApplyUpdates(const std::vector<wire::MemberNews>& aNews, TimePoint aNow);

  /**
   * @brief News for a message to a member; counts each piece as sent once.
   * @param aTo receiver; always told what is thought of it, so that it can refute
   * @param aWhole all members, for a router that has just joined
   */
  std::vector<wire::MemberNews> NewsFor(const std::string& aTo, bool aWhole);

  /// @brief Tells whether a name is known with any standing but dead.
  bool Knows(const std::string& aName) const;

  /// @brief Announces that this router leaves; from then on for good.
  void Leave();

  /// @brief Notes this router's load; a change of at least kLoadBand becomes news.
  void SetLoad(std::int32_t aPermille);

  void SetConfiguration(std::int64_t aVersion) { mSelf.configurationVersion = aVersion; }

  const wire::MemberNews& Self() const { return mSelf; }
  const std::map<std::string, Member>& Others() const { return mOthers; }
  std::size_t Living() const; ///< others that are neither dead nor leaving

  /// @brief Address of a member or candidate; empty if unknown.
  std::string AddressOf(const std::string& aName) const;

  std::int64_t Refutations() const { return mRefutations; }
  std::int64_t Suspicions() const { return mSuspicions; }

private:
  void EndSuspicions(TimePoint aNow);
  void LearnOne(const wire::MemberNews& aNews, TimePoint aNow);
  void LearnSelf(const wire::MemberNews& aNews);
  void Announce(const std::string& aName);
  void Refill();
  std::optional<ProbeTarget> NextCandidate();
  std::optional<ProbeTarget> RandomDead();
  Millis Suspicion() const;
  int MostSends() const;
  void AddSample(std::vector<wire::MemberNews>& aOut, const std::string& aTo);

  wire::MemberNews mSelf;
  MembershipOptions mTimes;
  std::mt19937_64 mRandom;
  std::map<std::string, Member> mOthers;
  std::map<std::string, std::string> mCandidates; ///< name to address
  std::map<std::string, int> mPendingUpdates;     ///< name to number of messages it went with
  std::vector<std::string> mRound;                ///< members still to probe in this round
  std::string mLastCandidate;
  std::string mLastSample;
  std::optional<TimePoint> mLastPeriod;
  std::int64_t mPeriods = 0;
  std::int64_t mRefutations = 0;
  std::int64_t mSuspicions = 0;
  int mNameClaims = 0;
};

} // namespace gentianloom

#endif
