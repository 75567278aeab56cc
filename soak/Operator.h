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

// A control instance as operators know it.
struct ControlAddress {
    std::string name;
    std::string address;
};

// The operator: sends configurations of rising versions, several at once, and takes data centres out and back. Sends
// a request again, to another instance, until it has a clear answer; reads the configuration at any instance.
class Operator {
public:
    Operator(EventLoop&, std::uint64_t seed, std::vector<ControlAddress>);

    // Sends a further version. Calls back once it is acknowledged.
    void putConfig(std::function<void()> acknowledged = [] {});
    // Sends one that is not valid.
    void putInvalidConfig();
    void changeDataCentre(const std::string& dataCentre, bool out);
    void readConfig(std::size_t instance);
    // Sends configurations and reads at random times until stop().
    void start();
    void stop();

    const std::list<OperatorRequest>& requests() const { return m_requests; }
    const std::vector<ReadRecord>& reads() const { return m_reads; }

private:
    // One call at one instance after the other, redirects followed.
    struct Call {
        HttpCall message;
        std::size_t instance { 0 };
        int redirects { 0 };
        // Read only: passed on to no other instance.
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
    // At every instance; none may answer with an older one than was just acknowledged.
    void readAtAllInstances();

    EventLoop& m_loop;
    RandomDraw m_random;
    std::vector<ControlAddress> m_controls;
    std::list<OperatorRequest> m_requests;
    std::vector<ReadRecord> m_reads;
    std::list<Call> m_calls;
    std::uint64_t m_version { 0 };
    std::unique_ptr<EventLoop::Timer> m_nextConfig;
    std::unique_ptr<EventLoop::Timer> m_nextRead;
};

} // namespace oleanderport::soak
