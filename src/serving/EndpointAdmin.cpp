#include "gentianloom/serving/EndpointAdmin.h"

#include "gentianloom/serving/HttpMessages.h"

namespace gentianloom {

namespace {

Json TargetToJson(const EngineTarget& aTarget)
{
  return { { "model", aTarget.mModel },
           { "version", aTarget.mVersion },
           { "adapters", aTarget.mAdapters },
           { "role", aTarget.mRole } };
}

Json EndpointToJson(const EndpointView& aView)
{
  Json out = { { "name", aView.mName },
               { "owner", aView.mOwner },
               { "ownerAddress", aView.mOwnerAddress } };
  if (!aView.mRecord) {
    return out;
  }
  const auto& record = *aView.mRecord;
  out["condition"] = ToString(record.mCondition);
  out["reason"] = record.mReason;
  out["tries"] = record.mFailedTries;
  out["ageMs"] = aView.mAge.count();
  out["stated"] = TargetToJson(record.mTarget.mEngineTarget);
  if (record.mStatus) {
    out["runs"] = TargetToJson(record.mStatus->mTarget);
  }
  return out;
}

} // namespace

bool EndpointAdmin::Handle(const AdminCall& aCall)
{
  if (aCall.mPath != "/endpoints" || aCall.mMethod != "GET") {
    return false;
  }
  Json list = Json::array();
  for (const auto& it : mControl.View()) {
    list.push_back(EndpointToJson(it));
  }
  SendJson(aCall.mResponse, 200, { { "endpoints", list } });
  return true;
}

} // namespace gentianloom
