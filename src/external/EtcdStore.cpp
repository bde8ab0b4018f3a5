#include "gentianloom/external/EtcdStore.h"

#include "gentianloom/base/Base64.h"
#include "gentianloom/base/JsonFields.h"
#include "gentianloom/base/JsonReader.h"
#include "gentianloom/external/HttpCall.h"
#include "gentianloom/net/HttpHead.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <atomic>
#include <istream>

namespace gentianloom {

namespace {

/// Limits of a watch: of its head, then of each line. It lasts for as long as lines arrive.
constexpr ReceiveLimits kWatchLimits{ kMaxCallResponseBytes,
                                      std::chrono::steady_clock::time_point::max() };

/// Returns a whole number of at least 0; nothing for any other value. The JSON mapping encodes
/// 64-bit numbers as strings; numbers are accepted as well.
std::optional<std::int64_t> FindEncodedNumber(const Json& aObject, const char* aKey)
{
  const auto text = FindText(aObject, aKey);
  if (!text) {
    return FindNumber(aObject, aKey);
  }
  const auto n = net::ParseNumber(*text);
  return n && *n >= 0 ? n : std::nullopt;
}

/// Returns a number that the JSON mapping leaves out if it is 0.
std::int64_t ReadNumber(const Json& aObject, const char* aKey)
{
  return FindEncodedNumber(aObject, aKey).value_or(0);
}

/// Returns decoded bytes; empty if the field is missing, as the JSON mapping has empty ones.
std::optional<std::string> FindBytes(const Json& aObject, const char* aKey)
{
  if (FindField(aObject, aKey) == nullptr) {
    return std::string();
  }
  const auto text = FindText(aObject, aKey);
  return text ? DecodeBase64(*text) : std::nullopt;
}

/// Returns the exclusive end of the range of all keys with a prefix: the prefix with its last byte
/// that is not 0xFF incremented and the bytes after it removed.
std::string MakePrefixEnd(std::string_view aPrefix)
{
  std::string end(aPrefix);
  while (!end.empty()) {
    if (static_cast<unsigned char>(end.back()) != 0xFFU) {
      ++end.back();
      return end;
    }
    end.pop_back();
  }
  return std::string(1, '\0');
}

/// Returns an entry; nothing if it has no key or no revision.
std::optional<KeyValue> ReadEntry(const Json& aEntry)
{
  auto key = FindBytes(aEntry, "key");
  const auto revision = FindEncodedNumber(aEntry, "mod_revision");
  if (!key || key->empty() || !revision) {
    return std::nullopt;
  }
  KeyValue out;
  out.mKey = std::move(*key);
  out.mValue = FindBytes(aEntry, "value").value_or(std::string(kUnreadableValue));
  out.mCreateRevision = ReadNumber(aEntry, "create_revision");
  out.mModRevision = *revision;
  out.mLease = ReadNumber(aEntry, "lease");
  return out;
}

Revision ReadRevision(const Json& aResponse)
{
  const auto* it = FindField(aResponse, "header");
  return it == nullptr ? 0 : ReadNumber(*it, "revision");
}

using JsonResult = boost::outcome_v2::checked<Json, CallFailure>;

JsonResult Post(const std::string& aAddress,
                const char* aPath,
                const Json& aBody,
                Millis aTimeout,
                Step aStep)
{
  HttpRequest request;
  request.mMethod = "POST";
  request.mPath = aPath;
  request.mBody = aBody.dump();
  auto answer = CallHttp(aAddress, request, aTimeout, aStep);
  if (!answer) {
    return answer.error();
  }
  auto json = Json::parse(answer.value().mBody, nullptr, false);
  if (answer.value().mStatus != 200 || !json.is_object()) {
    // A request rejected with a 4xx status was not executed; with any other it may have been.
    const bool isRejected = answer.value().mStatus >= 400 && answer.value().mStatus < 500;
    return CallFailure{ isRejected ? CallProgress::NotSent : CallProgress::Sent,
                        MakeError(ErrorCode::PlatformUnavailable,
                                  aStep,
                                  aAddress,
                                  "the key-value service responded with status " +
                                    std::to_string(answer.value().mStatus)) };
  }
  return json;
}

Json WriteJson(const Write& aWrite)
{
  if (aWrite.mIsDelete) {
    return { { "requestDeleteRange", { { "key", EncodeBase64(aWrite.mKey) } } } };
  }
  Json put = { { "key", EncodeBase64(aWrite.mKey) }, { "value", EncodeBase64(aWrite.mValue) } };
  if (aWrite.mLease != 0) {
    put["lease"] = std::to_string(aWrite.mLease);
  }
  return { { "requestPut", put } };
}

Json TransactionJson(const Transaction& aTransaction)
{
  Json compares = Json::array();
  for (const auto& it : aTransaction.mCompares) {
    compares.push_back({ { "key", EncodeBase64(it.mKey) },
                         { "target", "MOD" },
                         { "result", "EQUAL" },
                         { "modRevision", std::to_string(it.mModRevision) } });
  }
  Json writes = Json::array();
  for (const auto& it : aTransaction.mWrites) {
    writes.push_back(WriteJson(it));
  }
  return { { "compare", compares }, { "success", writes } };
}

/// Handles one line of a watch stream. Returns false to end the watch.
bool HandleWatchLine(const std::string& aLine,
                     const std::function<bool(const std::vector<WatchEvent>&, Revision)>& aOnEvents)
{
  const auto json = Json::parse(aLine, nullptr, false);
  if (!json.is_object() || !json.contains("result")) {
    return false;
  }
  const auto& result = json["result"];
  if (FindFlag(result, "canceled")) {
    return false;
  }
  std::vector<WatchEvent> events;
  for (const auto& it : FindList(result, "events")) {
    const auto* const kv = FindField(it, "kv");
    auto entry = kv == nullptr ? std::nullopt : ReadEntry(*kv);
    if (entry) {
      events.push_back({ std::move(*entry), FindText(it, "type") == "DELETE" });
    }
  }
  return aOnEvents(events, ReadRevision(result));
}

} // namespace

/// Registers an active watch, so that StopWatches() can close its connection.
class EtcdStore::ActiveWatch
{
public:
  ActiveWatch(EtcdStore& aStore, std::string_view aPrefix, Poco::Net::HTTPClientSession& aSession)
    : mStore(aStore)
    , mPrefix(aPrefix)
    , mSession(aSession)
  {
    const std::lock_guard lock(mStore.mWatchMutex);
    mStore.mWatches.insert(this);
    mIsStopped = mStore.mStoppedPrefixes.contains(aPrefix);
  }
  ~ActiveWatch()
  {
    const std::lock_guard lock(mStore.mWatchMutex);
    mStore.mWatches.erase(this);
  }
  ActiveWatch(const ActiveWatch&) = delete;
  ActiveWatch& operator=(const ActiveWatch&) = delete;

  bool IsStopped() const { return mIsStopped; }
  const std::string& Prefix() const { return mPrefix; }

  /// @brief Makes the blocked read return. The caller holds the store's watch mutex.
  void Stop()
  {
    mIsStopped = true;
    try {
      mSession.socket().shutdown();
    } catch (const Poco::Exception&) {
      // Not connected yet or not any more: the watch ends by itself.
    }
  }

private:
  EtcdStore& mStore;
  std::string mPrefix;
  Poco::Net::HTTPClientSession& mSession;
  std::atomic<bool> mIsStopped{ false };
};

EtcdStore::EtcdStore(std::vector<std::string> aAddresses, Millis aTimeout)
  : mAddresses(std::move(aAddresses))
  , mTimeout(aTimeout)
{
}

Result<std::unique_ptr<EtcdStore>> EtcdStore::Create(std::vector<std::string> aAddresses,
                                                     Millis aTimeout)
{
  if (aAddresses.empty()) {
    return MakeError(ErrorCode::BadSettings,
                     Step::Settings,
                     "self",
                     "keyValue/addresses is empty; write at least one IP:PORT");
  }
  for (const auto& it : aAddresses) {
    BOOST_OUTCOME_TRYV(ParseAddress(it));
  }
  return std::unique_ptr<EtcdStore>(new EtcdStore(std::move(aAddresses), aTimeout));
}

Result<RangeResponse> EtcdStore::Range(std::string_view aKey, bool aIsPrefix, Step aStep)
{
  Json body = { { "key", EncodeBase64(aKey) } };
  if (aIsPrefix) {
    body["range_end"] = EncodeBase64(MakePrefixEnd(aKey));
  }
  Error last;
  for (const auto& address : mAddresses) {
    auto json = Post(address, "/v3/kv/range", body, mTimeout, aStep);
    if (!json) {
      last = json.error().mError;
      continue;
    }
    RangeResponse response;
    response.mRevision = ReadRevision(json.value());
    for (const auto& it : FindList(json.value(), "kvs")) {
      auto entry = ReadEntry(it);
      if (entry) {
        response.mEntries.push_back(std::move(*entry));
      }
    }
    return response;
  }
  return last;
}

CommitResult EtcdStore::Commit(const Transaction& aTransaction, Step aStep)
{
  const Json body = TransactionJson(aTransaction);
  CommitResult result;
  for (const auto& address : mAddresses) {
    auto json = Post(address, "/v3/kv/txn", body, mTimeout, aStep);
    if (!json) {
      result.mError = json.error().mError;
      if (json.error().mProgress == CallProgress::NotSent) {
        result.mEffect = Effect::NotApplied;
        continue;
      }
      result.mEffect = Effect::Unknown;
      return result;
    }
    const bool succeeded = FindFlag(json.value(), "succeeded");
    result.mEffect = succeeded ? Effect::Applied : Effect::NotApplied;
    result.mIsConflict = !succeeded;
    result.mRevision = ReadRevision(json.value());
    return result;
  }
  return result;
}

Result<LeaseId> EtcdStore::GrantLease(std::chrono::seconds aTtl, Step aStep)
{
  const Json body = { { "TTL", std::to_string(aTtl.count()) } };
  Error last;
  for (const auto& address : mAddresses) {
    auto json = Post(address, "/v3/lease/grant", body, mTimeout, aStep);
    if (!json) {
      last = json.error().mError;
      continue;
    }
    const auto lease = FindEncodedNumber(json.value(), "ID");
    if (lease) {
      return *lease;
    }
    last = MakeError(ErrorCode::PlatformUnavailable, aStep, address, "a lease has no number");
  }
  return last;
}

Result<std::chrono::seconds> EtcdStore::KeepAlive(LeaseId aLease, Step aStep)
{
  const Json body = { { "ID", std::to_string(aLease) } };
  Error last;
  for (const auto& address : mAddresses) {
    auto json = Post(address, "/v3/lease/keepalive", body, mTimeout, aStep);
    if (!json) {
      last = json.error().mError;
      continue;
    }
    const auto* const result = FindField(json.value(), "result");
    const Json& answer = result == nullptr ? json.value() : *result;
    return std::chrono::seconds(ReadNumber(answer, "TTL"));
  }
  return last;
}

Result<void> EtcdStore::RevokeLease(LeaseId aLease, Step aStep)
{
  const Json body = { { "ID", std::to_string(aLease) } };
  Error last;
  for (const auto& address : mAddresses) {
    auto json = Post(address, "/v3/lease/revoke", body, mTimeout, aStep);
    if (json) {
      return success();
    }
    last = json.error().mError;
  }
  return last;
}

Result<void> EtcdStore::Watch(
  std::string_view aPrefix,
  Revision aFrom,
  Millis aTimeout,
  const std::function<bool(const std::vector<WatchEvent>&, Revision)>& aOnEvents,
  Step aStep)
{
  const auto& address = mAddresses.front();
  BOOST_OUTCOME_TRY(hostPort, ParseAddress(address));
  try {
    auto socket =
      Connect(hostPort.first, hostPort.second, { mTimeout, mTimeout, aTimeout }, kWatchLimits);
    Poco::Net::HTTPClientSession session(socket);
    const ActiveWatch watch(*this, aPrefix, session);
    const Json body = { { "create_request",
                          { { "key", EncodeBase64(aPrefix) },
                            { "range_end", EncodeBase64(MakePrefixEnd(aPrefix)) },
                            { "start_revision", std::to_string(aFrom) } } } };
    const auto text = body.dump();
    Poco::Net::HTTPRequest request("POST", "/v3/watch", Poco::Net::HTTPMessage::HTTP_1_1);
    request.setContentType("application/json");
    request.setContentLength(static_cast<std::streamsize>(text.size()));
    session.sendRequest(request) << text << std::flush;
    Poco::Net::HTTPResponse response;
    auto& in = ReceiveHead(session, response);
    auto& limits = *BoundedSocket::LimitsOf(socket);
    std::string line;
    while (!watch.IsStopped()) {
      limits.Allow(kMaxCallResponseBytes);
      if (!std::getline(in, line) || (!line.empty() && !HandleWatchLine(line, aOnEvents))) {
        break;
      }
    }
    return success();
  } catch (const std::exception& ex) {
    return MakeError(ErrorCode::PlatformUnavailable, aStep, address, ex.what());
  }
}

void EtcdStore::StopWatches(std::string_view aPrefix)
{
  const std::lock_guard lock(mWatchMutex);
  mStoppedPrefixes.emplace(aPrefix);
  for (auto* it : mWatches) {
    if (it->Prefix() == aPrefix) {
      it->Stop();
    }
  }
}

} // namespace gentianloom
