#include "EngineControlRole.h"

namespace gentianloom::standin {

namespace {

constexpr int kAccepted = 202;
constexpr int kConflict = 409;

std::int64_t MillisOf(std::chrono::steady_clock::time_point aTime)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aTime.time_since_epoch()).count();
}

} // namespace

void EngineControlRole::Handle(Poco::Net::HTTPServerRequest& aRequest,
                               Poco::Net::HTTPServerResponse& aResponse)
{
  const auto body = aRequest.getMethod() == "PUT" ? Json::parse(ReadBody(aRequest)) : Json();
  const std::lock_guard lock(mMutex);
  if (aRequest.getURI() == "/control/journal") {
    SendJson(aResponse, 200, { { "orders", mJournal } });
  } else if (aRequest.getMethod() == "PUT") {
    const auto status = AcceptOrder(body);
    SendJson(aResponse, status, Json::object());
  } else {
    SendJson(aResponse, 200, Status());
  }
}

Json EngineControlRole::Status()
{
  auto out = mOrder;
  const bool loading = std::chrono::steady_clock::now() < mReadyAt;
  out["state"] = loading ? "loading" : (mFails ? "failed" : "ready");
  out["reason"] = !loading && mFails ? "told to fail" : "";
  return out;
}

int EngineControlRole::AcceptOrder(const Json& aOrder)
{
  if (mChecksFencing && aOrder.value("fencing", 0) < mOrder.value("fencing", 0)) {
    return kConflict;
  }
  mOrder = aOrder;
  const auto now = std::chrono::steady_clock::now();
  mReadyAt = now + std::chrono::milliseconds(mFaults.Value("loadMs"));
  mFails = mFaults.Value("failLoadOn") != 0;
  auto entry = aOrder;
  entry["startMs"] = MillisOf(now);
  entry["endMs"] = MillisOf(mReadyAt);
  mJournal.push_back(std::move(entry));
  return kAccepted;
}

} // namespace gentianloom::standin
