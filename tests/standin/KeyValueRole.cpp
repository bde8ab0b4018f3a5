#include "MemoryStore.h"
#include "StandinServer.h"

#include "gentianloom/base/Base64.h"

#include <stdexcept>

namespace gentianloom::standin {

namespace {

constexpr Millis kLongWatch{ 3'600'000 };

Json Header(Revision aRevision)
{
  return { { "revision", std::to_string(aRevision) } };
}

Json EntryJson(const KeyValue& aEntry)
{
  return { { "key", EncodeBase64(aEntry.mKey) },
           { "value", EncodeBase64(aEntry.mValue) },
           { "create_revision", std::to_string(aEntry.mCreateRevision) },
           { "mod_revision", std::to_string(aEntry.mModRevision) },
           { "lease", std::to_string(aEntry.mLease) } };
}

std::int64_t Number(const Json& aObject, const char* aKey)
{
  const auto it = aObject.find(aKey);
  if (it == aObject.end()) {
    return 0;
  }
  return it->is_string() ? std::stoll(it->get<std::string>()) : it->get<std::int64_t>();
}

Transaction ReadTransaction(const Json& aBody)
{
  Transaction out;
  for (const auto& it : aBody.value("compare", Json::array())) {
    out.mCompares.push_back(
      { DecodeBase64(it.at("key").get<std::string>()).value(), Number(it, "modRevision") });
  }
  for (const auto& it : aBody.value("success", Json::array())) {
    if (it.contains("requestPut")) {
      const auto& put = it["requestPut"];
      out.mWrites.push_back({ DecodeBase64(put.at("key").get<std::string>()).value(),
                              DecodeBase64(put.value("value", "")).value(),
                              Number(put, "lease") });
    } else {
      const auto& deletion = it.at("requestDeleteRange");
      out.mWrites.push_back(
        { DecodeBase64(deletion.at("key").get<std::string>()).value(), "", 0, true });
    }
  }
  return out;
}

/// Serves a MemoryStore by the JSON mapping of the etcd v3 API.
class KeyValueRole final : public Role
{
public:
  KeyValueRole()
    : mStore(mClock)
  {
  }

  void Handle(Poco::Net::HTTPServerRequest& aRequest,
              Poco::Net::HTTPServerResponse& aResponse) override
  {
    const auto& uri = aRequest.getURI();
    if (uri == "/journal") {
      SendJson(aResponse, 200, { { "reads", mReads.load() }, { "writes", mWrites.load() } });
      return;
    }
    const auto body = Json::parse(ReadBody(aRequest), nullptr, false);
    if (!body.is_object()) {
      SendJson(aResponse, 400, { { "error", "body must be an object" } });
      return;
    }
    const auto answer = uri == "/v3/watch" ? Json() : Call(uri, body);
    if (uri == "/v3/watch") {
      Watch(body.at("create_request"), aResponse);
      return;
    }
    if (mFaults.Take("loseAnswer")) {
      throw std::runtime_error("injected loss of the response");
    }
    SendJson(aResponse, answer.is_null() ? 404 : 200, answer);
  }

private:
  Json Call(const std::string& aUri, const Json& aBody)
  {
    if (aUri == "/v3/kv/range") {
      ++mReads;
      return CallRange(aBody);
    }
    ++mWrites;
    if (aUri == "/v3/kv/txn") {
      const auto answer = mStore.Commit(ReadTransaction(aBody), Step::GrantCommit);
      return { { "header", Header(answer.mRevision) },
               { "succeeded", answer.mEffect == Effect::Applied } };
    }
    if (aUri == "/v3/lease/grant") {
      const auto ttl = std::chrono::seconds(Number(aBody, "TTL"));
      return { { "ID", std::to_string(mStore.GrantLease(ttl, Step::OrderLease).value()) },
               { "TTL", std::to_string(ttl.count()) } };
    }
    if (aUri == "/v3/lease/keepalive") {
      const auto left = mStore.KeepAlive(Number(aBody, "ID"), Step::OrderLease).value();
      return { { "result", { { "TTL", std::to_string(left.count()) } } } };
    }
    if (aUri == "/v3/lease/revoke") {
      mStore.RevokeLease(Number(aBody, "ID"), Step::OrderLease).value();
      return Json::object();
    }
    return {};
  }

  Json CallRange(const Json& aBody)
  {
    const auto key = DecodeBase64(aBody.at("key").get<std::string>()).value();
    const auto answer = mStore.Range(key, aBody.contains("range_end"), Step::GrantRead).value();
    Json list = Json::array();
    for (const auto& it : answer.mEntries) {
      list.push_back(EntryJson(it));
    }
    return { { "header", Header(answer.mRevision) }, { "kvs", list } };
  }

  void Watch(const Json& aOrder, Poco::Net::HTTPServerResponse& aResponse)
  {
    ++mReads;
    const auto prefix = DecodeBase64(aOrder.at("key").get<std::string>()).value();
    aResponse.setChunkedTransferEncoding(true);
    auto& out = aResponse.send();
    out << Json{ { "result", { { "created", true } } } } << "\n" << std::flush;
    const auto send = [&out](const std::vector<WatchEvent>& aEvents, Revision aAt) {
      Json list = Json::array();
      for (const auto& it : aEvents) {
        list.push_back(
          { { "type", it.mIsDeleted ? "DELETE" : "PUT" }, { "kv", EntryJson(it.mEntry) } });
      }
      out << Json{ { "result", { { "header", Header(aAt) }, { "events", list } } } } << "\n"
          << std::flush;
      return out.good();
    };
    static_cast<void>(mStore.Watch(
      prefix, Number(aOrder, "start_revision"), kLongWatch, send, Step::ApplicationSpread));
  }

  SystemClock mClock;
  MemoryStore mStore;
  std::atomic<std::int64_t> mReads{ 0 };
  std::atomic<std::int64_t> mWrites{ 0 };
};

} // namespace

std::unique_ptr<Role> MakeKeyValueRole(const StandinOptions& /*aOptions*/)
{
  return std::make_unique<KeyValueRole>();
}

} // namespace gentianloom::standin
