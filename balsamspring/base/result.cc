#include "balsamspring/base/result.h"

namespace balsamspring {

std::string_view toString(error_code code)
{
    switch (code) {
    case error_code::InvalidArgument:
        return "invalid_argument";
    case error_code::NotFound:
        return "not_found";
    case error_code::AlreadyExists:
        return "already_exists";
    case error_code::FailedPrecondition:
        return "failed_precondition";
    case error_code::Conflict:
        return "conflict";
    case error_code::Expired:
        return "expired";
    case error_code::Unavailable:
        return "unavailable";
    case error_code::Refused:
        return "refused";
    case error_code::Timeout:
        return "timeout";
    case error_code::Corrupt:
        return "corrupt";
    case error_code::Cancelled:
        return "cancelled";
    case error_code::Internal:
        return "internal";
    case error_code::QuotaExceeded:
        return "quota_exceeded";
    }
    return "internal";
}

std::string_view toString(work_state state)
{
    switch (state) {
    case work_state::NotRun:
        return "not_run";
    case work_state::Completed:
        return "completed";
    case work_state::Running:
        return "running";
    case work_state::Unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace balsamspring
