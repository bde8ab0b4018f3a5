#include "gentianloom/configuration/Chunks.h"

#include "gentianloom/base/Ids.h"
#include "gentianloom/base/JsonReader.h"
#include "gentianloom/configuration/ConfigurationJson.h"

#include <algorithm>
#include <bit>
#include <set>

namespace gentianloom {

namespace {

constexpr std::string_view kOrganisations = "organisations";
constexpr std::string_view kBudgets = "budgets";
constexpr std::string_view kEndpoints = "endpoints";
constexpr std::string_view kRest = "rest"; ///< the sections that are not partitioned

/// Average serialized size of an entry, bytes; the number of partitions of a section follows from
/// it.
constexpr std::size_t kOrganisationBytes = 256;
constexpr std::size_t kBudgetBytes = 64;
constexpr std::size_t kEndpointBytes = 192;

std::uint32_t ComputePartitionCount(std::size_t aEntries, std::size_t aEntryBytes)
{
  const auto chunks = (aEntries * aEntryBytes + kChunkTargetBytes - 1) / kChunkTargetBytes;
  return static_cast<std::uint32_t>(std::bit_ceil(std::max<std::size_t>(chunks, 1)));
}

std::uint32_t ComputePartition(std::string_view aName, std::uint32_t aPartitions)
{
  return static_cast<std::uint32_t>(StableHash(aName) & (aPartitions - 1));
}

Error MakeChunkError(std::string aText)
{
  return MakeError(
    ErrorCode::Internal, Step::ApplicationSpread, "accepted configuration", std::move(aText));
}

void AddChunk(ChunkSet& aOut, ChunkRef aRef, std::string aText)
{
  aRef.mDigest = KeyDigest(aText);
  aOut.mTexts.emplace(aRef.mDigest, std::make_shared<const std::string>(std::move(aText)));
  aOut.mManifest.push_back(std::move(aRef));
}

/// Adds one section, with its entries partitioned by name.
template<typename T>
void AddSection(ChunkSet& aOut,
                std::string_view aSection,
                const std::vector<T>& aEntries,
                std::size_t aEntryBytes)
{
  const auto n = ComputePartitionCount(aEntries.size(), aEntryBytes);
  std::vector<std::vector<const T*>> partitions(n);
  for (const auto& it : aEntries) {
    partitions[ComputePartition(it.mName, n)].push_back(&it);
  }
  for (std::uint32_t at = 0; at < n; ++at) {
    auto& entries = partitions[at];
    std::sort(entries.begin(), entries.end(), [](const T* aLeft, const T* aRight) {
      return aLeft->mName < aRight->mName;
    });
    std::string text = "{\"" + std::string(aSection) + "\":[";
    for (const auto* it : entries) {
      text += (text.back() == '[' ? "" : ",") + SerializeEntry(*it);
    }
    AddChunk(aOut, { std::string(aSection), at, n, "" }, text + "]}");
  }
}

std::string SerializeManifest(const Manifest& aManifest)
{
  Json list = Json::array();
  for (const auto& it : aManifest) {
    list.push_back({ it.mSection, it.mPartition, it.mPartitions, it.mDigest });
  }
  return Json{ { "chunks", list } }.dump();
}

/// Section and number of the partitions that have the same content in an earlier version.
using Unchanged = std::set<std::pair<std::string, std::uint32_t>>;

Unchanged FindUnchanged(const Manifest& aManifest, const Manifest& aPrevious)
{
  std::map<std::string_view, const ChunkRef*> previousRefs;
  for (const auto& it : aPrevious) {
    previousRefs.emplace(it.mDigest, &it);
  }
  Unchanged out;
  for (const auto& it : aManifest) {
    const auto found = previousRefs.find(it.mDigest);
    if (found == previousRefs.end()) {
      continue;
    }
    const auto& previous = *found->second;
    if (previous.mSection == it.mSection && previous.mPartition == it.mPartition &&
        previous.mPartitions == it.mPartitions) {
      out.emplace(it.mSection, it.mPartition);
    }
  }
  return out;
}

/// Copies the entries of one section that lie in unchanged partitions.
template<typename T>
void CopyUnchanged(const std::vector<T>& aFrom,
                   std::string_view aSection,
                   const ChunkSet& aSet,
                   const Unchanged& aUnchanged,
                   std::vector<T>& aOut)
{
  std::uint32_t n = 1;
  for (const auto& it : aSet.mManifest) {
    n = it.mSection == aSection ? it.mPartitions : n;
  }
  std::vector<bool> isUnchanged(n);
  for (std::uint32_t at = 0; at < n; ++at) {
    isUnchanged[at] = aUnchanged.contains({ std::string(aSection), at });
  }
  aOut.reserve(aFrom.size());
  for (const auto& it : aFrom) {
    if (isUnchanged[ComputePartition(it.mName, n)]) {
      aOut.push_back(it);
    }
  }
}

template<typename T>
void MoveAppend(std::vector<T>& aOut, std::vector<T>& aFrom)
{
  aOut.insert(
    aOut.end(), std::make_move_iterator(aFrom.begin()), std::make_move_iterator(aFrom.end()));
}

void AppendEntries(Configuration& aOut, Configuration& aEntries, const std::string& aSection)
{
  MoveAppend(aOut.mOrganisations, aEntries.mOrganisations);
  MoveAppend(aOut.mBudgets, aEntries.mBudgets);
  MoveAppend(aOut.mEndpoints, aEntries.mEndpoints);
  if (aSection != kRest) {
    return;
  }
  aOut.mDeployment = std::move(aEntries.mDeployment);
  aOut.mTeams = std::move(aEntries.mTeams);
  aOut.mModels = std::move(aEntries.mModels);
  aOut.mServices = std::move(aEntries.mServices);
  aOut.mObjectives = aEntries.mObjectives;
}

/// Copies the sections that are not partitioned.
Configuration CopyRest(const Configuration& aConfiguration)
{
  Configuration out;
  out.mDeployment = aConfiguration.mDeployment;
  out.mTeams = aConfiguration.mTeams;
  out.mModels = aConfiguration.mModels;
  out.mServices = aConfiguration.mServices;
  out.mObjectives = aConfiguration.mObjectives;
  return out;
}

} // namespace

std::size_t ChunkSet::TotalBytes() const
{
  std::size_t n = 0;
  for (const auto& it : mTexts) {
    n += it.second->size();
  }
  return n;
}

Result<ChunkSet> SplitConfiguration(const Configuration& aConfiguration)
{
  ChunkSet out;
  AddSection(out, kOrganisations, aConfiguration.mOrganisations, kOrganisationBytes);
  AddSection(out, kBudgets, aConfiguration.mBudgets, kBudgetBytes);
  AddSection(out, kEndpoints, aConfiguration.mEndpoints, kEndpointBytes);
  AddChunk(out, { std::string(kRest), 0, 1, "" }, SerializeConfiguration(CopyRest(aConfiguration)));
  auto text = SerializeManifest(out.mManifest);
  out.mDigest = KeyDigest(text);
  out.mTexts.emplace(out.mDigest, std::make_shared<const std::string>(std::move(text)));
  for (const auto& it : out.mTexts) {
    if (it.second->size() > kMaxChunkBytes) {
      return MakeError(ErrorCode::BodyTooLarge,
                       Step::ApplicationCheck,
                       "file",
                       "a chunk of the configuration has " + std::to_string(it.second->size()) +
                         " bytes, more than the limit of " + std::to_string(kMaxChunkBytes) +
                         "; shorten names, key lists, models or services");
    }
  }
  return out;
}

Result<Manifest> ParseManifest(std::string_view aText)
{
  const auto json = Json::parse(aText, nullptr, false);
  if (!json.is_object() || !json.contains("chunks")) {
    return MakeChunkError("the manifest is malformed; apply a configuration again");
  }
  Manifest out;
  for (const auto& it : json["chunks"]) {
    if (!it.is_array() || it.size() != 4 || !it[0].is_string() || !it[1].is_number_unsigned() ||
        !it[2].is_number_unsigned() || !it[3].is_string() ||
        !std::has_single_bit(it[2].get<std::uint32_t>())) {
      return MakeChunkError("an entry of the manifest is malformed; apply a configuration again");
    }
    out.push_back({ it[0].get<std::string>(),
                    it[1].get<std::uint32_t>(),
                    it[2].get<std::uint32_t>(),
                    it[3].get<std::string>() });
  }
  return out;
}

std::vector<std::string> FindMissingDigests(const Manifest& aManifest, const ChunkSet& aSet)
{
  std::vector<std::string> out;
  for (const auto& it : aManifest) {
    if (!aSet.mTexts.contains(it.mDigest)) {
      out.push_back(it.mDigest);
    }
  }
  std::sort(out.begin(), out.end());
  out.erase(std::unique(out.begin(), out.end()), out.end());
  return out;
}

bool MatchesDigest(std::string_view aText, std::string_view aDigest)
{
  return KeyDigest(aText) == aDigest;
}

Result<Configuration> AssembleConfiguration(const ChunkSet& aSet,
                                            const ChunkedConfiguration* aPrevious)
{
  Configuration out;
  Unchanged unchanged;
  if (aPrevious != nullptr) {
    unchanged = FindUnchanged(aSet.mManifest, aPrevious->mChunks.mManifest);
    const auto& from = aPrevious->mSpec;
    CopyUnchanged(from.mOrganisations, kOrganisations, aSet, unchanged, out.mOrganisations);
    CopyUnchanged(from.mBudgets, kBudgets, aSet, unchanged, out.mBudgets);
    CopyUnchanged(from.mEndpoints, kEndpoints, aSet, unchanged, out.mEndpoints);
  }
  for (const auto& ref : aSet.mManifest) {
    if (ref.mSection != kRest && unchanged.contains({ ref.mSection, ref.mPartition })) {
      continue;
    }
    const auto text = aSet.mTexts.find(ref.mDigest);
    if (text == aSet.mTexts.end()) {
      return MakeChunkError("the chunk " + ref.mDigest + " is missing; it will be fetched again");
    }
    auto entries = ParseChunk(*text->second, ref.mDigest);
    if (!entries.mErrors.empty()) {
      return entries.mErrors.front();
    }
    AppendEntries(out, entries.mConfiguration, ref.mSection);
  }
  return out;
}

} // namespace gentianloom
