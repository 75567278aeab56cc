#pragma once

#include "oleanderport/Messages.h"

#include <jsoncpp/json/json.h>

#include <string>

// The JSON format of callers' requests and answers; docs/API.md is its reference.
namespace oleanderport {

// Parses a job submission. Unknown fields, missing fields and wrong types fail with BadRequest.
Result<JobSpec> parseJob(const std::string& body);

// Parses a single request as a job of one task. `defaultId` becomes the job id when the caller gives none.
Result<JobSpec> parseRequest(const std::string& body, const std::string& defaultId);

// The state or the answer of a job, as sent to callers.
Json::Value answerToJson(const JobAnswer&);

} // namespace oleanderport
