#include "gentianloom/serving/AdminApi.h"

#include "gentianloom/base/Ids.h"
#include "gentianloom/serving/HttpMessages.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

namespace gentianloom {

namespace {

constexpr std::string_view kAdminPrefix = "/admin/v1";

} // namespace

const OperatorSettings* AdminApi::FindOperator(const std::string& aKey) const
{
  const auto digest = KeyDigest(aKey);
  for (const auto& it : mSettings.mOperators) {
    if (it.mKeyDigest == digest) {
      return &it;
    }
  }
  return nullptr;
}

void AdminApi::Handle(Poco::Net::HTTPServerRequest& aRequest,
                      Poco::Net::HTTPServerResponse& aResponse)
{
  const auto* requestingOperator = FindOperator(ReadBearerKey(aRequest));
  if (requestingOperator == nullptr) {
    SendError(aResponse,
              MakeError(ErrorCode::NotAuthenticated,
                        Step::RequestAuthenticate,
                        "operator",
                        "unknown operator key; send the header Authorization: Bearer KEY"),
              Outcome::NotRun);
    return;
  }
  const auto& uri = aRequest.getURI();
  const auto queryStart = uri.find('?');
  const AdminCall call{ *requestingOperator,
                        aRequest.getMethod(),
                        uri.substr(kAdminPrefix.size(), queryStart - kAdminPrefix.size()),
                        queryStart == std::string::npos ? "" : uri.substr(queryStart + 1),
                        aRequest,
                        aResponse };
  for (const auto& it : mHandlers) {
    if (it->Handle(call)) {
      return;
    }
  }
  SendError(aResponse,
            MakeError(ErrorCode::UnknownPath,
                      Step::RequestAccept,
                      "operator",
                      call.mMethod + " " + uri +
                        " is not part of the administration API; see docs/OPERATORS.md"),
            Outcome::NotRun);
}

} // namespace gentianloom
