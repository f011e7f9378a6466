#pragma once

// Blocking HTTP/1.1 for the stand-ins and clients of the review: one thread for each connection.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

struct CaseLess
{
    bool operator()(const std::string &a, const std::string &b) const
    {
        return strcasecmp(a.c_str(), b.c_str()) < 0;
    }
};
using Headers = std::multimap<std::string, std::string, CaseLess>;

inline std::string headerOf(const Headers &headers, const std::string &name)
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

struct Request
{
    std::string method = "GET";
    std::string target = "/";
    Headers headers;
    std::string body;

    std::string path() const { return target.substr(0, target.find('?')); }
    std::string query(const std::string &name) const
    {
        const std::size_t question = target.find('?');
        std::string rest = question == std::string::npos ? "" : target.substr(question + 1);
        while (!rest.empty()) {
            const std::size_t end = rest.find('&');
            const std::string pair = rest.substr(0, end);
            rest = end == std::string::npos ? "" : rest.substr(end + 1);
            const std::size_t equals = pair.find('=');
            if (pair.substr(0, equals) == name)
                return equals == std::string::npos ? "" : decode(pair.substr(equals + 1));
        }
        return "";
    }
    static std::string decode(const std::string &text)
    {
        std::string result;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size()) {
                result += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
                i += 2;
            } else {
                result += text[i];
            }
        }
        return result;
    }
};

struct Response
{
    int status = 0; ///< 0 if there was no complete response.
    Headers headers;
    std::string body;
    bool isComplete = false;
    Milliseconds took{ 0 };
    std::string problem; ///< Why there is no complete response.
};

/// A connected socket with a receive buffer.
class Connection
{
public:
    explicit Connection(int fd) : fd_(fd) {}
    ~Connection() { close(); }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    static std::unique_ptr<Connection> open(const std::string &host, int port, Milliseconds timeout)
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        inet_pton(AF_INET, host.c_str(), &address.sin_addr);
        int error = 0;
        if (::connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
            pollfd event{ .fd = fd, .events = POLLOUT, .revents = 0 };
            socklen_t size = sizeof error;
            if (errno != EINPROGRESS || ::poll(&event, 1, static_cast<int>(timeout.count())) <= 0
                || ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
                ::close(fd);
                return nullptr;
            }
        }
        return std::make_unique<Connection>(fd);
    }

    int fd() const { return fd_; }
    void close()
    {
        if (fd_ >= 0)
            ::close(fd_);
        fd_ = -1;
    }
    /// Closes the connection with a reset.
    void reset()
    {
        const linger option{ .l_onoff = 1, .l_linger = 0 };
        ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &option, sizeof option);
        close();
    }

    bool write(const std::string &bytes, Milliseconds timeout = Milliseconds(10'000))
    {
        const auto deadline = Clock::now() + timeout;
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const auto count = ::send(fd_, bytes.data() + sent, bytes.size() - sent,
                                      MSG_NOSIGNAL | MSG_DONTWAIT);
            if (count > 0)
                sent += static_cast<std::size_t>(count);
            else if (errno != EAGAIN || !wait(POLLOUT, deadline))
                return false;
        }
        return true;
    }

    /// Reads more bytes into the buffer. Returns false at the end, on an error and at the deadline.
    bool fill(Clock::time_point deadline)
    {
        char bytes[16384];
        while (true) {
            const auto count = ::recv(fd_, bytes, sizeof bytes, MSG_DONTWAIT);
            if (count > 0) {
                buffer.append(bytes, static_cast<std::size_t>(count));
                return true;
            }
            if (count == 0) {
                problem = "closed";
                return false;
            }
            if (errno != EAGAIN) {
                problem = "reset";
                return false;
            }
            if (!wait(POLLIN, deadline)) {
                problem = "timeout";
                return false;
            }
        }
    }

    bool readLine(std::string &line, Clock::time_point deadline)
    {
        std::size_t end = 0;
        while ((end = buffer.find("\r\n")) == std::string::npos) {
            if (!fill(deadline))
                return false;
        }
        line = buffer.substr(0, end);
        buffer.erase(0, end + 2);
        return true;
    }

    bool readBytes(std::string &out, std::size_t count, Clock::time_point deadline)
    {
        while (buffer.size() < count) {
            if (!fill(deadline))
                return false;
        }
        out.append(buffer, 0, count);
        buffer.erase(0, count);
        return true;
    }

    bool readHeaders(Headers &headers, Clock::time_point deadline)
    {
        std::string line;
        while (readLine(line, deadline)) {
            if (line.empty())
                return true;
            const std::size_t colon = line.find(':');
            if (colon == std::string::npos)
                return false;
            const std::size_t start = line.find_first_not_of(' ', colon + 1);
            headers.emplace(line.substr(0, colon),
                            start == std::string::npos ? "" : line.substr(start));
        }
        return false;
    }

    bool readBody(const Headers &headers, std::string &body, bool mayEndWithConnection,
                  Clock::time_point deadline)
    {
        if (headerOf(headers, "Transfer-Encoding") == "chunked") {
            std::string line;
            while (readLine(line, deadline)) {
                const std::size_t size = std::stoul(line, nullptr, 16);
                if (!readBytes(body, size, deadline) || !readLine(line, deadline))
                    return false;
                if (size == 0)
                    return true;
            }
            return false;
        }
        const std::string length = headerOf(headers, "Content-Length");
        if (!length.empty())
            return readBytes(body, std::stoul(length), deadline);
        if (!mayEndWithConnection)
            return true;
        while (fill(deadline)) {
        }
        body += buffer;
        buffer.clear();
        return problem == "closed";
    }

    /// Returns true if the peer has closed the connection.
    bool isClosedByPeer()
    {
        char byte = 0;
        const auto count = ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count == 0 || (count < 0 && errno != EAGAIN);
    }

    std::string buffer;
    std::string problem;

private:
    bool wait(short events, Clock::time_point deadline) const
    {
        const auto left = std::chrono::duration_cast<Milliseconds>(deadline - Clock::now()).count();
        pollfd event{ .fd = fd_, .events = events, .revents = 0 };
        return left > 0 && ::poll(&event, 1, static_cast<int>(left)) > 0;
    }

    int fd_;
};

inline std::string encodeHeaders(const Headers &headers)
{
    std::string text;
    for (const auto &[name, value] : headers)
        text += name + ": " + value + "\r\n";
    return text;
}

/// HTTP server. The handler writes its response to the connection, and returns false to close it.
class Server
{
public:
    using Handler = std::function<bool(const Request &, Connection &)>;

    Server(std::string host, Handler handler) : host_(std::move(host)), handler_(std::move(handler))
    {
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        inet_pton(AF_INET, host_.c_str(), &address.sin_addr);
        if (::bind(fd_, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0
            || ::listen(fd_, 1024) != 0)
            throw std::runtime_error("cannot listen");
        socklen_t size = sizeof address;
        ::getsockname(fd_, reinterpret_cast<sockaddr *>(&address), &size);
        port_ = ntohs(address.sin_port);
        std::thread([this] { accept(); }).detach();
    }

    int port() const { return port_; }
    std::string address() const { return host_ + ":" + std::to_string(port_); }

    static bool respond(Connection &connection, int status, const std::string &body,
                        Headers headers = {})
    {
        headers.emplace("Content-Length", std::to_string(body.size()));
        return connection.write("HTTP/1.1 " + std::to_string(status) + " -\r\n"
                                + encodeHeaders(headers) + "\r\n" + body);
    }

private:
    void accept()
    {
        while (true) {
            const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([this, fd] { serve(fd); }).detach();
        }
    }

    void serve(int fd)
    {
        Connection connection(fd);
        while (true) {
            const auto deadline = Clock::now() + std::chrono::seconds(60);
            std::string line;
            Request request;
            if (!connection.readLine(line, deadline))
                return;
            const std::size_t first = line.find(' ');
            const std::size_t last = line.rfind(' ');
            if (first == std::string::npos || first == last)
                return;
            request.method = line.substr(0, first);
            request.target = line.substr(first + 1, last - first - 1);
            if (!connection.readHeaders(request.headers, deadline)
                || !connection.readBody(request.headers, request.body, false, deadline)
                || !handler_(request, connection))
                return;
        }
    }

    std::string host_;
    Handler handler_;
    int fd_ = -1;
    int port_ = 0;
};

/// Writes a request to the connection.
inline bool writeRequest(Connection &connection, const Request &request)
{
    Headers headers = request.headers;
    if (!request.body.empty() || request.method != "GET")
        headers.emplace("Content-Length", std::to_string(request.body.size()));
    return connection.write(request.method + " " + request.target + " HTTP/1.1\r\n"
                            + encodeHeaders(headers) + "\r\n" + request.body);
}

/// Reads one response from the connection.
inline Response readResponse(Connection &connection, Milliseconds timeout)
{
    const auto start = Clock::now();
    const auto deadline = start + timeout;
    Response response;
    std::string line;
    if (connection.readLine(line, deadline) && connection.readHeaders(response.headers, deadline)) {
        response.status = std::stoi(line.substr(9, 3));
        response.isComplete = connection.readBody(response.headers, response.body, true, deadline);
    }
    if (!response.isComplete)
        response.problem = connection.problem;
    response.took = std::chrono::duration_cast<Milliseconds>(Clock::now() - start);
    return response;
}

/// Sends a request on a new connection, as a client does that waits for at most `timeout`.
inline Response call(const std::string &host, int port, const Request &request,
                     Milliseconds timeout)
{
    const auto start = Clock::now();
    const auto connection = Connection::open(host, port, std::min(timeout, Milliseconds(1000)));
    Response response;
    if (connection == nullptr)
        response.problem = "no connection";
    else if (!writeRequest(*connection, request))
        response.problem = "cannot write";
    else
        response = readResponse(*connection, timeout);
    response.took = std::chrono::duration_cast<Milliseconds>(Clock::now() - start);
    return response;
}

} // namespace review
