#ifndef GENTIANLOOM_PEER_PEER_HANDLERS_H
#define GENTIANLOOM_PEER_PEER_HANDLERS_H

#include "gen-cpp/peer_types.h"

#include <string>
#include <vector>

namespace gentianloom {

/// Answers probes of other routers. Called from the peer server's threads.
class MembershipHandler
{
public:
  virtual ~MembershipHandler() = default;
  virtual wire::ProbeAnswer OnProbe(const wire::ProbeRequest& aRequest) = 0;
  virtual wire::ProbeAnswer OnProbeFor(const wire::ProbeRequest& aRequest,
                                       const std::string& aTarget) = 0;
};

/// Gives rights away. Called from the peer server's threads.
class RightsHandler
{
public:
  virtual ~RightsHandler() = default;
  virtual wire::RightsAnswer OnAskRights(const wire::RightsRequest& aRequest) = 0;
};

/// Hands out the configuration in force. Called from the peer server's threads.
class ConfigurationHandler
{
public:
  virtual ~ConfigurationHandler() = default;
  virtual wire::ConfigurationAnswer OnFetchConfiguration(
    const wire::ConfigurationRequest& aRequest) = 0;
};

/// Keeps copies of peers' bills. Called from the peer server's threads.
class BillHandler
{
public:
  virtual ~BillHandler() = default;
  virtual void OnKeepBills(const std::vector<wire::BillCopy>& aBills) = 0;
  virtual std::vector<wire::BillCopy> OnFindBills(const std::vector<std::string>& aRequestIds) = 0;
};

/// Who answers what; a null entry makes the peer answer that it does not offer the call.
struct PeerHandlers
{
  MembershipHandler* mMembership = nullptr;
  RightsHandler* mRights = nullptr;
  ConfigurationHandler* mConfiguration = nullptr;
  BillHandler* mBills = nullptr;
};

} // namespace gentianloom

#endif
