#pragma once

#include "Records.h"

#include "support/RandomDraw.h"
#include "wire/EventLoop.h"
#include "wire/HttpClient.h"

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

namespace oleanderport::soak {

// A control instance and the address at which operators reach it.
struct ControlAddress {
    std::string name;
    std::string address;
};

// The operator: sends configurations of increasing versions, several concurrently, and evacuates data centres and returns
// them to service. Retries a request at the next instance until it has a definite answer; reads the configuration from
// any instance.
class Operator {
public:
    // With the other service, every configuration names it, without a queue.
    Operator(EventLoop&, std::uint64_t seed, std::vector<ControlAddress>, bool hasOtherService = false);

    // Replaces the addresses of the instances; their number stays.
    void setControls(std::vector<ControlAddress> controls) { m_controls = std::move(controls); }

    // Sends the next version. Calls back when it is acknowledged.
    void putConfig(std::function<void()> acknowledged = [] {});
    // Sends a configuration that is invalid.
    void putInvalidConfig();
    void changeDataCentre(const std::string& dataCentre, bool out);
    void readConfig(std::size_t instance);
    // Sends configurations and reads at random times until stop().
    void start();
    void stop();

    const std::list<OperatorRequest>& requests() const { return m_requests; }
    const std::vector<ReadRecord>& reads() const { return m_reads; }

private:
    // One call, tried at one instance after the other; follows redirects.
    struct Call {
        HttpCall message;
        std::size_t instance { 0 };
        int redirects { 0 };
        // A read: not retried at another instance.
        bool singleAttempt { false };
        std::function<void(const std::string& instance, Milliseconds sent, const HttpAnswer&)> done;
        std::unique_ptr<HttpConnection> connection;
        std::unique_ptr<EventLoop::Timer> retryTimer;
        Milliseconds backoff { 100 };
    };

    void sendRequest(OperatorRequest, std::function<void()> acknowledged);
    void send(Call&);
    void sendTo(Call&, const std::string& address);
    void answered(Call&, const Result<HttpAnswer>&, Milliseconds sent);
    void finish(Call&);
    void scheduleNextConfig();
    // Versions differ in the time limit, and only some contain the queue at /b/.
    std::string configText(std::uint64_t version, int timeoutMs, bool hasOptionalQueue) const;
    // Reads the configuration from every instance; none may return an older one than was just acknowledged.
    void readAtAllInstances();

    EventLoop& m_loop;
    RandomDraw m_random;
    std::vector<ControlAddress> m_controls;
    bool m_hasOtherService;
    std::list<OperatorRequest> m_requests;
    std::vector<ReadRecord> m_reads;
    std::list<Call> m_calls;
    std::uint64_t m_version { 0 };
    std::unique_ptr<EventLoop::Timer> m_nextConfig;
    std::unique_ptr<EventLoop::Timer> m_nextRead;
};

} // namespace oleanderport::soak
