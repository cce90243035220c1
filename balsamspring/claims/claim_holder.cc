#include "balsamspring/claims/claim_holder.h"

#include <algorithm>
#include <utility>

namespace balsamspring {

namespace {

bool isFinal(key_phase phase) { return phase != key_phase::Free && phase != key_phase::Claimed; }

} // namespace

claim_holder::claim_holder(const claim_book& book, vm_id vm, incarnation vmIncarnation, claim_timing timing,
    claim_holder_hooks hooks, internal::claim_mechanisms mechanisms)
    : m_book(book)
    , m_vm(std::move(vm))
    , m_incarnation(vmIncarnation)
    , m_timing(timing)
    , m_hooks(std::move(hooks))
    , m_mechanisms(mechanisms)
{
}

void claim_holder::run(claim_run_request input, mono_time now)
{
    request item;
    item.what = kind::Run;
    item.key = input.key;
    item.bodyDigest = std::move(input.bodyDigest);
    item.deadline = input.deadline;
    item.send = std::move(input.send);
    item.done = std::move(input.done);
    start(std::move(item), now);
}

void claim_holder::query(const key_id& key, mono_time deadline, claim_callback done, mono_time now)
{
    request item;
    item.key = key;
    item.deadline = deadline;
    item.done = std::move(done);
    start(std::move(item), now);
}

void claim_holder::refuse(const key_id& key, mono_time deadline, claim_callback done, mono_time now)
{
    request item;
    item.what = kind::Refuse;
    item.key = key;
    item.deadline = deadline;
    item.done = std::move(done);
    start(std::move(item), now);
}

void claim_holder::settle(settle_request input, mono_time now)
{
    request item;
    item.what = kind::Settle;
    item.key = input.key;
    item.verdict = std::move(input.verdict);
    item.deadline = input.deadline;
    item.done = std::move(input.done);
    start(std::move(item), now);
}

void claim_holder::start(request item, mono_time now)
{
    const std::uint64_t id = ++m_lastId;
    awaitTail(item);
    item.arrived = now;
    request& stored = m_requests.emplace(id, std::move(item)).first->second;
    // A free key needs no read before the claim or close: the log decides when that record is read back.
    const bool writes = stored.what == kind::Run || stored.what == kind::Refuse;
    const bool isFree = m_book.state(stored.key).phase == key_phase::Free;
    if (writes && isFree && m_book.coverage(stored.key) == key_coverage::Covered)
        stored.tailRead = m_tailRead;
    if (advance(id, stored, now))
        m_requests.erase(id);
}

void claim_holder::awaitTail(request& item)
{
    item.at = step::AwaitTail;
    item.tailRead = m_readsStarted + 1;
}

void claim_holder::onView(bool atTail, mono_time now)
{
    if (atTail)
        m_tailRead = m_readsStarted;
    for (auto entry = m_requests.begin(); entry != m_requests.end();)
        entry = advance(entry->first, entry->second, now) ? m_requests.erase(entry) : std::next(entry);
}

bool claim_holder::advance(std::uint64_t id, request& item, mono_time now)
{
    const key_coverage coverage = m_book.coverage(item.key);
    if (coverage != key_coverage::Covered)
        return advanceUncovered(item, coverage);
    switch (item.at) {
    case step::AwaitTail:
        return advanceFromTail(id, item, now);
    case step::AwaitClaim:
    case step::Abandoned:
        return advanceClaim(id, item, now);
    case step::Sending:
    case step::Uncertain:
        // The caller can be answered from a settlement; the result is recorded when it comes all the same.
        if (isFinal(m_book.state(item.key).phase))
            reply(item, answerFor(item, now));
        return false;
    case step::Recording:
    case step::Closing:
        return advanceRecorded(item, now);
    case step::Refusing:
        if (m_book.state(item.key).phase == key_phase::Free)
            return false;
        awaitTail(item);
        return advanceFromTail(id, item, now);
    case step::Settling:
        if (!isFinal(m_book.state(item.key).phase))
            return false;
        reply(item, answerFor(item, now));
        return true;
    }
    return false;
}

bool claim_holder::advanceUncovered(request& item, key_coverage coverage)
{
    const bool expired = coverage == key_coverage::Expired;
    switch (item.at) {
    case step::Sending:
        return false;
    case step::Recording:
        // Readers ignore records of an expired key, so that nothing is left to record.
        if (!expired)
            return false;
        reply(item, { work_state::Completed, work_state::Completed, "", item.outcome->status, item.outcome->body });
        return true;
    case step::Uncertain:
        return expired;
    default:
        replyUnknown(item, expired ? "key_expired" : "unreadable_record");
        return true;
    }
}

bool claim_holder::advanceFromTail(std::uint64_t id, request& item, mono_time now)
{
    const key_state& state = m_book.state(item.key);
    if (!isFinal(state.phase) && m_tailRead < item.tailRead)
        return false;
    if (state.phase == key_phase::Free && item.what == kind::Run) {
        appendClaim(id, item, now);
        return false;
    }
    if (state.phase == key_phase::Free && item.what == kind::Refuse) {
        item.at = step::Refusing;
        m_hooks.append({ id, false }, { item.key, close_entry {} });
        return false;
    }
    if (state.phase == key_phase::Claimed && item.what == kind::Settle) {
        // Counted to the arrival: the operator looked at the service's records before that.
        if (m_mechanisms.settleWait && item.arrived - state.claimReadAt < m_timing.settleWait) {
            claim_answer answer = answerFor(item, now);
            answer.reason = "settled_too_early";
            reply(item, answer);
            return true;
        }
        item.at = step::Settling;
        m_hooks.append({ id, false }, { item.key, item.verdict });
        return false;
    }
    reply(item, answerFor(item, now));
    return true;
}

void claim_holder::appendClaim(std::uint64_t id, request& item, mono_time now)
{
    item.at = step::AwaitClaim;
    item.nonce = m_hooks.newNonce();
    item.claimStarted = now;
    m_hooks.append({ id, false }, { item.key, claim_entry { item.bodyDigest, item.nonce, m_vm, m_incarnation } });
}

bool claim_holder::isWinner(const request& item) const
{
    const auto& winner = m_book.state(item.key).winner;
    return winner && winner->nonce == item.nonce;
}

bool claim_holder::advanceClaim(std::uint64_t id, request& item, mono_time now)
{
    const key_state& state = m_book.state(item.key);
    if (state.phase == key_phase::Free)
        return false;
    const bool abandoned = item.at == step::Abandoned;
    if (isWinner(item) && state.phase == key_phase::Claimed) {
        if (abandoned) {
            item.at = step::Closing;
            appendAgain(id, item, now);
        } else {
            sendOrClose(id, item, now);
        }
        return false;
    }
    if (isWinner(item) && !abandoned && !m_mechanisms.settlementStopsSend && maySend(item, now)) {
        sendOrClose(id, item, now);
        return false;
    }
    if (abandoned)
        return true;
    awaitTail(item);
    return advanceFromTail(id, item, now);
}

bool claim_holder::maySend(const request& item, mono_time now) const
{
    const bool inWindow = !m_mechanisms.sendWindow || now - item.claimStarted < m_timing.sendWindow;
    const bool settled = isFinal(m_book.state(item.key).phase);
    return inWindow && now < item.deadline && item.sends < m_timing.maxSends
        && !(settled && m_mechanisms.settlementStopsSend);
}

void claim_holder::sendOrClose(std::uint64_t id, request& item, mono_time now)
{
    if (!maySend(item, now)) {
        item.at = step::Closing;
        appendAgain(id, item, now);
        return;
    }
    item.at = step::Sending;
    const mono_time windowEnd = item.claimStarted + m_timing.sendWindow;
    const send_permit permit { std::min(windowEnd, item.deadline), item.sends++ };
    m_hooks.send(id, permit, item.send);
}

void claim_holder::onSendResult(std::uint64_t owner, const send_result& answer, mono_time now)
{
    const auto found = m_requests.find(owner);
    if (found == m_requests.end())
        return;
    request& item = found->second;
    if (item.at != step::Sending && item.at != step::Uncertain)
        return;
    if (answer) {
        item.at = step::Recording;
        item.outcome = outcome_entry { item.nonce, answer->status, answer->body, false };
        appendAgain(owner, item, now);
    } else if (item.at == step::Uncertain) {
        return;
    } else if (answer.error().code == error_code::Refused) {
        sendOrClose(owner, item, now);
    } else if (answer.error().code == error_code::NotFound) {
        item.at = step::Closing;
        appendAgain(owner, item, now);
    } else {
        item.at = step::Uncertain;
        claim_answer told = answerFor(item, now);
        told.reason = "outcome_unknown";
        reply(item, told);
    }
    if (advance(owner, item, now))
        m_requests.erase(found);
}

void claim_holder::appendAgain(std::uint64_t id, request& item, mono_time now)
{
    item.retryAt = m_mechanisms.outcomeRetry ? now + m_timing.appendRetry : mono_time::max();
    if (item.at == step::Recording)
        m_hooks.append({ id, true }, { item.key, *item.outcome });
    else
        m_hooks.append({ id, false }, { item.key, close_entry { item.nonce } });
}

bool claim_holder::advanceRecorded(request& item, mono_time now)
{
    const key_state& state = m_book.state(item.key);
    const bool settled = state.phase == key_phase::SettledRan || state.phase == key_phase::SettledNotRun;
    // A settlement does not end the recording of an outcome, which prevails over it.
    if (!isFinal(state.phase) || (settled && item.at == step::Recording))
        return false;
    reply(item, answerFor(item, now));
    return true;
}

void claim_holder::onAppended(append_owner owner, const result<log_offset>& answer, mono_time now)
{
    const auto found = m_requests.find(owner.request);
    if (found == m_requests.end())
        return;
    request& item = found->second;
    const bool refused = !answer && answer.error().code == error_code::Refused;
    if (answer && owner.isOutcome && item.at == step::Recording) {
        // The record is on the log under the winning nonce: every reader will come to the same result.
        reply(item, { work_state::Completed, work_state::Completed, "", item.outcome->status, item.outcome->body });
        m_requests.erase(found);
    } else if (owner.isOutcome && item.at == step::Recording) {
        item.unacknowledged = true;
    } else if (answer && item.at == step::AwaitClaim && !m_mechanisms.readBack) {
        sendOrClose(owner.request, item, now);
    } else if (answer && item.at == step::Refusing && !m_mechanisms.closeReadBack) {
        reply(item, { work_state::NotRun, work_state::NotRun });
        m_requests.erase(found);
    } else if (refused
        && (item.at == step::AwaitClaim || item.at == step::Abandoned || item.at == step::Refusing
            || item.at == step::Settling)) {
        replyUnknown(item, "log_unavailable");
        m_requests.erase(found);
    }
}

void claim_holder::onTick(mono_time now)
{
    for (auto entry = m_requests.begin(); entry != m_requests.end();) {
        request& item = entry->second;
        const bool records = item.at == step::Recording || item.at == step::Closing;
        if (records && now >= item.retryAt)
            appendAgain(entry->first, item, now);
        entry = expire(item, now) ? m_requests.erase(entry) : std::next(entry);
    }
}

bool claim_holder::expire(request& item, mono_time now)
{
    const bool overdue = now >= item.deadline;
    switch (item.at) {
    case step::AwaitClaim:
        if (!overdue && now - item.claimStarted < m_timing.sendWindow)
            return false;
        if (!m_mechanisms.sendWindow && !overdue)
            return false;
        // From here on this nonce is never sent.
        replyUnknown(item, "log_unavailable");
        item.at = step::Abandoned;
        return false;
    case step::AwaitTail:
    case step::Refusing:
    case step::Settling:
        if (overdue)
            replyUnknown(item, "log_unavailable");
        return overdue;
    case step::Sending:
        if (overdue && item.done) {
            claim_answer answer = answerFor(item, now);
            answer.reason = "deadline";
            reply(item, answer);
        }
        return false;
    case step::Recording:
    case step::Closing:
        if (overdue)
            replyUnknown(item, "log_unavailable");
        return false;
    case step::Uncertain:
    case step::Abandoned:
        return false;
    }
    return false;
}

claim_answer claim_holder::answerFor(const request& item, mono_time now) const
{
    const key_state& state = m_book.state(item.key);
    claim_answer answer;
    answer.thisAttempt = attemptState(item);
    answer.conflict = state.conflict;
    const bool otherBody = state.winner && !item.bodyDigest.empty() && state.winner->bodyDigest != item.bodyDigest;
    switch (state.phase) {
    case key_phase::Free:
        answer.reason = "no_claim";
        break;
    case key_phase::Claimed:
        if (now - state.claimReadAt < m_timing.outcomeWait)
            answer.work = work_state::Running;
        break;
    case key_phase::Closed:
    case key_phase::SettledNotRun:
        answer.work = work_state::NotRun;
        break;
    case key_phase::Completed:
        answer.work = work_state::Completed;
        answer.status = state.outcome->status;
        answer.body = otherBody ? std::string() : state.outcome->body;
        answer.bodyOmitted = state.outcome->bodyOmitted;
        break;
    case key_phase::SettledRan:
        answer.work = work_state::Completed;
        answer.reason = "settled";
        break;
    }
    if (otherBody)
        answer.reason = "key_reused";
    return answer;
}

work_state claim_holder::attemptState(const request& item)
{
    switch (item.at) {
    case step::Sending:
        return work_state::Running;
    case step::Uncertain:
        return work_state::Unknown;
    case step::Recording:
        return work_state::Completed;
    default:
        return work_state::NotRun;
    }
}

void claim_holder::reply(request& item, const claim_answer& answer)
{
    if (const claim_callback done = std::exchange(item.done, nullptr))
        done(answer);
}

void claim_holder::replyUnknown(request& item, std::string reason)
{
    claim_answer answer;
    answer.thisAttempt = attemptState(item);
    answer.reason = std::move(reason);
    reply(item, answer);
}

std::optional<mono_time> claim_holder::nextWake() const
{
    std::optional<mono_time> wake;
    const auto consider = [&](mono_time time) {
        wake = wake ? std::min(*wake, time) : time;
    };
    for (const auto& [id, item] : m_requests) {
        if (item.done)
            consider(item.deadline);
        if (item.at == step::AwaitClaim && m_mechanisms.sendWindow)
            consider(item.claimStarted + m_timing.sendWindow);
        if (item.at == step::Recording || item.at == step::Closing)
            consider(item.retryAt);
    }
    return wake;
}

bool claim_holder::waiting() const
{
    return std::any_of(m_requests.begin(), m_requests.end(), [](const auto& entry) {
        const step at = entry.second.at;
        if (at == step::Recording)
            return entry.second.unacknowledged;
        return at != step::Sending && at != step::Uncertain && at != step::Abandoned;
    });
}

std::size_t claim_holder::unrecorded() const
{
    return static_cast<std::size_t>(std::count_if(m_requests.begin(), m_requests.end(), [](const auto& entry) {
        const step at = entry.second.at;
        return at == step::Sending || at == step::Recording || at == step::Closing;
    }));
}

} // namespace balsamspring
