#pragma once

#include "base/Log.h"
#include "oleanderport/Error.h"
#include "oleanderport/Messages.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace oleanderport {

// Settings of a daemon, with their defaults. docs/SETTINGS.md describes each key.
struct Settings {
    // [process]
    Role role { Role::Entry };
    std::string instance;
    // Environment whose document this process applies; control instances serve all environments.
    std::string environment { productionEnvironment };
    std::string listen;
    // Address at which other processes reach this one; defaults to the listening address.
    std::string advertise;
    std::string dataCentre;
    // Additional address that serves only the metrics; none when empty.
    std::string metricsListen;
    LogLevel logLevel { LogLevel::Info };

    // [control]
    // Addresses of all control instances.
    std::vector<std::string> controlPeers;
    // Folder in which a control instance stores its state; empty for a single instance that keeps it in memory.
    std::string dataFolder;
    // Whether a data folder counts as a copy when its files have another identity than when they were written.
    bool checkFileIdentity { true };
    // Whether a control instance with an empty data folder may bootstrap a new group once all peers have answered and
    // are empty as well.
    bool bootstrap { false };
    // Alternative addresses of peers whose address in `controlPeers` is not reachable from this instance, by peer.
    std::map<std::string, std::string> controlRoutes;
    Milliseconds lease { 3'000 };
    Milliseconds sessionTimeout { 5'000 };
    Milliseconds heartbeat { 500 };
    // Timeout of a session's calls to control.
    Milliseconds controlTimeout { 3'000 };
    // Number N of control instances that may fail at the same time, also while N earlier ones are being replaced. The group
    // grows to 4N + 1 voters (at least 5) as further instances join through `controlPeers`. When unset, only the peers vote.
    std::optional<std::int64_t> toleratedLosses;
    // A lost control instance counts as replaced this long after its successor has started.
    Milliseconds catchUp { 4'000 };
    // Minimum election timeout of the control group. Its other timeouts are derived from it.
    Milliseconds election { 1'000 };
    // How long a restarted control instance waits for evidence from all other voters before it takes part without it.
    Milliseconds verifyWait { 6'000 };
    // Data centres that operators may take out of service although no document lists them.
    std::vector<std::string> declaredDataCentres;

    // [limits]
    std::int64_t maxBodyBytes { 8 * 1024 * 1024 };
    // Bytes of requests and answers that the process may hold at the same time; see bufferedBytesLimit().
    std::optional<std::int64_t> maxBufferedBytes;
    // Most values in the JSON of a body at the addresses of other processes and operators; HttpServerOptions::maxJsonValues by default.
    std::optional<std::int64_t> maxJsonValues;
    // Open connections of clients, operators, minions and other processes at all addresses of the process.
    std::int64_t maxConnections { 3'000 };
    // Header lines of one request.
    std::int64_t maxHeaderLines { 100 };
    std::int64_t maxIdBytes { 128 };
    std::int64_t maxTasksPerJob { 1'000 };
    std::int64_t maxQueuedTasks { 20'000 };
    Milliseconds maxWait { 60'000 };
    Milliseconds answerRetention { 120'000 };

    // [sidecar]
    std::int64_t prefetch { 2 };
    Milliseconds maxRunTime { 60'000 };
    Milliseconds minionTimeout { 3'000 };
    // Address on which a sidecar of best-effort jobs accepts streams from entries.
    std::string streamListen;
    // Address at which entries reach that listener; defaults to the listening address.
    std::string streamAdvertise;
    // Shortest time after which callers are told to submit a best-effort job again. No run of the former submission may be left by
    // then, whether entries could be told of it or not; a sidecar that can't guarantee this does not start.
    Milliseconds resubmitAfter { 1'300 };

    // [placement]
    // Whether an entry places best-effort jobs by how fast each minion has been.
    bool placeBySpeed { false };
    // Whether tasks of queues that slow each other down are placed on different minions where there is room.
    bool separateInterference { false };

    // [shutdown]
    Milliseconds shutdownGrace { 30'000 };
    // How long a stopping entry of the users' platform goes on accepting jobs that can end within the grace.
    Milliseconds acceptWhileStopping { 2'500 };
};

// Bytes of requests and answers that the process may hold at the same time: as set, otherwise four of the largest bodies and at least
// 16 MiB.
std::size_t bufferedBytesLimit(const Settings&);

// Reads and checks a settings file. Fails with one BadSettings error that lists every unknown key, wrong type, value
// out of range and contradiction, each with the file, the key and the expected value.
Result<Settings> loadSettings(const std::string& path);

// Like loadSettings, for the text of a file. Error messages use `name` as the file name.
Result<Settings> parseSettings(const std::string& text, const std::string& name);

} // namespace oleanderport
