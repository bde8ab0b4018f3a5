#ifndef GENTIANLOOM_SERVING_CONFIGURATION_ADMIN_H
#define GENTIANLOOM_SERVING_CONFIGURATION_ADMIN_H

#include "gentianloom/base/JsonReader.h"
#include "gentianloom/configuration/ConfigurationManager.h"
#include "gentianloom/configuration/Difference.h"
#include "gentianloom/serving/AdminHandler.h"

#include <functional>
#include <vector>

namespace gentianloom {

/// State of another instance, as last reported by gossip.
struct InstanceStatus
{
  std::string mName;
  std::string mZone;
  std::string mMembershipState; ///< `alive`, `suspect`, `leaving` or `dead`
  std::string mAddress;         ///< address for callers and operators
  std::int64_t mVersion;        ///< version of the configuration in force on that instance
  std::int64_t mAgeMs;          ///< age of the report; -1 if the instance was never contacted
};

/// Returns the other known instances.
using InstanceSource = std::function<std::vector<InstanceStatus>()>;

/**
 * @brief Administration API of the configuration: apply, check, history, difference, rollback,
 * audit and status.
 */
class ConfigurationAdmin final : public AdminHandler
{
public:
  ConfigurationAdmin(const Settings& aSettings,
                     KeyValueStore& aStore,
                     ConfigurationManager& aConfiguration,
                     const Clock& aClock,
                     InstanceSource aInstances);

  bool Handle(const AdminCall& aCall) override;

private:
  using Handler = void (ConfigurationAdmin::*)(const AdminCall&);

  void HandleApply(const AdminCall& aCall);
  void HandleCheck(const AdminCall& aCall);
  void HandleHistory(const AdminCall& aCall);
  void HandleDifference(const AdminCall& aCall);
  void HandleRollback(const AdminCall& aCall);
  void HandleApplication(const AdminCall& aCall);
  void HandleAudit(const AdminCall& aCall);
  void HandleStatus(const AdminCall& aCall);

  /// Applies a configuration to the store and sends the result.
  void ApplyAndRespond(const AdminCall& aCall,
                       const Configuration& aConfiguration,
                       const std::string& aAction);

  /// Sends ErrorCode::Conflict with the differences that the operator needs to resolve it.
  void SendConflict(const AdminCall& aCall, const Error& aError, const Configuration& aSubmitted);
  Result<Difference> ReadDifference(const AdminCall& aCall, std::int64_t aFrom, std::int64_t aTo);

  /// Returns a version of the configuration, from the store unless it is in force here.
  Result<AcceptedConfigurationPtr> ReadVersion(std::int64_t aVersion);
  Json InstancesToJson() const;

  const Settings& mSettings;
  KeyValueStore& mKeyValueStore;
  ConfigurationStore mStore;
  ConfigurationManager& mConfiguration;
  const Clock& mClock;
  InstanceSource mInstances;
};

} // namespace gentianloom

#endif
