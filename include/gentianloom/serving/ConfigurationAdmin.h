#ifndef GENTIANLOOM_SERVING_CONFIGURATION_ADMIN_H
#define GENTIANLOOM_SERVING_CONFIGURATION_ADMIN_H

#include "gentianloom/base/JsonReader.h"
#include "gentianloom/configuration/ConfigurationManager.h"
#include "gentianloom/configuration/Difference.h"
#include "gentianloom/serving/AdminArea.h"

#include <functional>
#include <vector>

namespace gentianloom {

/// What this router last heard of another instance.
struct InstanceView
{
  std::string mName;
  std::string mZone;
  std::string mStanding; ///< `alive`, `suspect`, `leaving` or `dead`
  std::string mAddress;  ///< for callers and operators
  std::int64_t mVersion; ///< of the configuration in force there
  std::int64_t mAgeMs;   ///< how old this knowledge is
};

/// Other instances; empty if membership is not known.
using InstanceViews = std::function<std::vector<InstanceView>()>;

/**
 * @brief Administration of the configuration: apply, check, history, diff, rollback, audit, status.
 */
class ConfigurationAdmin final : public AdminArea
{
public:
  ConfigurationAdmin(const Settings& aSettings,
                     KeyValueStore& aStore,
                     ConfigurationManager& aDuty,
                     const Clock& aClock,
                     InstanceViews aInstances);

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

  void ApplyAndAnswer(const AdminCall& aCall,
                      const Configuration& aConfiguration,
                      const std::string& aAction);
  void AnswerConflict(const AdminCall& aCall, const Error& aError, const Configuration& aWanted);
  Result<Difference> ReadDifference(const AdminCall& aCall, std::int64_t aFrom, std::int64_t aTo);
  Result<AcceptedConfigurationPtr> ReadVersion(std::int64_t aVersion);
  Json InstancesJson() const;

  const Settings& mSettings;
  KeyValueStore& mKeyValueStore;
  ConfigurationStore mStore;
  ConfigurationManager& mDuty;
  const Clock& mClock;
  InstanceViews mInstances;
};

} // namespace gentianloom

#endif
