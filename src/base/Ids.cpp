#include "gentianloom/base/Ids.h"

#include <Poco/DigestEngine.h>
#include <Poco/RandomStream.h>
#include <Poco/SHA2Engine.h>

#include <array>

#include <xxhash.h>

namespace gentianloom {

namespace {
constexpr std::size_t kIdBytes = 16;
}

std::string MakeId(std::string_view aPrefix)
{
  std::array<char, kIdBytes> buf{};
  Poco::RandomInputStream in;
  in.read(buf.data(), buf.size());
  Poco::DigestEngine::Digest bytes(buf.begin(), buf.end());
  return std::string(aPrefix) + "-" + Poco::DigestEngine::digestToHex(bytes);
}

std::string KeyDigest(std::string_view aKey)
{
  Poco::SHA2Engine engine(Poco::SHA2Engine::SHA_256);
  engine.update(aKey.data(), aKey.size());
  return "sha256:" + Poco::DigestEngine::digestToHex(engine.digest());
}

std::uint64_t StableHash(std::string_view aBytes, std::uint64_t aSeed)
{
  return XXH64(aBytes.data(), aBytes.size(), aSeed);
}

} // namespace gentianloom
