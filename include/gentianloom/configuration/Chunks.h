#ifndef GENTIANLOOM_CONFIGURATION_CHUNKS_H
#define GENTIANLOOM_CONFIGURATION_CHUNKS_H

#include "gentianloom/base/Error.h"
#include "gentianloom/configuration/Configuration.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace gentianloom {

/// Target size of a chunk, bytes; the number of partitions of a section follows from it.
inline constexpr std::size_t kChunkTargetBytes = 64 * 1024;

/// Maximum size of a stored chunk, bytes; the key-value service accepts values up to a megabyte.
inline constexpr std::size_t kMaxChunkBytes = 900 * 1024;

/// Text of a chunk; shared by pointer, since successive versions have most chunks in common.
using ChunkText = std::shared_ptr<const std::string>;

/// Reference from a manifest to one chunk.
struct ChunkRef
{
  std::string mSection;          ///< `organisations`, `budgets`, `endpoints` or `rest`
  std::uint32_t mPartition = 0;  ///< the chunk holds the entries whose name hashes to this number
  std::uint32_t mPartitions = 1; ///< number of partitions of the section; a power of two
  std::string mDigest;
};

/// References to all chunks of one configuration.
using Manifest = std::vector<ChunkRef>;

/**
 * @brief A configuration split into immutable, content-addressed chunks.
 *
 * Organisations, budgets and endpoints are partitioned by a hash of their names, so that a small
 * change rewrites only one chunk and the manifest. The manifest is stored as a chunk too; its
 * digest identifies the whole configuration.
 */
struct ChunkSet
{
  std::string mDigest; ///< digest of the manifest
  Manifest mManifest;
  std::map<std::string, ChunkText, std::less<>> mTexts; ///< by digest; includes the manifest

  /// @brief Total size of all chunks, bytes. @par Complexity linear in the number of chunks
  std::size_t TotalBytes() const;
};

/**
 * @brief Splits a configuration into chunks; equal configurations give equal chunks.
 * @return the chunks, or ErrorCode::BodyTooLarge if one exceeds kMaxChunkBytes
 * @par Complexity n log n in the number of entries
 */
Result<ChunkSet> SplitConfiguration(const Configuration& aConfiguration);

/// @brief Parses a manifest. @return the manifest, or ErrorCode::Internal if it is malformed
Result<Manifest> ParseManifest(std::string_view aText);

/// @brief Finds chunks that a manifest refers to and a set lacks. @return their digests, sorted
std::vector<std::string> FindMissingDigests(const Manifest& aManifest, const ChunkSet& aSet);

/// @brief Whether a text has the given digest.
bool MatchesDigest(std::string_view aText, std::string_view aDigest);

/// A configuration together with the chunks that it was read from.
struct ChunkedConfiguration
{
  const Configuration& mSpec;
  const ChunkSet& mChunks;
};

/**
 * @brief Assembles a configuration from a complete set of chunks.
 * @param aPrevious an earlier version, whose entries in unchanged partitions are copied instead of
 *                  parsed; or null
 * @return the configuration, or ErrorCode::Internal if a chunk is missing or cannot be parsed
 * @par Complexity linear in the number of entries; only changed chunks are parsed
 */
Result<Configuration> AssembleConfiguration(const ChunkSet& aSet,
                                            const ChunkedConfiguration* aPrevious);

} // namespace gentianloom

#endif
