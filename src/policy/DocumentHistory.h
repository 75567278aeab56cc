#pragma once

#include "wire/ControlRecords.h"

#include <string>

namespace oleanderport {

// A change of one environment's document, applied directly or promoted from trial.
struct DocumentChange {
    std::string changeId;
    // Digest of the content of the change.
    std::string digest;
    std::uint64_t baseVersion { 0 };
    std::string author;
    std::string reason;
    Milliseconds whenUnix {};
    // Version of the trial document that is promoted; zero otherwise.
    std::uint64_t promotedFrom { 0 };
    std::string text;
    EnvironmentConfig config;
};

// Number of records kept per environment.
struct HistoryLimits {
    std::size_t versions { 0 };
    std::size_t changes { 0 };
};

// The response already given to a change with this id; nullopt when none is recorded. Fails with Conflict when the id was
// used for another change.
std::optional<Result<DocumentApplied>> recordedResponse(
    const EnvironmentRecord&, const std::string& changeId, const std::string& digest);

// Puts a document in force as the next version when the change is based on the one in force; otherwise refuses with
// Conflict and names the author and time of the version after the base. Either response is kept for a resend.
// The caller records the change of the view.
Result<DocumentApplied> acceptDocument(EnvironmentRecord&, const DocumentChange&, const HistoryLimits&);

// Records a refusal, so that a resend of the change gets it too.
Error recordRefusal(EnvironmentRecord&, const DocumentChange&, const HistoryLimits&, const Error&);

// Drops the oldest records beyond the limit.
template <typename T>
void dropOldestBeyond(std::vector<T>& records, std::size_t limit)
{
    if (records.size() > limit)
        records.erase(records.begin(), records.end() - static_cast<std::ptrdiff_t>(limit));
}

} // namespace oleanderport
