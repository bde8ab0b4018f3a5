#include "gentianloom/budget/BudgetRecord.h"

#include "gentianloom/base/Ids.h"
#include "gentianloom/base/JsonReader.h"

#include <algorithm>
#include <vector>

namespace gentianloom {

Tokens HolderRecord::Received() const
{
  Tokens n = 0;
  for (const auto& [giver, tokens] : mReceived) {
    n += tokens;
  }
  return n;
}

Tokens BudgetRecord::Granted() const
{
  Tokens n = mClosed.NetGranted();
  for (const auto& [name, it] : mHolders) {
    n += it.NetGranted();
  }
  return n;
}

Tokens BudgetRecord::Spent() const
{
  Tokens n = mClosed.mSpent;
  for (const auto& [name, it] : mHolders) {
    n += it.mSpent;
  }
  return n;
}

Tokens BudgetRecord::ReceivedFrom(const std::string& aGiver) const
{
  const auto receivedBy = [&aGiver](const HolderRecord& it) {
    const auto found = it.mReceived.find(aGiver);
    return found == it.mReceived.end() ? Tokens{ 0 } : found->second;
  };
  Tokens n = receivedBy(mClosed);
  for (const auto& [name, it] : mHolders) {
    n += receivedBy(it);
  }
  return n;
}

void BudgetRecord::UpdatePrepaid(Tokens aPrepaid, std::int64_t aVersion)
{
  if (aVersion > mVersion) {
    mPrepaid = aPrepaid;
    mVersion = aVersion;
  }
}

void BudgetRecord::CloseHolder(const std::string& aIncarnation)
{
  const auto it = mHolders.find(aIncarnation);
  if (it == mHolders.end()) {
    return;
  }
  const auto& closing = it->second;
  mClosed.mGranted += closing.mGranted;
  mClosed.mReturned += closing.mReturned;
  mClosed.mSpent += closing.mSpent;
  mClosed.mGiven += closing.mGiven;
  for (const auto& [giver, tokens] : closing.mReceived) {
    // The giver's name is needed only while an operator may still release the giver.
    mClosed.mReceived[mHolders.contains(giver) ? giver : std::string()] += tokens;
  }
  mHolders.erase(it);
  const auto known = mClosed.mReceived.find(aIncarnation);
  if (known != mClosed.mReceived.end()) {
    const auto tokens = known->second;
    mClosed.mReceived.erase(known);
    mClosed.mReceived[""] += tokens;
  }
}

void ShardRecord::PruneBills(Millis aNow)
{
  // A bill is kept until every incarnation that may have run the same request has written since.
  auto oldestWriterCommit = mCommits;
  for (const auto& [name, it] : mWriters) {
    oldestWriterCommit = std::min(oldestWriterCommit, it.mCommit);
  }
  std::erase_if(mBills, [&](const auto& it) {
    return it.second.mCommit <= oldestWriterCommit && it.second.mWritten + kRetryWindow < aNow;
  });
  if (mBills.size() <= kMaxBillsPerShard) {
    return;
  }
  std::vector<std::int64_t> commits;
  commits.reserve(mBills.size());
  for (const auto& [key, it] : mBills) {
    commits.push_back(it.mCommit);
  }
  const auto cut = commits.begin() + static_cast<std::ptrdiff_t>(mBills.size() - kMaxBillsPerShard);
  std::nth_element(commits.begin(), cut, commits.end());
  mPruned = std::max(mPruned, *cut);
  std::erase_if(mBills, [this](const auto& it) { return it.second.mCommit <= mPruned; });
}

std::optional<SeparateHoldings> SeparateHolder(ShardRecord& aShard, const std::string& aIncarnation)
{
  const auto writer = aShard.mWriters.find(aIncarnation);
  if (writer == aShard.mWriters.end()) {
    return std::nullopt;
  }
  SeparateHoldings out;
  out.mWriter = writer->second;
  aShard.mWriters.erase(writer);
  for (auto& [name, budget] : aShard.mBudgets) {
    const auto found = budget.mHolders.find(aIncarnation);
    if (found == budget.mHolders.end() || found->second.mGiven != 0 ||
        !found->second.mReceived.empty() || found->second.mReleased) {
      continue;
    }
    out.mHolders[name] = found->second;
    budget.mClosed.mGranted += found->second.mGranted;
    budget.mClosed.mReturned += found->second.mReturned;
    budget.mClosed.mSpent += found->second.mSpent;
    ++budget.mSeparateHolders;
    budget.mHolders.erase(found);
  }
  return out;
}

void InsertHolder(ShardRecord& aShard,
                  const std::string& aIncarnation,
                  const SeparateHoldings& aHoldings)
{
  aShard.mWriters[aIncarnation] = aHoldings.mWriter;
  for (const auto& [name, it] : aHoldings.mHolders) {
    auto& budget = aShard.mBudgets[name];
    budget.mClosed.mGranted -= it.mGranted;
    budget.mClosed.mReturned -= it.mReturned;
    budget.mClosed.mSpent -= it.mSpent;
    budget.mSeparateHolders = std::max(0, budget.mSeparateHolders - 1);
    budget.mHolders[aIncarnation] = it;
  }
}

int ShardOf(std::string_view aBudget)
{
  return static_cast<int>(StableHash(aBudget) % kShards);
}

std::string ShardKey(int aShard)
{
  return "/gentianloom/budget-shards/" + std::to_string(aShard);
}

namespace {

Json HolderJson(const HolderRecord& aHolder)
{
  Json out = { { "granted", aHolder.mGranted }, { "spent", aHolder.mSpent } };
  if (aHolder.mReturned != 0) {
    out["returned"] = aHolder.mReturned;
  }
  if (aHolder.mGiven != 0) {
    out["given"] = aHolder.mGiven;
  }
  if (!aHolder.mReceived.empty()) {
    out["received"] = aHolder.mReceived;
  }
  if (aHolder.mReleased) {
    out["released"] = true;
  }
  return out;
}

/// Returns an object of an object; throws Json::exception if it is missing or of another type,
/// which must not be taken for an empty one.
const Json::object_t& ObjectAt(const Json& aJson, const char* aName)
{
  return aJson.at(aName).get_ref<const Json::object_t&>();
}

HolderRecord ReadHolder(const Json& aJson)
{
  HolderRecord out;
  out.mGranted = aJson.at("granted").get<Tokens>();
  out.mSpent = aJson.at("spent").get<Tokens>();
  out.mReturned = aJson.value("returned", Tokens{ 0 });
  out.mGiven = aJson.value("given", Tokens{ 0 });
  if (aJson.contains("received")) {
    out.mReceived = aJson["received"].get<std::map<std::string, Tokens>>();
  }
  out.mReleased = aJson.value("released", false);
  return out;
}

Json WriterJson(const WriterRecord& aWriter)
{
  return Json::array({ aWriter.mBatch, aWriter.mCommit, aWriter.mWritten.count() });
}

WriterRecord ReadWriter(const Json& aJson)
{
  return { aJson.at(0).get<std::int64_t>(),
           aJson.at(1).get<std::int64_t>(),
           Millis(aJson.at(2).get<std::int64_t>()) };
}

Json BudgetJson(const BudgetRecord& aBudget)
{
  Json holders = Json::object();
  for (const auto& [name, it] : aBudget.mHolders) {
    holders[name] = HolderJson(it);
  }
  Json usage = Json::array();
  for (const auto& [key, tokens] : aBudget.mUsage) {
    usage.push_back(Json::array({ key.mOrganisation, key.mModel, key.mDay, tokens }));
  }
  Json out = { { "prepaid", aBudget.mPrepaid },
               { "version", aBudget.mVersion },
               { "holders", std::move(holders) },
               { "closed", HolderJson(aBudget.mClosed) },
               { "usage", std::move(usage) } };
  if (aBudget.mSeparateHolders != 0) {
    out["separate"] = aBudget.mSeparateHolders;
  }
  return out;
}

BudgetRecord ReadBudget(const Json& aJson)
{
  BudgetRecord out;
  out.mPrepaid = aJson.at("prepaid").get<Tokens>();
  out.mVersion = aJson.at("version").get<std::int64_t>();
  for (const auto& [name, it] : ObjectAt(aJson, "holders")) {
    out.mHolders[name] = ReadHolder(it);
  }
  out.mClosed = ReadHolder(aJson.at("closed"));
  out.mSeparateHolders = aJson.value("separate", 0);
  for (const auto& it : aJson.at("usage")) {
    out.mUsage[{
      it.at(0).get<std::string>(), it.at(1).get<std::string>(), it.at(2).get<std::int64_t>() }] =
      it.at(3).get<Tokens>();
  }
  return out;
}

ShardRecord ReadShard(const Json& aJson)
{
  ShardRecord out;
  out.mEra = aJson.value("era", std::int64_t{ 0 });
  out.mCommits = aJson.at("commits").get<std::int64_t>();
  out.mPruned = aJson.at("pruned").get<std::int64_t>();
  for (const auto& [name, it] : ObjectAt(aJson, "writers")) {
    out.mWriters[name] = ReadWriter(it);
  }
  for (const auto& [name, it] : ObjectAt(aJson, "budgets")) {
    out.mBudgets[name] = ReadBudget(it);
  }
  for (const auto& [key, it] : ObjectAt(aJson, "bills")) {
    out.mBills[key] = { it.at(0).get<Tokens>(),
                        it.at(1).get<std::int64_t>(),
                        Millis(it.at(2).get<std::int64_t>()) };
  }
  return out;
}

} // namespace

nlohmann::json ToJson(const SeparateHoldings& aHoldings)
{
  Json holders = Json::object();
  for (const auto& [name, it] : aHoldings.mHolders) {
    holders[name] = HolderJson(it);
  }
  return { { "writer", WriterJson(aHoldings.mWriter) }, { "holders", std::move(holders) } };
}

SeparateHoldings ParseSeparateHoldings(const nlohmann::json& aJson)
{
  SeparateHoldings out;
  out.mWriter = ReadWriter(aJson.at("writer"));
  for (const auto& [name, it] : ObjectAt(aJson, "holders")) {
    out.mHolders[name] = ReadHolder(it);
  }
  return out;
}

Result<ShardRecord> ParseShard(std::string_view aText)
{
  if (aText.empty()) {
    return ShardRecord{};
  }
  try {
    return ReadShard(Json::parse(aText));
  } catch (const Json::exception& ex) {
    return MakeError(ErrorCode::Internal,
                     Step::GrantRead,
                     "key-value service",
                     std::string("a budget shard cannot be parsed: ") + ex.what() +
                       "; no tokens of its budgets are granted until it is restored");
  }
}

std::string SerializeShard(const ShardRecord& aShard)
{
  Json writers = Json::object();
  for (const auto& [name, it] : aShard.mWriters) {
    writers[name] = WriterJson(it);
  }
  Json budgets = Json::object();
  for (const auto& [name, it] : aShard.mBudgets) {
    budgets[name] = BudgetJson(it);
  }
  Json bills = Json::object();
  for (const auto& [key, it] : aShard.mBills) {
    bills[key] = Json::array({ it.mTokens, it.mCommit, it.mWritten.count() });
  }
  return Json{
    { "era", aShard.mEra },
    { "commits", aShard.mCommits },
    { "pruned", aShard.mPruned },
    { "writers", std::move(writers) },
    { "budgets", std::move(budgets) },
    { "bills", std::move(bills) }
  }.dump();
}

} // namespace gentianloom
