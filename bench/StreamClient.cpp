#include "StreamClient.h"

#include "gentianloom/base/JsonReader.h"
#include "gentianloom/external/HttpCall.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <istream>

namespace gentianloom::bench {

namespace {

constexpr long kTimeoutSeconds = 120;

std::string BodyText(const StreamOrder& aOrder)
{
  return Json{
    { "model", "bench-model" },
    { "stream", true },
    { "max_tokens", aOrder.mTokens },
    { "standin_tokens", aOrder.mTokens },
    { "messages",
      Json::array({ { { "role", "user" }, { "content", "Redraft the agenda of today." } } }) }
  }.dump();
}

} // namespace

StreamResult ReadStream(const StreamOrder& aOrder)
{
  StreamResult out;
  const auto address = ParseAddress(aOrder.mAddress).value();
  const auto start = std::chrono::steady_clock::now();
  try {
    Poco::Net::HTTPClientSession session(address.first, address.second);
    session.setTimeout(Poco::Timespan(kTimeoutSeconds, 0));
    Poco::Net::HTTPRequest request("POST", "/v1/chat/completions", "HTTP/1.1");
    request.set("Authorization", "Bearer " + aOrder.mKey);
    const auto text = BodyText(aOrder);
    request.setContentType("application/json");
    request.setContentLength(static_cast<std::streamsize>(text.size()));
    session.sendRequest(request) << text << std::flush;
    Poco::Net::HTTPResponse response;
    auto& in = session.receiveResponse(response);
    std::string line;
    while (std::getline(in, line)) {
      if (line == "data: [DONE]") {
        out.mWhole = true;
      }
      if (line.find("\"content\"") == std::string::npos) {
        continue;
      }
      if (out.mTokens++ == 0) {
        const std::chrono::duration<double> took = std::chrono::steady_clock::now() - start;
        out.mFirstTokenSeconds = took.count();
      }
    }
  } catch (const Poco::Exception&) {
    out.mWhole = false;
  }
  return out;
}

} // namespace gentianloom::bench
