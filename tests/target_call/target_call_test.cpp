#include "apps/router/target_call.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <cstddef>
#include <string>
#include <thread>

using namespace quetzal;
using boost::asio::ip::tcp;

namespace {

constexpr std::size_t longUploadBytes = std::size_t {32} * 1024 * 1024;

/** How a target ends its connection after it has written its answer. */
enum class connection_end
{
    AfterRequest,
    Reset,
};

/** A target that answers one request with given bytes. */
class raw_target
{
public:
    raw_target(std::string bytes, connection_end end)
        : m_acceptor(m_loop, tcp::endpoint(boost::asio::ip::make_address_v4("127.9.7.91"), 0))
        , m_thread([this, bytes = std::move(bytes), end] { answer(bytes, end); })
    {
    }
    ~raw_target() { m_thread.join(); }
    std::string address() const
    {
        return "127.9.7.91:" + std::to_string(m_acceptor.local_endpoint().port());
    }

private:
    void answer(const std::string &bytes, connection_end end)
    {
        tcp::socket socket(m_loop);
        m_acceptor.accept(socket);
        boost::system::error_code error;
        std::string request(4096, '\0');
        socket.read_some(boost::asio::buffer(request), error);
        boost::asio::write(socket, boost::asio::buffer(bytes), error);
        if (end == connection_end::Reset) {
            socket.set_option(boost::asio::socket_base::linger(true, 0));
            socket.close(error);
            return;
        }
        socket.shutdown(tcp::socket::shutdown_send, error);
        while (!error)
            socket.read_some(boost::asio::buffer(request), error);
    }

    boost::asio::io_context m_loop;
    tcp::acceptor m_acceptor;
    std::thread m_thread;
};

} // namespace

TEST_CASE("a target's answer that the router waits for as a whole", "[target_call]")
{
    const std::string fields = "X-Request-Id: r-1\r\nContent-Type: text/plain\r\n";
    target_request request {.address = "",
                            .method = "POST",
                            .path = "/x",
                            .body = "question",
                            .contentType = "text/plain",
                            .requestId = "r-1",
                            .deadline = absl::InfiniteFuture(),
                            .firstByteTimeout = absl::Seconds(5),
                            .idleTimeout = absl::Seconds(5),
                            .isCancelled = [] {
                                return false;
                            }};

    SECTION("is complete with its length, or with the end of the connection")
    {
        for (const std::string rest : {"Content-Length: 5\r\n\r\nwhole", "\r\nwhole"}) {
            raw_target target(absl::StrCat("HTTP/1.1 200 OK\r\n", fields, rest),
                              connection_end::AfterRequest);
            request.address = target.address();
            const buffered_outcome outcome = callBuffered(request);
            CHECK(outcome.result.ending == attempt_ending::Completed);
            CHECK(outcome.answer.body == "whole");
        }
    }

    SECTION("is none if its status is none")
    {
        for (const std::string status : {"000", "007", "099", "600", "999"}) {
            CAPTURE(status);
            raw_target target(absl::StrCat("HTTP/1.1 ", status, " Odd\r\n", fields,
                                           "Content-Length: 5\r\n\r\nwhole"),
                              connection_end::AfterRequest);
            request.address = target.address();
            CHECK(callBuffered(request).result.ending == attempt_ending::LostBeforeAnswer);
        }
    }

    SECTION("is not complete if the connection is reset during the upload")
    {
        request.body = std::string(longUploadBytes, 'x');
        raw_target target("HTTP/1.1 200 OK\r\n" + fields + "\r\npart", connection_end::Reset);
        request.address = target.address();
        CHECK(callBuffered(request).result.ending == attempt_ending::LostBeforeAnswer);
    }
}
