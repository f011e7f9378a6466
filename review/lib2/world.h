#pragma once

// Stand-ins of the platform's store and of model runners as PROTOCOL.md describes them, and the
// start of the project's daemon with the command of the deploy file.

#include "http.h"

#include <boost/json.hpp>

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

namespace review {

namespace json = boost::json;

inline const Clock::time_point kStart = Clock::now();

/// The file `record.txt`: what was sent, answered and run, with the time since the start.
class Record
{
public:
    explicit Record(const std::string &path) : file_(path) {}
    void write(const std::string &line)
    {
        const std::lock_guard lock(mutex_);
        const double time = std::chrono::duration<double>(Clock::now() - kStart).count();
        char text[32];
        std::snprintf(text, sizeof text, "%9.3f s  ", time);
        file_ << text << line << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
};

inline std::string toBase64(const std::string &bytes)
{
    static const char *const kDigits =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j)
            group = group << 8U
                    | (i + j < bytes.size() ? static_cast<std::uint8_t>(bytes[i + j]) : 0U);
        for (std::size_t j = 0; j < 4; ++j)
            text += i + j > bytes.size() ? '=' : kDigits[group >> (18 - 6 * j) & 63U];
    }
    return text;
}

/// The platform's store: rows, the feed and conditional transactions.
class Store
{
public:
    struct Row
    {
        std::string table, key, value; ///< The value is kept as base64 text.
        std::uint64_t version = 0;
        bool isDeleted = false;
    };

    explicit Store(const std::string &host)
        : server_(host, [this](const Request &request, Connection &connection) {
              return serve(request, connection);
          })
    {
    }

    std::string address() const { return server_.address(); }

    /// Writes a row as the operator or a runner does. The return is the confirmation.
    void put(const std::string &table, const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(mutex_);
        rows_[{ table, key }] = { table, key, toBase64(value), ++version_, false };
        changed_.notify_all();
    }
    /// While the store is cut off from the instance, connections to it are reset.
    void setCut(bool isCut)
    {
        const std::lock_guard lock(mutex_);
        isCut_ = isCut;
        changed_.notify_all();
    }
    /// Time of the last answer about the targets.
    Clock::time_point targetsAnsweredAt()
    {
        const std::lock_guard lock(mutex_);
        return targetsAnsweredAt_;
    }
    void remove(const std::string &table, const std::string &key)
    {
        const std::lock_guard lock(mutex_);
        rows_[{ table, key }] = { table, key, "", ++version_, true };
        changed_.notify_all();
    }

private:
    static json::object toJson(const Row &row)
    {
        json::object object{
            { "table", row.table }, { "part", "" }, { "key", row.key }, { "ver", row.version }
        };
        if (row.isDeleted)
            object["deleted"] = true;
        else
            object["value"] = row.value;
        return object;
    }

    json::object answer() const
    {
        const auto now = std::chrono::duration_cast<Milliseconds>(Clock::now() - kStart).count();
        return { { "ver", version_ }, { "now-ms", now } };
    }

    static bool send(Connection &connection, int status, const json::object &object)
    {
        return Server::respond(connection, status, json::serialize(object),
                               { { "Content-Type", "application/json" } });
    }

    bool isCut()
    {
        const std::lock_guard lock(mutex_);
        return isCut_;
    }

    bool serve(const Request &request, Connection &connection)
    {
        if (isCut()) {
            connection.reset();
            return false;
        }
        if (request.path() == "/-/rows-get")
            return get(request, connection);
        if (request.path() == "/-/rows-feed")
            return feed(request, connection);
        if (request.path() == "/-/rows-tx")
            return transact(request, connection);
        return Server::respond(connection, 404, "");
    }

    bool get(const Request &request, Connection &connection)
    {
        std::unique_lock lock(mutex_);
        json::object object = answer();
        json::array rows;
        for (const auto &[key, row] : rows_) {
            if (key.first == request.query("table") && !row.isDeleted
                && key.second >= request.query("from"))
                rows.push_back(toJson(row));
        }
        object["rows"] = std::move(rows);
        object["has-more"] = false;
        lock.unlock();
        return send(connection, 200, object);
    }

    bool feed(const Request &request, Connection &connection)
    {
        const auto deadline =
                Clock::now()
                + Milliseconds(std::min(30000L, std::atol(request.query("wait-ms").c_str())));
        const std::uint64_t after = std::stoull(request.query("after"));
        std::unique_lock lock(mutex_);
        if (after > version_) {
            lock.unlock();
            return Server::respond(connection, 410, "");
        }
        std::vector<Row> rows;
        while (true) {
            for (const auto &[key, row] : rows_) {
                if (key.first == request.query("table") && row.version > after)
                    rows.push_back(row);
            }
            if (isCut_) {
                connection.reset();
                return false;
            }
            if (!rows.empty() || changed_.wait_until(lock, deadline) == std::cv_status::timeout)
                break;
        }
        if (request.query("table") == "servers")
            targetsAnsweredAt_ = Clock::now();
        std::ranges::sort(rows, {}, &Row::version);
        json::object object = answer();
        json::array list;
        for (const Row &row : rows)
            list.push_back(toJson(row));
        object["rows"] = std::move(list);
        lock.unlock();
        return send(connection, 200, object);
    }

    bool transact(const Request &request, Connection &connection)
    {
        const json::value body = json::parse(request.body);
        std::unique_lock lock(mutex_);
        const auto keyOf = [](const json::value &entry) {
            return std::pair(std::string(entry.at("table").as_string()),
                             std::string(entry.at("key").as_string()));
        };
        bool holds = true;
        json::array current;
        for (const json::value &entry : body.at("expected").as_array()) {
            const auto found = rows_.find(keyOf(entry));
            const bool exists = found != rows_.end() && !found->second.isDeleted;
            holds = holds
                    && entry.at("ver").to_number<std::uint64_t>()
                               == (exists ? found->second.version : 0);
            if (exists)
                current.push_back(toJson(found->second));
        }
        json::object object = answer();
        if (!holds) {
            object["rows"] = std::move(current);
            lock.unlock();
            return send(connection, 412, object);
        }
        ++version_;
        for (const json::value &entry : body.at("write").as_array()) {
            const auto key = keyOf(entry);
            rows_[key] = { key.first, key.second, std::string(entry.at("value").as_string()),
                           version_, false };
        }
        for (const json::value &entry : body.at("delete").as_array()) {
            const auto key = keyOf(entry);
            rows_[key] = { key.first, key.second, "", version_, true };
        }
        object["ver"] = version_;
        changed_.notify_all();
        lock.unlock();
        return send(connection, 200, object);
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::pair<std::string, std::string>, Row> rows_;
    std::uint64_t version_ = 0;
    bool isCut_ = false;
    Clock::time_point targetsAnsweredAt_{};
    Server server_;
};

/// A run of a request at a runner.
struct Run
{
    std::string request, path, tenant, salt;
    /// Id of the request that made the deepest cached part that this run used; empty if none.
    std::string cacheFrom;
    Clock::time_point at;
};

/// A model runner: keeps the parts of prompts that it has read under their `Cache-Salt`.
class Runner
{
public:
    Runner(const std::string &host, std::string id, std::string model, Record &record)
        : id_(std::move(id)), model_(std::move(model)), record_(record),
          server_(host, [this](const Request &request, Connection &connection) {
              return serve(request, connection);
          })
    {
    }

    const std::string &id() const { return id_; }
    std::string address() const { return server_.address(); }
    std::string registration(const std::string &service, const std::string &zone) const
    {
        return json::serialize(json::object{
                { "service", service },
                { "address", address() },
                { "zone", zone },
                { "version", "v1" },
                { "slots", 64 },
                { "state", "ready" },
                { "cold-left-ms", 0 },
                { "stage", "unified" },
                { "models",
                  json::array{ json::object{
                          { "name", model_ }, { "version", 1 }, { "adapters", json::array{} } } } },
                { "seq", 1 },
                { "born", 1780000000000 } });
    }
    std::vector<Run> runs()
    {
        const std::lock_guard lock(mutex_);
        return runs_;
    }

    int pieces = 3;
    Milliseconds pieceInterval{ 5 };

private:
    bool serve(const Request &request, Connection &connection)
    {
        Headers headers{ { "Request-Id", headerOf(request.headers, "Request-Id") },
                         { "Server-Load", "0,0,64" },
                         { "Weight-Versions", "1" } };
        if (request.path() == "/health")
            return Server::respond(connection, 200, "", { { "Instance-Id", id_ } });
        if (request.path() == "/-/report")
            return Server::respond(
                    connection, 200,
                    R"({"stage":"unified","models":[{"name":")" + model_
                            + R"(","version":1,"adapters":[]}],"busy":false,"seq":0,"queued":0,)"
                              R"("active":0,"kv-used":0,"kv-total":100000,"open-handles":0})",
                    { { "Content-Type", "application/json" } });
        const std::string expected = headerOf(request.headers, "Expect-Instance");
        const std::string weights = headerOf(request.headers, "Expect-Version");
        if ((!expected.empty() && expected != id_) || (!weights.empty() && weights != "1")) {
            headers.emplace("Not-Executed", "1");
            return Server::respond(connection, 421, "", headers);
        }
        const Run run = start(request);
        headers.emplace("Response-Seal", "seal." + run.request);
        headers.emplace("Content-Type", "text/event-stream");
        headers.emplace("Transfer-Encoding", "chunked");
        if (!connection.write("HTTP/1.1 200 OK\r\n" + encodeHeaders(headers) + "\r\n"))
            return false;
        for (int i = 1; i <= pieces; ++i) {
            std::this_thread::sleep_for(pieceInterval);
            const std::string event = "id: " + std::to_string(i) + "\ndata: piece\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", event.size());
            if (!connection.write(size + event + "\r\n"))
                return false;
        }
        return connection.write("0\r\n\r\n");
    }

    Run start(const Request &request)
    {
        const std::lock_guard lock(mutex_);
        Run run{ .request = headerOf(request.headers, "Request-Id"),
                 .path = request.target,
                 .tenant = headerOf(request.headers, "Tenant"),
                 .salt = headerOf(request.headers, "Cache-Salt"),
                 .cacheFrom = {},
                 .at = Clock::now() };
        std::istringstream parts(headerOf(request.headers, "Prompt-Prefix"));
        std::string part;
        std::string chain = run.salt;
        bool isCached = true;
        while (std::getline(parts, part, ',')) {
            chain += "/" + part.substr(0, part.find(':'));
            const auto found = cache_.find(chain);
            isCached = isCached && found != cache_.end();
            if (isCached)
                run.cacheFrom = found->second;
            cache_.try_emplace(chain, run.request);
        }
        runs_.push_back(run);
        record_.write("runner " + id_ + " runs " + run.request + " for tenant '" + run.tenant
                      + "' with Cache-Salt '" + run.salt + "', cached parts from '" + run.cacheFrom
                      + "'");
        return run;
    }

    std::string id_;
    std::string model_;
    Record &record_;
    std::mutex mutex_;
    std::map<std::string, std::string> cache_; ///< Request that made a part, by salt and parts.
    std::vector<Run> runs_;
    Server server_;
};

/// Ends the calling process when the main thread of its parent ends, whatever the cause.
inline void endWithParent()
{
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
}

/// Returns `count` ports of 127.0.0.1 that are free.
inline std::vector<int> freePorts(std::size_t count)
{
    std::vector<int> fds;
    std::vector<int> ports;
    for (std::size_t i = 0; i < count; ++i) {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        if (::bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0
            || ::getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size) != 0)
            throw std::runtime_error("no free port");
        fds.push_back(fd);
        ports.push_back(ntohs(address.sin_port));
    }
    for (const int fd : fds)
        ::close(fd);
    return ports;
}

/// An entry instance: the project's daemon, with settings as the deploy file renders them.
class Daemon
{
public:
    struct Options
    {
        std::string name;
        std::string zone;
        std::string storeAddress;
        int memoryMb = 260;
    };

    Daemon(Options options, std::string folder)
        : options_(std::move(options)), folder_(std::move(folder)), ports_(freePorts(5))
    {
    }
    ~Daemon() { stop(SIGKILL); }
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    int callerPort() const { return ports_[0]; }
    int peerPort() const { return ports_[1]; }
    int directoryPort() const { return ports_[3]; }
    pid_t pid() const { return pid_; }

    /// Output goes to `logDescriptor`, or to a file in the folder if it is negative.
    void start(const std::vector<int> &seedPorts, int logDescriptor = -1)
    {
        const std::string file = folder_ + "/" + options_.name + ".toml";
        const auto at = [](int port) { return "\"127.0.0.1:" + std::to_string(port) + "\""; };
        std::ofstream settings(file);
        settings << "[instance]\nname = \"" << options_.name << "\"\ndata_centre = \""
                 << options_.zone << "\"\n\n[listen]\ncallers = " << at(ports_[0])
                 << "\npeers = " << at(ports_[1]) << "\n\n[platform]\naddress = \""
                 << options_.storeAddress << "\"\n\n[peers]\nseeds = [";
        for (std::size_t i = 0; i < seedPorts.size(); ++i)
            settings << (i == 0 ? "" : ",") << at(seedPorts[i]);
        settings << "]\n\n[entry]\nready = " << at(ports_[2]) << "\ndirectory = " << at(ports_[3])
                 << "\nmetrics = " << at(ports_[4])
                 << "\nengines_check_fences = true\nmemory_mb = " << options_.memoryMb
                 << "\nmax_fds = 4100\nlink_mbps = 1000.0\nlease_ms = 3000\ngrace_s = 8\n"
                    "weights_limit_ms = 10000\nsettle_ms = 3000\ndrain_ms = 2000\n"
                    "retry_ratio = 0.2\nretry_burst = 54\nretry_window_s = 10\n"
                    "address_lifetime_s = 5\n";
        settings.close();
        const std::string log = folder_ + "/" + options_.name + ".log";
        const std::string program = "target/bin/chervilfieldd";
        pid_ = ::fork();
        if (pid_ == 0) {
            endWithParent();
            const int fd = logDescriptor >= 0
                                   ? logDescriptor
                                   : ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(fd, 1);
            ::dup2(fd, 2);
            ::execl(program.c_str(), program.c_str(), "--config", file.c_str(), nullptr);
            ::_exit(127);
        }
    }

    bool isReady() const
    {
        return call("127.0.0.1", ports_[2], { .target = "/-/readiness" }, Milliseconds(500)).status
               == 200;
    }
    bool waitUntilReady(Milliseconds timeout) const
    {
        const auto deadline = Clock::now() + timeout;
        while (Clock::now() < deadline) {
            if (isReady())
                return true;
            std::this_thread::sleep_for(Milliseconds(50));
        }
        return false;
    }
    bool isRunning() { return pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == 0; }
    void stop(int signal)
    {
        if (pid_ <= 0)
            return;
        ::kill(pid_, signal);
        ::waitpid(pid_, nullptr, 0);
        pid_ = -1;
    }

private:
    Options options_;
    std::string folder_;
    std::vector<int> ports_;
    pid_t pid_ = -1;
};

/// A temporary folder that is removed at the end.
class TemporaryFolder
{
public:
    TemporaryFolder()
    {
        char name[] = "/tmp/review-XXXXXX";
        path_ = ::mkdtemp(name);
    }
    ~TemporaryFolder() { std::filesystem::remove_all(path_); }
    const std::string &path() const { return path_; }

private:
    std::string path_;
};

/// Exit status of a script.
enum Verdict { kHeld = 0, kBroken = 1, kCannotRun = 2 };

inline bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace review
