// JSON bodies of the operator API under /v1/config, encoded and decoded by both the daemon and balsamspringctl.
//
//     GET  /v1/config            {"version":n,"digest":"..","condition":"current","base":{..},"overlays":{"SITE":{..}}}
//     GET  /v1/config/history    {"history":[{"version":n,"id":"..","author":"..","digest":".."}]}
//     GET  /v1/config/members    {"members":[{"vm":"..","version":n,"digest":".."}]}
//     POST /v1/config/proposals  {"id":"..","base_version":n,"author":"..","base":{..},"overlays":{..}}
//                                {"id":"..","state":"pending|accepted|refused|given_up","version":n,"message":".."}
//
// A file is {"file":"name","text":"TOML"}. A repeated POST with the same id returns the state of that proposal.
#pragma once

#include "balsamspring/config/config_follower.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace balsamspring {

struct proposal_request {
    std::string id;
    config_version base;
    std::string author;
    config_sources sources;
};

std::string toJson(const proposal_request& request);
result<proposal_request> parseProposalRequest(std::string_view json);

// State of a proposal as reported to its author.
struct proposal_reply {
    std::string id;
    std::string state; // "pending", "accepted", "refused" or "given_up"
    config_version version;
    std::string message;
};

proposal_reply replyOf(const std::string& id, const publication& status);
std::string toJson(const proposal_reply& reply);
result<proposal_reply> parseProposalReply(std::string_view json);

// Configuration version and condition reported by a VM.
struct config_report {
    config_version version;
    std::string digest;
    std::string condition;
    config_sources sources; // empty while no version is known
};

config_report reportOf(const config_versions& versions);
std::string toJson(const config_report& report);
result<config_report> parseConfigReport(std::string_view json);

struct config_member {
    vm_id vm;
    config_version version;
    std::string digest;
};

std::string toJson(const std::vector<config_member>& members);
result<std::vector<config_member>> parseMembers(std::string_view json);

std::string historyJson(const std::vector<schema::accepted_proposal>& history);

// Response to a POST and its HTTP status: 200 decided or pending, 400 malformed, 409 conflict, 422 invalid, 503 when
// this VM does not know the version in force or is behind the base version.
struct api_response {
    int status = 200;
    std::string body;
};

// Handles POST /v1/config/proposals. Must run on the control thread. Validates all sites before it appends anything.
api_response handleProposal(config_publisher& publisher, std::string_view body, duration limit, mono_time now);

} // namespace balsamspring
