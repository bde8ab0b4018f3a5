#ifndef GENTIANLOOM_GATEWAY_PLATFORM_PROTOCOL_H
#define GENTIANLOOM_GATEWAY_PLATFORM_PROTOCOL_H

#include "gentianloom/relay/RequestCodec.h"
#include "gentianloom/routing/EndpointRegistry.h"
#include "gentianloom/routing/RouteTable.h"

#include <span>
#include <string>
#include <string_view>

namespace gentianloom {

/**
 * @brief Translates what surrounds a gateway: its records in the key-value service and its calls.
 */
class PlatformProtocol
{
public:
  virtual ~PlatformProtocol() = default;

  virtual const RequestCodec& Codec() const = 0;

  /// @brief Key of the configuration that operators write.
  virtual std::string ConfigurationKey() const = 0;

  /// @brief Start of the keys under which endpoints list themselves; what follows is their name.
  virtual std::string EndpointPrefix() const = 0;

  /// @brief Reads a configuration. @return ErrorCode::MalformedJson or a code of the 100s
  virtual Result<RoutingConfiguration> DecodeConfiguration(std::string_view aText) const = 0;

  /// @brief Reads an endpoint's entry. @return an error if it names no endpoint that can be used
  virtual Result<EndpointEntry> DecodeEndpoint(std::string_view aId,
                                               std::string_view aText) const = 0;

  /// @brief Availability zone of a caller that asks for addresses; empty if it states none.
  virtual std::string DecodeRequestedZone(std::string_view aTarget) const = 0;

  /// @brief Writes the answer to a caller that asks for addresses.
  virtual std::string EncodeAddresses(std::span<const std::string> aAddresses,
                                      Millis aTtl) const = 0;
};

} // namespace gentianloom

#endif
