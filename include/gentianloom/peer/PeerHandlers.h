#ifndef GENTIANLOOM_PEER_PEER_HANDLERS_H
#define GENTIANLOOM_PEER_PEER_HANDLERS_H

#include "gen-cpp/peer_types.h"

#include <string>
#include <vector>

namespace gentianloom {

/// Answers membership probes of other routers. Called from the threads of the peer server.
class MembershipHandler
{
public:
  virtual ~MembershipHandler() = default;
  virtual wire::ProbeAnswer OnProbe(const wire::ProbeRequest& aRequest) = 0;
  /// @brief Probes another router on behalf of the caller.
  virtual wire::ProbeAnswer OnProbeFor(const wire::ProbeRequest& aRequest,
                                       const std::string& aTarget) = 0;
};

/// Transfers rights to spend budget to other routers. Called from the threads of the peer server.
class RightsHandler
{
public:
  virtual ~RightsHandler() = default;
  virtual wire::RightsAnswer OnAskRights(const wire::RightsRequest& aRequest) = 0;
};

/// Sends the configuration in force to other routers. Called from the threads of the peer server.
class ConfigurationHandler
{
public:
  virtual ~ConfigurationHandler() = default;
  virtual wire::ConfigurationAnswer OnFetchConfiguration(
    const wire::ConfigurationRequest& aRequest) = 0;
};

/// Stores copies of bills for other routers. Called from the threads of the peer server.
class BillHandler
{
public:
  virtual ~BillHandler() = default;
  virtual void OnKeepBills(const std::vector<wire::BillCopy>& aBills) = 0;
  virtual std::vector<wire::BillCopy> OnFindBills(const std::vector<std::string>& aRequestIds) = 0;
};

/// Handlers of the peer server. Calls whose handler is null are rejected with
/// ErrorCode::UnknownPath.
struct PeerHandlers
{
  MembershipHandler* mMembership = nullptr;
  RightsHandler* mRights = nullptr;
  ConfigurationHandler* mConfiguration = nullptr;
  BillHandler* mBills = nullptr;
};

} // namespace gentianloom

#endif
