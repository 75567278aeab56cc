#pragma once

#include "policy/SidecarLedger.h"
#include "wire/ControlMessages.h"
#include "wire/HttpClient.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace oleanderport {

struct MinionClientOptions {
    // "IP:port" of the minion.
    std::string address;
    // Maximum number of open connections.
    std::int64_t connections { 1 };
    Milliseconds maxRunTime {};
};

// How a run ended at the minion.
struct MinionRunEnd {
    std::string run;
    TaskOutcome outcome { TaskOutcome::Unknown };
    std::string body;
    Milliseconds ranFor {};
};

// HTTP client for one minion. POST /run holds the connection until the task has ended; POST /stop requests an early end. A run
// is never resent. The outcome of an unanswered run is Unknown, unless the connection was never established. Before an Unknown run
// is reported, the minion gets a stop request for it, so that its slot is not used twice.
class MinionClient {
public:
    MinionClient(EventLoop&, const MinionClientOptions&);

    // Whether a connection is free for a run. One connection is reserved for stop, throttle and checkpoint requests.
    bool canRun() const;

    void run(const TaskStart&, std::function<void(const MinionRunEnd&)>);
    void stop(const std::string& run);
    void throttle(const std::string& run);
    void checkpoint(const std::string& run);

private:
    void sendRequest(const std::string& path, const std::string& run, const std::function<void()>& done);

    struct RunConnection {
        std::unique_ptr<HttpConnection> connection;
        bool busy { false };
    };

    EventLoop& m_loop;
    MinionClientOptions m_options;
    std::vector<RunConnection> m_runConnections;
    HttpConnection m_requestConnection;
};

} // namespace oleanderport
