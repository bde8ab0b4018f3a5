#include "gentianloom/external/InstanceList.h"

#include "gentianloom/base/JsonReader.h"
#include "gentianloom/external/HttpCall.h"

namespace gentianloom {

Result<std::vector<ListedInstance>> HttpInstanceList::Read()
{
  auto answer = CallHttp(mAddress, { "GET", "/instances" }, mTimeout, Step::RequestPlace);
  if (!answer) {
    return answer.error().mError;
  }
  const auto json = Json::parse(answer.value().mBody, nullptr, false);
  if (answer.value().mStatus != 200 || !json.is_object() || !json.contains("instances")) {
    return MakeError(ErrorCode::PlatformUnavailable,
                     Step::RequestPlace,
                     mAddress,
                     "the instance list service did not return a list");
  }
  std::vector<ListedInstance> out;
  for (const auto& it : json["instances"]) {
    out.push_back({ it.value("name", ""),
                    it.value("address", ""),
                    it.value("zone", ""),
                    it.value("state", "live") == "leaving" });
  }
  return out;
}

} // namespace gentianloom
