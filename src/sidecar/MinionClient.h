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
    // Connections that may be open to it at the same time.
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

// Calls one minion over HTTP: POST /run holds the connection until the task has ended; POST /stop asks for an early
// end. Never repeats a run. A run that was not answered is Unknown, except where the connection was never made; before
// it is reported the minion is asked to stop it, so that its slot is not used twice.
class MinionClient {
public:
    MinionClient(EventLoop&, const MinionClientOptions&);

    // True while a connection is free for a run; one is kept for stop calls.
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
