#ifndef GENTIANLOOM_TESTS_SUPPORT_SCRIPTED_ENGINE_H
#define GENTIANLOOM_TESTS_SUPPORT_SCRIPTED_ENGINE_H

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <array>
#include <string>
#include <string_view>

namespace gentianloom::testing {

/**
 * @brief An engine whose responses the test writes byte by byte, on its own thread.
 *
 * The engine needs no thread: the client connects and sends its request, which the operating system
 * queues, then the test accepts the connection and responds.
 */
class ScriptedEngine
{
public:
  ScriptedEngine()
    : mServer(Poco::Net::SocketAddress("127.0.0.1", 0))
  {
  }

  std::string Address() const { return mServer.address().toString(); }

  /// @brief Accepts the next connection.
  void AcceptOnly() { mConnection = mServer.acceptConnection(); }

  /// @brief Accepts the next connection and sends the response head of a chunked event stream.
  void Accept()
  {
    AcceptOnly();
    Send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
         "Transfer-Encoding: chunked\r\n\r\n");
  }

  /// @brief Sends a text as one chunk.
  void SendChunk(std::string_view aText)
  {
    std::array<char, 32> buf{};
    const int n = std::snprintf(buf.data(), buf.size(), "%zx\r\n", aText.size());
    Send(std::string(buf.data(), static_cast<std::size_t>(n)) + std::string(aText) + "\r\n");
  }

  /// @brief Sends raw bytes.
  void Send(std::string_view aBytes)
  {
    mConnection.sendBytes(aBytes.data(), static_cast<int>(aBytes.size()));
  }

  /// @brief Ends the response without a reset, although the request was not read.
  void FinishSending() { mConnection.shutdownSend(); }

  /// @brief Closes the connection without the final chunk.
  void Close() { mConnection.close(); }

  /// @brief Resets the connection.
  void Reset()
  {
    mConnection.setLinger(true, 0);
    mConnection.close();
  }

  /// @brief Reads until the client closes its side, or at least so many bytes of it.
  void ReadToEnd(std::size_t aMinBytes)
  {
    std::array<char, 65'536> buf; // NOLINT(cppcoreguidelines-pro-type-member-init)
    int n = 1;
    for (std::size_t read = 0; n > 0 && read < aMinBytes; read += static_cast<std::size_t>(n)) {
      n = mConnection.receiveBytes(buf.data(), static_cast<int>(buf.size()));
    }
  }

private:
  Poco::Net::ServerSocket mServer;
  Poco::Net::StreamSocket mConnection;
};

} // namespace gentianloom::testing

#endif
