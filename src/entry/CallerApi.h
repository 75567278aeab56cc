#pragma once

#include "oleanderport/Messages.h"

#include <jsoncpp/json/json.h>

#include <string>

// The JSON that callers write and read; docs/API.md is its reference.
namespace oleanderport {

// Reads a job submission. Unknown fields, missing ones and wrong types are refused with BadRequest.
Result<JobSpec> parseJob(const std::string& body);

// Reads a single request into a job of one task. `defaultId` is used as job id when the caller gives none.
Result<JobSpec> parseRequest(const std::string& body, const std::string& defaultId);

// A job's state or answer.
Json::Value answerToJson(const JobAnswer&);

} // namespace oleanderport
