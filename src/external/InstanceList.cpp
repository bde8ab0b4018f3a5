#include "gentianloom/external/InstanceList.h"

#include "gentianloom/base/Address.h"
#include "gentianloom/base/JsonFields.h"
#include "gentianloom/base/JsonReader.h"
#include "gentianloom/external/HttpCall.h"

namespace gentianloom {

namespace {

/// Reads a row of the list; nothing if it names no instance that could be called.
std::optional<ListedInstance> ReadInstance(const Json& aRow)
{
  auto name = FindText(aRow, "name");
  auto address = FindText(aRow, "address");
  if (!name || name->empty() || !address || !ParseAddress(*address)) {
    return std::nullopt;
  }
  return ListedInstance{ std::move(*name),
                         std::move(*address),
                         FindText(aRow, "zone").value_or(""),
                         FindText(aRow, "state") == "leaving" };
}

} // namespace

Result<std::vector<ListedInstance>> HttpInstanceList::Read()
{
  auto answer = CallHttp(mAddress, { "GET", "/instances" }, mTimeout, Step::RequestPlace);
  if (!answer) {
    return answer.error().mError;
  }
  const auto json = Json::parse(answer.value().mBody, nullptr, false);
  const auto* const list = FindField(json, "instances");
  if (answer.value().mStatus != 200 || list == nullptr || !list->is_array()) {
    return MakeError(ErrorCode::PlatformUnavailable,
                     Step::RequestPlace,
                     mAddress,
                     "the instance list service did not return a list");
  }
  std::vector<ListedInstance> out;
  for (const auto& it : *list) {
    auto instance = ReadInstance(it);
    if (instance) {
      out.push_back(std::move(*instance));
    }
  }
  return out;
}

} // namespace gentianloom
