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

/// Size that a chunk should have, bytes; the number of partitions follows from it.
inline constexpr std::size_t kChunkTargetBytes = 64 * 1024;

/// Largest chunk that is stored, bytes; the key-value service takes values up to a megabyte.
inline constexpr std::size_t kMaxChunkBytes = 900 * 1024;

/// A stored text; shared, since versions have most chunks in common.
using ChunkText = std::shared_ptr<const std::string>;

/// One chunk of a configuration, as the manifest lists it.
struct ChunkRef
{
  std::string mSection;          ///< `organisations`, `budgets`, `endpoints` or `rest`
  std::uint32_t mPartition = 0;  ///< entries whose name hashes here
  std::uint32_t mPartitions = 1; ///< a power of two
  std::string mDigest;
};

/// All chunks of one configuration.
using Manifest = std::vector<ChunkRef>;

/**
 * @brief A configuration cut into immutable chunks that are addressed by their digests.
 *
 * Organisations, budgets and endpoints are partitioned by a hash of their names, so a small change
 * rewrites one chunk and the manifest. The manifest is a chunk too; its digest stands for the
 * whole.
 */
struct ChunkSet
{
  std::string mDigest; ///< of the manifest
  Manifest mManifest;
  std::map<std::string, ChunkText, std::less<>> mTexts; ///< by digest, with the manifest

  /// @brief Bytes of all chunks. @par Complexity linear in the chunks
  std::size_t TotalBytes() const;
};

/**
 * @brief Cuts a configuration into chunks; equal configurations give equal chunks.
 * @return the chunks, or ErrorCode::BodyTooLarge if one cannot be stored
 * @par Complexity n log n in the entries
 */
Result<ChunkSet> SplitConfiguration(const Configuration& aConfiguration);

/// @brief Reads a manifest. @return ErrorCode::Internal if it is not one
Result<Manifest> ParseManifest(std::string_view aText);

/// @brief Digests that a manifest lists and a set lacks.
std::vector<std::string> FindMissingDigests(const Manifest& aManifest, const ChunkSet& aSet);

/// @brief Checks that a text is what its digest names.
bool MatchesDigest(std::string_view aText, std::string_view aDigest);

/// A configuration with the chunks that it was read from.
struct ChunkedConfiguration
{
  const Configuration& mSpec;
  const ChunkSet& mChunks;
};

/**
 * @brief Reads a complete set of chunks.
 * @param aPrevious an earlier version whose unchanged partitions are copied, not parsed; or null
 * @return the configuration, or ErrorCode::Internal if a chunk is lacking or not readable
 * @par Complexity linear in the entries; parsing only of chunks that changed
 */
Result<Configuration> AssembleConfiguration(const ChunkSet& aSet,
                                            const ChunkedConfiguration* aPrevious);

} // namespace gentianloom

#endif
