#ifndef GENTIANLOOM_ROUTING_ENDPOINT_CONTACT_H
#define GENTIANLOOM_ROUTING_ENDPOINT_CONTACT_H

#include "gentianloom/base/Clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace gentianloom {

/**
 * @brief Whether this instance can open connections to the endpoints of one service. No clock or
 * I/O.
 *
 * A failure of one endpoint says nothing of the others, and a sound endpoint may be silent for a
 * while. So failures and silence only call for a check: contact is lost once a check reaches none
 * of several endpoints, and regained with the next connection that any endpoint accepts. Kept
 * connections may still work then; only if all are silent, the requests that wait are told.
 */
class EndpointContact
{
public:
  /// A request that waits for a response.
  class Listener
  {
  public:
    virtual ~Listener() = default;

    /// @brief Tells that contact is lost and that no endpoint has sent anything since the request
    /// was sent, at least.
    virtual void OnContactLost() = 0;
  };

  /// Time without a byte from any endpoint of the service, while a request waits, that calls for a
  /// check.
  static constexpr Millis kMaxSilence{ 500 };

  /// @brief Notes that a request was given to a connection.
  void OnRequestSent(TimePoint aNow) { mUnansweredSince = mUnansweredSince.value_or(aNow); }

  /// @brief Notes that an endpoint sent something.
  void OnBytesReceived() { mUnansweredSince.reset(); }

  /// @brief Notes that an endpoint accepted a connection.
  void OnConnected()
  {
    ++mConnections;
    mUnansweredSince.reset();
    mHasFailed = false;
    mIsLost = false;
  }

  /// @brief Notes that an endpoint accepted no connection.
  void OnNotConnected() { mHasFailed = true; }

  /// @brief Notes the result of a check that reached no endpoint.
  /// @param aConnectionsBefore Connections() when the check began; if an endpoint has accepted a
  ///        connection since, the result is out of date and changes nothing
  /// @return whether contact is lost now and was not before
  bool OnNoneReached(std::uint64_t aConnectionsBefore, TimePoint aNow);

  /// @brief Adds a listener, which is told once. It has to be removed before it ends.
  void AddListener(Listener& aListener) { mListeners.insert(&aListener); }

  /// @brief Removes a listener; one that was not added is ignored.
  void RemoveListener(Listener& aListener) { mListeners.erase(&aListener); }

  /// @brief Whether a check is called for.
  bool NeedsCheck(TimePoint aNow) const { return !mIsLost && (mHasFailed || IsSilent(aNow)); }

  /// @brief Whether no endpoint of the service can be reached.
  bool IsLost() const { return mIsLost; }

  /// @brief Connections that endpoints have accepted so far.
  std::uint64_t Connections() const { return mConnections; }

private:
  bool IsSilent(TimePoint aNow) const
  {
    return mUnansweredSince && aNow - *mUnansweredSince >= kMaxSilence;
  }

  std::optional<TimePoint> mUnansweredSince; ///< first request since an endpoint sent something
  bool mHasFailed = false; ///< a connection failed since the last one that was accepted
  bool mIsLost = false;
  std::uint64_t mConnections = 0;
  std::set<Listener*> mListeners;
};

/// What is known of each service's endpoints, by the service's name.
using EndpointContacts = std::map<std::string, EndpointContact, std::less<>>;

} // namespace gentianloom

#endif
