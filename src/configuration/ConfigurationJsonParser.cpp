#include "gentianloom/configuration/ConfigurationJson.h"

#include "gentianloom/base/JsonReader.h"

#include <algorithm>
#include <set>

namespace gentianloom {

namespace {

constexpr std::int64_t kMostTokens = 1'000'000'000'000'000;
constexpr std::int64_t kMostOutputTokens = 1'000'000;
constexpr std::int64_t kMostWeight = 1000;
constexpr std::int64_t kMostPriority = 100;
constexpr std::int64_t kMostSlots = 100'000;
constexpr std::int64_t kMostMillis = 3'600'000;
constexpr std::size_t kMostNamesSearched = 500;

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
    aReader.Fail(ErrorCode::OutOfRange, "role", "must be \"both\", \"prefill\" or \"decode\"");
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
  out.mWeight = aReader.IntegerOr("weight", 1, 1, kMostWeight);
  out.mPriority = aReader.IntegerOr("priority", 0, 0, kMostPriority);
  for (const auto& it : out.mKeyDigests) {
    constexpr std::size_t kDigestLength = 71;
    if (!it.starts_with("sha256:") || it.size() != kDigestLength) {
      aReader.Fail(ErrorCode::WrongType,
                   "keyDigests",
                   "must hold \"sha256:\" and 64 hexadecimal digits; make one with "
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
  out.mMaxOutputTokens = aReader.IntegerOr("mostOutputTokens", 4096, 1, kMostOutputTokens);
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
  out.mSlots = aReader.IntegerOr("slots", 32, 1, kMostSlots);
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
  out.mFirstTokenMs = aReader.IntegerOr("firstTokenMs", out.mFirstTokenMs, 1, kMostMillis);
  out.mBetweenTokensMs = aReader.IntegerOr("betweenTokensMs", out.mBetweenTokensMs, 1, kMostMillis);
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
    aOut.mBudgets.push_back({ it.String("name"), it.Integer("prepaidTokens", 0, kMostTokens) });
  });
  aReader.Objects("models", [&](JsonReader& it) { aOut.mModels.push_back(ReadModel(it)); });
  aReader.Objects("endpoints",
                  [&](JsonReader& it) { aOut.mEndpoints.push_back(ReadEndpoint(it)); });
  aReader.Objects("services", [&](JsonReader& it) { aOut.mServices.push_back(ReadService(it)); });
  aReader.Object("objectives", [&](JsonReader& it) { aOut.mObjectives = ReadObjectives(it); });
}

/// Checks that the names of one list are unique, and returns them.
template<typename T>
std::set<std::string> UniqueNames(const std::vector<T>& aList,
                                  std::string_view aListName,
                                  JsonReader& aReader)
{
  std::set<std::string> names;
  std::size_t n = 0;
  for (const auto& it : aList) {
    const auto where = std::string(aListName) + "/" + std::to_string(n++) + "/name";
    if (!it.mName.empty() && !names.insert(it.mName).second) {
      aReader.Fail(ErrorCode::DuplicateName,
                   where,
                   "\"" + it.mName + "\" is stated twice; give each entry a name of its own");
    }
  }
  return names;
}

/// Checks that a name refers to something that the file states.
void CheckReference(const std::string& aName,
                    const std::set<std::string>& aKnown,
                    const std::string& aWhere,
                    std::string_view aKind,
                    JsonReader& aReader)
{
  if (aName.empty() || aKnown.contains(aName)) {
    return;
  }
  // Looking for a near name costs a pass over all names, so only small lists are searched.
  std::vector<std::string> known;
  if (aKnown.size() <= kMostNamesSearched) {
    known.assign(aKnown.begin(), aKnown.end());
  }
  const auto near = NearestWord(aName, known);
  std::string text =
    "names the " + std::string(aKind) + " \"" + aName + "\", which this file does not state";
  text += near.empty() ? std::string("; state it or remove the name")
                       : "; did you mean \"" + std::string(near) + "\"?";
  aReader.Fail(ErrorCode::UnknownReference, aWhere, std::move(text));
}

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

void CheckKeys(const Configuration& aConfiguration, JsonReader& aReader)
{
  std::set<std::string> digests;
  std::size_t n = 0;
  for (const auto& organisation : aConfiguration.mOrganisations) {
    const auto where = "organisations/" + std::to_string(n++) + "/keyDigests";
    for (const auto& it : organisation.mKeyDigests) {
      if (!digests.insert(it).second) {
        aReader.Fail(ErrorCode::DuplicateName,
                     where,
                     "the key digest " + it + " is stated twice; a key names one organisation");
      }
    }
  }
}

void CheckDocument(const Configuration& aConfiguration, JsonReader& aReader)
{
  const auto teams = UniqueNames(aConfiguration.mTeams, "teams", aReader);
  const auto budgets = UniqueNames(aConfiguration.mBudgets, "budgets", aReader);
  const auto models = UniqueNames(aConfiguration.mModels, "models", aReader);
  UniqueNames(aConfiguration.mOrganisations, "organisations", aReader);
  UniqueNames(aConfiguration.mEndpoints, "endpoints", aReader);
  UniqueNames(aConfiguration.mServices, "services", aReader);
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
