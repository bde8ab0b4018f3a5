#include "gentianloom/configuration/ConfigurationJson.h"

#include "gentianloom/base/JsonReader.h"

#include <algorithm>
#include <set>

namespace gentianloom {

namespace {

constexpr std::int64_t kMaxTokens = 1'000'000'000'000'000;
constexpr std::int64_t kMaxOutputTokens = 1'000'000;
constexpr std::int64_t kMaxWeight = 1000;
constexpr std::int64_t kMaxPriority = 100;
constexpr std::int64_t kMaxSlots = 100'000;
constexpr std::int64_t kMaxMillis = 3'600'000;
constexpr std::size_t kMaxNamesSearched = 500;

EndpointRole ReadRole(JsonReader& aReader)
{
  const auto text = aReader.StringOr("role", "both");
  if (text == "prefill") {
    return EndpointRole::Prefill;
  }
  if (text == "decode") {
    return EndpointRole::Decode;
  }
  if (text != "both") {
    aReader.AddError(ErrorCode::OutOfRange, "role", "must be \"both\", \"prefill\" or \"decode\"");
  }
  return EndpointRole::Both;
}

OrganisationSpec ReadOrganisation(JsonReader& aReader)
{
  OrganisationSpec out;
  out.mName = aReader.String("name");
  out.mTeam = aReader.String("team");
  out.mBudget = aReader.StringOr("budget", "");
  out.mKeyDigests = aReader.Strings("keyDigests");
  out.mWeight = aReader.IntegerOr("weight", 1, 1, kMaxWeight);
  out.mPriority = aReader.IntegerOr("priority", 0, 0, kMaxPriority);
  for (const auto& it : out.mKeyDigests) {
    constexpr std::size_t kDigestLength = 71;
    if (!it.starts_with("sha256:") || it.size() != kDigestLength) {
      aReader.AddError(ErrorCode::WrongType,
                       "keyDigests",
                       "must be \"sha256:\" and 64 hexadecimal digits; make one with "
                       "`gentianloom key digest`");
    }
  }
  return out;
}

ModelSpec ReadModel(JsonReader& aReader)
{
  ModelSpec out;
  out.mName = aReader.String("name");
  out.mVersion = aReader.String("version");
  out.mAdapters = aReader.Strings("adapters");
  out.mMaxOutputTokens = aReader.IntegerOr("mostOutputTokens", 4096, 1, kMaxOutputTokens);
  out.mWeightBytes = aReader.IntegerOr("weightBytes", 0, 0, INT64_MAX);
  return out;
}

EndpointSpec ReadEndpoint(JsonReader& aReader)
{
  EndpointSpec out;
  out.mName = aReader.String("name");
  out.mZone = aReader.String("zone");
  out.mModel = aReader.String("model");
  out.mAdapters = aReader.Strings("adapters");
  out.mRole = ReadRole(aReader);
  out.mChecksFencing = aReader.BoolOr("checksFencing", false);
  out.mSlots = aReader.IntegerOr("slots", 32, 1, kMaxSlots);
  return out;
}

ServiceSpec ReadService(JsonReader& aReader)
{
  ServiceSpec out;
  out.mName = aReader.String("name");
  out.mEndpoints = aReader.Strings("endpoints");
  aReader.Objects("calls", [&out](JsonReader& aCall) {
    ServiceCallSpec call;
    call.mMethod = aCall.String("method");
    call.mPath = aCall.String("path");
    call.mIsIdempotent = aCall.BoolOr("repeatable", false);
    out.mCalls.push_back(std::move(call));
  });
  return out;
}

ObjectivesSpec ReadObjectives(JsonReader& aReader)
{
  ObjectivesSpec out;
  out.mFirstTokenMs = aReader.IntegerOr("firstTokenMs", out.mFirstTokenMs, 1, kMaxMillis);
  out.mBetweenTokensMs = aReader.IntegerOr("betweenTokensMs", out.mBetweenTokensMs, 1, kMaxMillis);
  out.mLatencyTargetShare = aReader.NumberOr("shareWithin", out.mLatencyTargetShare, 0, 1);
  out.mDeadlineTargetShare = aReader.NumberOr("answeredInDeadline", out.mDeadlineTargetShare, 0, 1);
  out.mMaxWrongRefusalShare = aReader.NumberOr("wrongRefusals", out.mMaxWrongRefusalShare, 0, 1);
  return out;
}

void ReadDocument(JsonReader& aReader, Configuration& aOut)
{
  aOut.mDeployment = aReader.StringOr("deployment", "");
  aReader.Objects("teams", [&](JsonReader& it) { aOut.mTeams.push_back({ it.String("name") }); });
  aReader.Objects("organisations",
                  [&](JsonReader& it) { aOut.mOrganisations.push_back(ReadOrganisation(it)); });
  aReader.Objects("budgets", [&](JsonReader& it) {
    aOut.mBudgets.push_back({ it.String("name"), it.Integer("prepaidTokens", 0, kMaxTokens) });
  });
  aReader.Objects("models", [&](JsonReader& it) { aOut.mModels.push_back(ReadModel(it)); });
  aReader.Objects("endpoints",
                  [&](JsonReader& it) { aOut.mEndpoints.push_back(ReadEndpoint(it)); });
  aReader.Objects("services", [&](JsonReader& it) { aOut.mServices.push_back(ReadService(it)); });
  aReader.Object("objectives", [&](JsonReader& it) { aOut.mObjectives = ReadObjectives(it); });
}

/// Checks that the names of a list are unique. @return the names
template<typename T>
std::set<std::string> CheckUniqueNames(const std::vector<T>& aList,
                                       std::string_view aListName,
                                       JsonReader& aReader)
{
  std::set<std::string> names;
  std::size_t n = 0;
  for (const auto& it : aList) {
    const auto where = std::string(aListName) + "/" + std::to_string(n++) + "/name";
    if (!it.mName.empty() && !names.insert(it.mName).second) {
      aReader.AddError(ErrorCode::DuplicateName,
                       where,
                       "\"" + it.mName + "\" is defined twice; give each entry a unique name");
    }
  }
  return names;
}

/// Checks that a reference names an entry that the file defines; an empty name is no reference.
void CheckReference(const std::string& aName,
                    const std::set<std::string>& aKnown,
                    const std::string& aWhere,
                    std::string_view aKind,
                    JsonReader& aReader)
{
  if (aName.empty() || aKnown.contains(aName)) {
    return;
  }
  // The search for the nearest name compares with every name, so only small lists are searched.
  std::vector<std::string> known;
  if (aKnown.size() <= kMaxNamesSearched) {
    known.assign(aKnown.begin(), aKnown.end());
  }
  const auto nearest = FindNearestWord(aName, known);
  std::string text =
    "names the " + std::string(aKind) + " \"" + aName + "\", which this file does not define";
  text += nearest.empty() ? std::string("; define it or remove the reference")
                          : "; did you mean \"" + std::string(nearest) + "\"?";
  aReader.AddError(ErrorCode::UnknownReference, aWhere, std::move(text));
}

/// Checks that the adapters of each endpoint are adapters of its model.
void CheckAdapters(const Configuration& aConfiguration, JsonReader& aReader)
{
  for (std::size_t n = 0; n < aConfiguration.mEndpoints.size(); ++n) {
    const auto& endpoint = aConfiguration.mEndpoints[n];
    const auto model = std::find_if(aConfiguration.mModels.begin(),
                                    aConfiguration.mModels.end(),
                                    [&](const auto& it) { return it.mName == endpoint.mModel; });
    if (model == aConfiguration.mModels.end()) {
      continue;
    }
    const std::set<std::string> adapters(model->mAdapters.begin(), model->mAdapters.end());
    for (const auto& it : endpoint.mAdapters) {
      CheckReference(
        it, adapters, "endpoints/" + std::to_string(n) + "/adapters", "adapter", aReader);
    }
  }
}

/// Checks that no key digest occurs twice.
void CheckKeys(const Configuration& aConfiguration, JsonReader& aReader)
{
  std::set<std::string> digests;
  std::size_t n = 0;
  for (const auto& organisation : aConfiguration.mOrganisations) {
    const auto where = "organisations/" + std::to_string(n++) + "/keyDigests";
    for (const auto& it : organisation.mKeyDigests) {
      if (!digests.insert(it).second) {
        aReader.AddError(ErrorCode::DuplicateName,
                         where,
                         "the key digest " + it +
                           " is used twice; a key must belong to a single organisation");
      }
    }
  }
}

void CheckDocument(const Configuration& aConfiguration, JsonReader& aReader)
{
  const auto teams = CheckUniqueNames(aConfiguration.mTeams, "teams", aReader);
  const auto budgets = CheckUniqueNames(aConfiguration.mBudgets, "budgets", aReader);
  const auto models = CheckUniqueNames(aConfiguration.mModels, "models", aReader);
  CheckUniqueNames(aConfiguration.mOrganisations, "organisations", aReader);
  CheckUniqueNames(aConfiguration.mEndpoints, "endpoints", aReader);
  CheckUniqueNames(aConfiguration.mServices, "services", aReader);
  for (std::size_t n = 0; n < aConfiguration.mOrganisations.size(); ++n) {
    const auto& it = aConfiguration.mOrganisations[n];
    const auto where = "organisations/" + std::to_string(n);
    CheckReference(it.mTeam, teams, where + "/team", "team", aReader);
    CheckReference(it.mBudget, budgets, where + "/budget", "budget", aReader);
  }
  for (std::size_t n = 0; n < aConfiguration.mEndpoints.size(); ++n) {
    const auto& it = aConfiguration.mEndpoints[n];
    CheckReference(
      it.mModel, models, "endpoints/" + std::to_string(n) + "/model", "model", aReader);
  }
  CheckAdapters(aConfiguration, aReader);
  CheckKeys(aConfiguration, aReader);
}

} // namespace

ParsedConfiguration ParseConfiguration(std::string_view aText, std::string_view aSource)
{
  ParsedConfiguration out;
  auto json = ParseJson(aText, aSource, Step::ApplicationCheck);
  if (!json) {
    out.mErrors.push_back(json.error());
    return out;
  }
  JsonReader::Sink sink{ std::string(aSource), Step::ApplicationCheck };
  JsonReader reader(json.value(), "", sink);
  ReadDocument(reader, out.mConfiguration);
  reader.String("deployment");
  CheckDocument(out.mConfiguration, reader);
  reader.Finish();
  out.mErrors = std::move(sink.mErrors);
  return out;
}

ParsedConfiguration ParseChunk(std::string_view aText, std::string_view aSource)
{
  ParsedConfiguration out;
  auto json = ParseJson(aText, aSource, Step::ApplicationSpread);
  if (!json) {
    out.mErrors.push_back(json.error());
    return out;
  }
  JsonReader::Sink sink{ std::string(aSource), Step::ApplicationSpread };
  JsonReader reader(json.value(), "", sink);
  ReadDocument(reader, out.mConfiguration);
  reader.Finish();
  out.mErrors = std::move(sink.mErrors);
  return out;
}

} // namespace gentianloom
