// Idempotency keys of non-idempotent calls: issue and verification.
#pragma once

#include "balsamspring/base/ids.h"
#include "balsamspring/base/result.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace balsamspring {

// Identifies a key within its partition. Keys are ordered by offset, so that expired keys are at the front of a map.
struct key_id {
    log_offset offset; // next offset of the partition's log when the key was issued
    std::uint64_t nonce = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): as for strong_id
    friend auto operator<=>(const key_id&, const key_id&) = default;
};

struct call_key {
    std::uint32_t partition = 0;
    key_id id;
};

// Issues and verifies keys of the text form `bk1.<partition>.<offset>.<nonce>.<mac>`. The MAC also covers the team, so
// that a key is valid only for the team that it was issued to.
class call_key_signer {
public:
    // `secret` is the same on all VMs.
    explicit call_key_signer(std::string secret)
        : m_secret(std::move(secret))
    {
    }

    std::string issue(const team_id& team, const call_key& key) const;

    // Error `InvalidArgument` for text that is malformed, not signed with the secret or issued to another team.
    result<call_key> verify(const team_id& team, std::string_view text) const;

private:
    std::string mac(const team_id& team, std::string_view unsignedText) const;

    std::string m_secret;
};

} // namespace balsamspring
