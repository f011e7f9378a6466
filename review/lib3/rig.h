// Stand-ins for the scripts of the third review: the platform's store, runners, callers and the
// daemon as a child process. They follow PROTOCOL.md; where it is silent, they answer like a sound
// peer. Every socket is on a loopback address.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <strings.h>
#include <thread>
#include <vector>

namespace rig {

using Clock = std::chrono::steady_clock;

inline Clock::time_point started = Clock::now();
inline std::mutex recordMutex;
inline FILE *recordFile = nullptr;

inline double now()
{
    return std::chrono::duration<double>(Clock::now() - started).count();
}

inline void sleepFor(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

/// Writes a line to record.txt and to the output.
inline void record(const char *format, ...)
{
    char text[1024];
    va_list arguments;
    va_start(arguments, format);
    vsnprintf(text, sizeof text, format, arguments);
    va_end(arguments);
    const std::lock_guard lock(recordMutex);
    for (FILE *out : { recordFile, stdout }) {
        if (out != nullptr) {
            fprintf(out, "%8.3f %s\n", now(), text);
            fflush(out);
        }
    }
}

struct Address
{
    std::string host;
    int port = 0;
    std::string text() const { return host + ":" + std::to_string(port); }
};

/// Opens a listening socket on a free port.
inline int listenOn(const std::string &host, Address &address)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in name{};
    name.sin_family = AF_INET;
    inet_pton(AF_INET, host.c_str(), &name.sin_addr);
    socklen_t size = sizeof name;
    if (bind(fd, reinterpret_cast<sockaddr *>(&name), size) != 0 || listen(fd, 512) != 0) {
        perror("listen");
        exit(2);
    }
    getsockname(fd, reinterpret_cast<sockaddr *>(&name), &size);
    address = { host, ntohs(name.sin_port) };
    return fd;
}

/// Returns a port that is free for TCP and UDP at the moment.
inline Address freeAddress(const std::string &host)
{
    Address address;
    close(listenOn(host, address));
    return address;
}

inline int connectTo(const Address &address, double timeout = 2)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_port = htons(static_cast<uint16_t>(address.port));
    inet_pton(AF_INET, address.host.c_str(), &name.sin_addr);
    if (connect(fd, reinterpret_cast<sockaddr *>(&name), sizeof name) != 0) {
        pollfd request{ fd, POLLOUT, 0 };
        int error = errno == EINPROGRESS ? 0 : errno;
        socklen_t size = sizeof error;
        if (error == 0 && poll(&request, 1, static_cast<int>(timeout * 1000)) != 1)
            error = ETIMEDOUT;
        if (error == 0)
            getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
        if (error != 0) {
            close(fd);
            return -1;
        }
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    const int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    return fd;
}

inline bool sendAll(int fd, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

using Headers = std::vector<std::pair<std::string, std::string>>;

struct Message
{
    std::string start; ///< Request line or status line.
    Headers headers;
    std::string body;
    bool complete = false;

    std::string header(const std::string &name) const
    {
        for (const auto &[key, value] : headers) {
            if (strcasecmp(key.c_str(), name.c_str()) == 0)
                return value;
        }
        return {};
    }
    bool has(const std::string &name) const
    {
        for (const auto &[key, value] : headers) {
            if (strcasecmp(key.c_str(), name.c_str()) == 0)
                return true;
        }
        return false;
    }
    int status() const { return start.size() > 12 ? atoi(start.c_str() + 9) : 0; }
    std::string word(int index) const
    {
        std::size_t from = 0;
        for (; index > 0; --index)
            from = start.find(' ', from) + 1;
        return start.substr(from, start.find(' ', from) - from);
    }
};

/// Reads messages from a connection.
class Reader
{
public:
    explicit Reader(int fd) : fd_(fd) {}

    /// Reads a message. Returns no value if the connection ends or the time passes before its head
    /// is complete; `complete` tells whether the body is.
    std::optional<Message> read(double timeout, bool isResponse = false)
    {
        deadline_ = Clock::now()
                    + std::chrono::duration_cast<Clock::duration>(
                            std::chrono::duration<double>(timeout));
        std::size_t end;
        while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
            if (!fill())
                return std::nullopt;
        }
        Message message;
        std::string head = buffer_.substr(0, end + 2);
        buffer_.erase(0, end + 4);
        std::size_t line = head.find("\r\n");
        message.start = head.substr(0, line);
        for (line += 2; line < head.size();) {
            const std::size_t next = head.find("\r\n", line);
            const std::size_t colon = head.find(':', line);
            std::size_t value = colon + 1;
            while (value < next && head[value] == ' ')
                ++value;
            message.headers.emplace_back(head.substr(line, colon - line),
                                         head.substr(value, next - value));
            line = next + 2;
        }
        if (strcasecmp(message.header("Transfer-Encoding").c_str(), "chunked") == 0) {
            message.complete = readChunks(message.body);
        } else if (message.has("Content-Length")) {
            const std::size_t length =
                    strtoull(message.header("Content-Length").c_str(), nullptr, 10);
            while (buffer_.size() < length && fill()) {
            }
            message.complete = buffer_.size() >= length;
            message.body = buffer_.substr(0, length);
            buffer_.erase(0, length);
        } else if (isResponse) {
            while (fill()) {
            }
            message.complete = ended_;
            message.body.swap(buffer_);
        } else {
            message.complete = true;
        }
        return message;
    }

private:
    bool fill()
    {
        const auto left =
                std::chrono::duration_cast<std::chrono::milliseconds>(deadline_ - Clock::now());
        pollfd request{ fd_, POLLIN, 0 };
        if (left.count() <= 0 || poll(&request, 1, static_cast<int>(left.count())) != 1)
            return false;
        char bytes[65536];
        const ssize_t count = recv(fd_, bytes, sizeof bytes, 0);
        ended_ = count == 0;
        if (count <= 0)
            return false;
        buffer_.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    bool readChunks(std::string &body)
    {
        while (true) {
            std::size_t line;
            while ((line = buffer_.find("\r\n")) == std::string::npos) {
                if (!fill())
                    return false;
            }
            const std::size_t size = strtoull(buffer_.c_str(), nullptr, 16);
            while (buffer_.size() < line + 2 + size + 2) {
                if (!fill())
                    return false;
            }
            body += buffer_.substr(line + 2, size);
            buffer_.erase(0, line + 2 + size + 2);
            if (size == 0)
                return true;
        }
    }

    int fd_;
    std::string buffer_;
    Clock::time_point deadline_;
    bool ended_ = false;
};

/// HTTP server with a thread for each connection. The handler sends the answer itself and returns
/// false to close the connection.
class Server
{
public:
    using Handler = std::function<bool(int fd, const Message &request)>;

    void start(const std::string &host, Handler handler)
    {
        handler_ = std::move(handler);
        const int listener = listenOn(host, address);
        std::thread([this, listener] {
            while (true) {
                const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd < 0)
                    continue;
                const int one = 1;
                setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
                std::thread([this, fd] {
                    Reader reader(fd);
                    while (true) {
                        const auto request = reader.read(3600);
                        if (!request || !request->complete || !handler_(fd, *request))
                            break;
                    }
                    close(fd);
                }).detach();
            }
        }).detach();
    }

    Address address;

private:
    Handler handler_;
};

inline bool answer(int fd, int status, const std::string &headers, const std::string &body)
{
    return sendAll(fd, "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers
                               + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n"
                               + body);
}

inline std::string queryValue(const std::string &target, const std::string &name)
{
    std::size_t at = target.find('?');
    while (at != std::string::npos) {
        const std::size_t from = at + 1;
        at = target.find('&', from);
        const std::string pair = target.substr(from, at == std::string::npos ? at : at - from);
        if (pair.rfind(name + "=", 0) != 0)
            continue;
        std::string value;
        for (std::size_t i = name.size() + 1; i < pair.size(); ++i) {
            if (pair[i] == '%' && i + 2 < pair.size()) {
                value += static_cast<char>(strtol(pair.substr(i + 1, 2).c_str(), nullptr, 16));
                i += 2;
            } else {
                value += pair[i];
            }
        }
        return value;
    }
    return {};
}

inline std::string base64(const std::string &bytes)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j)
            group = group << 8U
                    | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        for (std::size_t j = 0; j < 4; ++j)
            text += i + j <= bytes.size() ? digits[group >> (18 - 6 * j) & 63U] : '=';
    }
    return text;
}

/// The platform's store: rows, the feed and conditional writes of one row.
class Store
{
public:
    struct Row
    {
        std::string value; ///< In base64.
        uint64_t version = 0;
        bool deleted = false;
    };

    void start(const std::string &host)
    {
        server_.start(host, [this](int fd, const Message &request) { return serve(fd, request); });
    }

    const Address &address() const { return server_.address; }

    uint64_t put(const std::string &table, const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(mutex_);
        tables_[table][key] = { base64(value), ++version_, false };
        changed_.notify_all();
        return version_;
    }

    void erase(const std::string &table, const std::string &key)
    {
        const std::lock_guard lock(mutex_);
        tables_[table][key] = { {}, ++version_, true };
        changed_.notify_all();
    }

    std::atomic<bool> silent{ false }; ///< Whether calls get no answer.

private:
    std::string rowText(const std::string &table, const std::string &key, const Row &row)
    {
        return R"({"table":")" + table + R"(","part":"","key":")" + key + R"(","value":")"
               + row.value + R"(","ver":)" + std::to_string(row.version)
               + (row.deleted ? R"(,"deleted":true})" : "}");
    }

    std::string tail()
    {
        return R"("ver":)" + std::to_string(version_) + R"(,"now-ms":)"
               + std::to_string(static_cast<uint64_t>(now() * 1000) + 100000) + "}";
    }

    static std::string field(const std::string &text, const std::string &name, std::size_t from)
    {
        const std::string mark = '"' + name + "\":";
        std::size_t at = text.find(mark, from);
        if (at == std::string::npos)
            return {};
        at += mark.size();
        if (text[at] == '"')
            return text.substr(at + 1, text.find('"', at + 1) - at - 1);
        return text.substr(at, text.find_first_of(",}", at) - at);
    }

    bool serve(int fd, const Message &request)
    {
        const std::string target = request.word(1);
        const std::string path = target.substr(0, target.find('?'));
        while (silent)
            sleepFor(0.05);
        const std::string table = queryValue(target, "table");
        if (path == "/-/rows-get") {
            const std::string from = queryValue(target, "from");
            const std::lock_guard lock(mutex_);
            std::string rows;
            for (const auto &[key, row] : tables_[table]) {
                if (!row.deleted && key >= from)
                    rows += (rows.empty() ? "" : ",") + rowText(table, key, row);
            }
            return json(fd, 200, R"({"rows":[)" + rows + R"(],"has-more":false,)" + tail());
        }
        if (path == "/-/rows-feed") {
            const uint64_t after = strtoull(queryValue(target, "after").c_str(), nullptr, 10);
            const auto wait =
                    std::chrono::milliseconds(atoi(queryValue(target, "wait-ms").c_str()));
            std::unique_lock lock(mutex_);
            std::string rows;
            const auto collect = [&] {
                std::map<uint64_t, std::string> ordered;
                for (const auto &[key, row] : tables_[table]) {
                    if (row.version > after)
                        ordered[row.version] = rowText(table, key, row);
                }
                rows.clear();
                for (const auto &[version, text] : ordered)
                    rows += (rows.empty() ? "" : ",") + text;
                return !rows.empty();
            };
            changed_.wait_for(lock, wait, collect);
            return json(fd, 200, R"({"rows":[)" + rows + "]," + tail());
        }
        if (path == "/-/rows-tx") {
            const std::string &body = request.body;
            const std::size_t expected = body.find("\"expected\":");
            const std::size_t write = body.find("\"write\":");
            const std::string name = field(body, "table", write);
            const std::string key = field(body, "key", write);
            const uint64_t version = strtoull(field(body, "ver", expected).c_str(), nullptr, 10);
            const std::lock_guard lock(mutex_);
            Row &row = tables_[name][key];
            if (version != (row.deleted ? 0 : row.version))
                return json(fd, 412, R"({"rows":[],)" + tail());
            row = { field(body, "value", write), ++version_, false };
            changed_.notify_all();
            return json(fd, 200, "{" + tail());
        }
        return json(fd, 404, "{}");
    }

    static bool json(int fd, int status, const std::string &body)
    {
        return answer(fd, status, "Content-Type: application/json\r\n", body);
    }

    Server server_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::map<std::string, Row>> tables_;
    uint64_t version_ = 0;
};

/// Addresses of one daemon.
struct Listen
{
    Address callers, peers, ready, directory, metrics;
};

inline Listen freeListen(const std::string &host)
{
    return { freeAddress(host), freeAddress(host), freeAddress(host), freeAddress(host),
             freeAddress(host) };
}

/// Renders deploy/settings.toml.tmpl for a machine of the site amabie-red.
inline std::string settings(const std::string &name, const Listen &listen, const Address &store,
                            const std::vector<Address> &seeds, int memoryMb = 260)
{
    std::string list;
    for (const Address &seed : seeds)
        list += (list.empty() ? "\"" : ",\"") + seed.text() + '"';
    return "[instance]\nname = \"" + name + "\"\ndata_centre = \"leon-a\"\n\n[listen]\ncallers = \""
           + listen.callers.text() + "\"\npeers = \"" + listen.peers.text()
           + "\"\n\n[platform]\naddress = \"" + store.text() + "\"\n\n[peers]\nseeds = [" + list
           + "]\n\n[entry]\nready = \"" + listen.ready.text() + "\"\ndirectory = \""
           + listen.directory.text() + "\"\nmetrics = \"" + listen.metrics.text()
           + "\"\nengines_check_fences = true\nmemory_mb = " + std::to_string(memoryMb)
           + "\nmax_fds = 4100\nlink_mbps = 1000.0\nlease_ms = 3000\ngrace_s = 8\n"
             "weights_limit_ms = 10000\nsettle_ms = 3000\ndrain_ms = 2000\nretry_ratio = 0.2\n"
             "retry_burst = 54\nretry_window_s = 10\naddress_lifetime_s = 5\n";
}

/// Returns the registration of the runner `i-app1`.
inline std::string registration(const std::string &service, const Address &address)
{
    return R"({"service":")" + service + R"(","address":")" + address.text()
           + R"(","zone":"leon-a","version":"v1","slots":6,"state":"ready","cold-left-ms":0,)"
             R"("seq":1,"born":1700000000000})";
}

/// Opens the file for the output of a daemon.
inline int openLog(const std::string &folder)
{
    return open((folder + "/daemon.log").c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
}

/// A daemon as a child process.
class Daemon
{
public:
    /// Starts `program --config FILE`. The outputs go to `output`.
    void start(const std::string &program, const std::string &file, const std::string &text,
               int output)
    {
        FILE *out = fopen(file.c_str(), "w");
        fputs(text.c_str(), out);
        fclose(out);
        pid_ = fork();
        if (pid_ == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            signal(SIGPIPE, SIG_DFL);
            dup2(output, 1);
            dup2(output, 2);
            execl(program.c_str(), program.c_str(), "--config", file.c_str(), nullptr);
            _exit(127);
        }
        record("daemon started, pid %d", pid_);
    }

    ~Daemon() { stop(); }

    void kill(int signal)
    {
        if (pid_ > 0)
            ::kill(pid_, signal);
    }

    /// Returns true if the process has ended, and why in `status`.
    bool hasEnded(int &status)
    {
        if (pid_ <= 0 || waitpid(pid_, &status, WNOHANG) != pid_)
            return false;
        pid_ = 0;
        return true;
    }

    void stop()
    {
        if (pid_ <= 0)
            return;
        ::kill(pid_, SIGCONT);
        ::kill(pid_, SIGKILL);
        waitpid(pid_, nullptr, 0);
        pid_ = 0;
    }

private:
    pid_t pid_ = 0;
};

/// Sends one request on a connection of its own and returns the answer, if any.
inline std::optional<Message> call(const Address &address, const std::string &request,
                                   double timeout)
{
    const int fd = connectTo(address, timeout);
    if (fd < 0)
        return std::nullopt;
    std::optional<Message> result;
    if (sendAll(fd, request))
        result = Reader(fd).read(timeout, true);
    close(fd);
    return result;
}

inline bool waitReady(const Address &ready, double timeout)
{
    const double end = now() + timeout;
    while (now() < end) {
        const auto response = call(ready, "GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n", 1);
        if (response && response->status() == 200)
            return true;
        sleepFor(0.05);
    }
    return false;
}

/// Opens record.txt in the folder of the script and starts the clock.
inline void begin(const std::string &folder)
{
    signal(SIGPIPE, SIG_IGN);
    recordFile = fopen((folder + "/record.txt").c_str(), "w");
    started = Clock::now();
}

/// Ends the daemon and the process without waiting for the threads of the stand-ins.
[[noreturn]] inline void finish(Daemon &daemon, int status)
{
    daemon.stop();
    const std::lock_guard lock(recordMutex);
    fflush(nullptr);
    _exit(status);
}

/// Returns a loopback address that other runs are unlikely to use.
inline std::string ownHost(int index)
{
    const int id = getpid();
    return "127." + std::to_string(16 + id / 250 % 200) + '.' + std::to_string(id % 250) + '.'
           + std::to_string(10 + index);
}

inline bool hasTrouble()
{
    const char *value = getenv("TROUBLE");
    return value == nullptr || strcmp(value, "0") != 0;
}

} // namespace rig
