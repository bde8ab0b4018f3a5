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

/// Timeouts and limits of probing. They must be the same on all routers of a fleet.
struct MembershipOptions
{
  Millis mPeriod{ 1'000 };            ///< interval of probes; one member is probed per period
  Millis mProbeTimeout{ 300 };        ///< timeout of a direct probe
  Millis mIndirectTimeout{ 600 };     ///< timeout of a probe through a helper
  std::size_t mHelperCount = 3;       ///< maximum number of members asked to probe a target
  Millis mMinSuspicion{ 3'000 };      ///< minimum time from suspect to dead
  Millis mDeadRetention{ 7'200'000 }; ///< dead members are kept and probed for this time
  int mDeadProbePeriods = 5;          ///< one dead member is probed every this many periods
};

/// State of another router as known to this one.
struct Member
{
  wire::MemberNews mInfo;
  TimePoint mSince{};            ///< when its standing last changed
  TimePoint mLastContact{};      ///< when it last answered or sent a probe
  TimePoint mVersionUpdatedAt{}; ///< when its configuration version was last confirmed
};

/// @brief Returns the text of a standing for logs and operators, for example `alive`.
std::string_view ToString(wire::Standing::type aStanding);

/// Name and peer address of a router to probe.
struct ProbeTarget
{
  std::string mName;
  std::string mAddress;
};

/**
 * @brief Returns whether an update replaces the known state of the router with the same name.
 *
 * An incarnation that started later replaces an earlier one. Within an incarnation, leaving always
 * overrides alive and suspect; otherwise the higher generation wins, and at the same generation the
 * higher standing (alive < suspect < leaving < dead).
 */
bool Supersedes(const wire::MemberNews& aNew, const wire::MemberNews& aKnown);

/**
 * @brief Decisions of the SWIM membership protocol: direct and indirect probes that carry updates.
 *
 * Does no I/O, takes no lock and reads no clock. The network cost of a period is constant, whatever
 * the number of members: a message carries at most kMaxUpdates + kSampledMembers + 2 entries,
 * except for the full list that a joining router receives.
 *
 * @sa MembershipService
 */
class MembershipCore
{
public:
  /// Largest number of pending updates in one message.
  static constexpr std::size_t kMaxUpdates = 12;
  /// Largest number of further members in one message, chosen in rotation.
  static constexpr std::size_t kSampledMembers = 4;
  /// Smallest change of load that is sent as an update.
  static constexpr std::int32_t kLoadChangePermille = 250;

  /// @param aSelf this router; its standing and generation are set to alive and 1
  /// @param aSeed seeds the random choice of targets and helpers
  MembershipCore(const wire::MemberNews& aSelf,
                 const MembershipOptions& aOptions,
                 std::uint64_t aSeed);

  /// @brief Adds a possible router, from the settings or the key-value service, to be probed.
  void AddCandidate(const std::string& aName, const std::string& aAddress);

  /**
   * @brief Starts a period: expires suspect and dead members and chooses the member
   * to probe.
   *
   * If the previous period started several periods ago, this process itself was paused, and the
   * suspects could not refute meanwhile; their suspicions are extended by that time.
   *
   * @return the target, or nothing if there is no router to probe
   * @par Complexity linear in the number of members, without I/O
   */
  std::optional<ProbeTarget> StartPeriod(TimePoint aNow);

  /// @brief Chooses at random up to mHelperCount alive members to probe a target for this router.
  std::vector<ProbeTarget> ChooseHelpers(const std::string& aTarget);

  /// @brief Records that a member answered or sent a probe.
  void OnContact(const std::string& aName, TimePoint aNow);

  /// @brief Records that a member answered neither a direct probe nor one through helpers. An alive
  /// member becomes suspect, a leaving one dead.
  void OnProbeFailed(const std::string& aName, TimePoint aNow);

  /// @brief Applies updates about members, and refutes a suspicion or death of this router.
  void ApplyUpdates(const std::vector<wire::MemberNews>& aUpdates, TimePoint aNow);

  /**
   * @brief Collects the updates for a message and counts each pending one as sent once more.
   * @param aRecipient name of the recipient; its own state is included unless it is alive, so that
   *   the recipient can refute it
   * @param aAllMembers whether to include all members that are not dead, for a router that joins
   * @return the updates, of which the first describes this router
   */
  std::vector<wire::MemberNews> CollectUpdates(const std::string& aRecipient, bool aAllMembers);

  /// @brief Whether a member with this name is known and not dead.
  bool IsKnownAndNotDead(const std::string& aName) const;

  /// @brief Marks this router as leaving, which cannot be undone.
  void Leave();

  /// @brief Sets this router's load. Changes below kLoadChangePermille are ignored.
  void SetLoad(std::int32_t aPermille);

  /// @brief Sets the version of this router's configuration.
  void SetConfiguration(std::int64_t aVersion) { mSelf.configurationVersion = aVersion; }

  const wire::MemberNews& Self() const { return mSelf; }
  const std::map<std::string, Member>& Others() const { return mOthers; }
  std::size_t LiveCount() const; ///< number of other routers that are alive or suspect

  /// @brief Returns the peer address of a member or candidate; empty if unknown.
  std::string AddressOf(const std::string& aName) const;

  std::int64_t Refutations() const { return mRefutations; }
  std::int64_t Suspicions() const { return mSuspicions; }

private:
  /// @brief Declares members dead whose suspicion timed out, and removes those that have been dead
  /// for longer than mDeadRetention.
  void ExpireMembers(TimePoint aNow);
  void ApplyUpdate(const wire::MemberNews& aUpdate, TimePoint aNow);
  void ApplyUpdateAboutSelf(const wire::MemberNews& aUpdate);
  void QueueUpdate(const std::string& aName);
  void RefillRound();
  std::optional<ProbeTarget> NextCandidate();
  std::optional<ProbeTarget> PickDeadMember();
  Millis SuspicionTimeout() const;
  int MaxTransmissions() const;
  void AppendSample(std::vector<wire::MemberNews>& aOut, const std::string& aRecipient);

  wire::MemberNews mSelf;
  MembershipOptions mOptions;
  std::mt19937_64 mRandom;
  std::map<std::string, Member> mOthers;
  std::map<std::string, std::string> mCandidates; ///< name to address
  std::map<std::string, int> mPendingUpdates;     ///< member name to number of times sent
  std::vector<std::string> mProbeRound; ///< members still to probe in this round, last one first
  std::string mLastCandidate;
  std::string mLastSample;
  std::optional<TimePoint> mLastPeriodStart;
  std::int64_t mPeriods = 0;
  std::int64_t mRefutations = 0;
  std::int64_t mSuspicions = 0;
  int mStartTimeRaises = 0;
};

} // namespace gentianloom

#endif
