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
    item.requestKind = kind::Run;
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
    item.requestKind = kind::Refuse;
    item.key = key;
    item.deadline = deadline;
    item.done = std::move(done);
    start(std::move(item), now);
}

void claim_holder::settle(settle_request input, mono_time now)
{
    request item;
    item.requestKind = kind::Settle;
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
    item.receivedAt = now;
    request& stored = m_requests.emplace(id, std::move(item)).first->second;
    // A free key needs no read before its claim or close is appended: its state is decided by the order of the log,
    // when that record is read back.
    const bool appendsRecord = stored.requestKind == kind::Run || stored.requestKind == kind::Refuse;
    const bool isFree = m_book.state(stored.key).phase == key_phase::Free;
    if (appendsRecord && isFree && m_book.coverage(stored.key) == key_coverage::Covered)
        stored.requiredRead = m_lastTailRead;
    if (advance(id, stored, now))
        m_requests.erase(id);
}

void claim_holder::awaitTail(request& item)
{
    item.currentStep = step::AwaitTail;
    item.requiredRead = m_readsStarted + 1;
}

void claim_holder::onPageApplied(bool atTail, mono_time now)
{
    if (atTail)
        m_lastTailRead = m_readsStarted;
    for (auto entry = m_requests.begin(); entry != m_requests.end();)
        entry = advance(entry->first, entry->second, now) ? m_requests.erase(entry) : std::next(entry);
}

bool claim_holder::advance(std::uint64_t id, request& item, mono_time now)
{
    const key_coverage coverage = m_book.coverage(item.key);
    if (coverage != key_coverage::Covered)
        return advanceUncovered(item, coverage);
    switch (item.currentStep) {
    case step::AwaitTail:
        return advanceFromTail(id, item, now);
    case step::AwaitClaim:
    case step::Abandoned:
        return advanceClaim(id, item, now);
    case step::Sending:
    case step::OutcomeUnknown:
        // A settlement answers the caller before the result does. A result that arrives later is still recorded.
        if (isFinal(m_book.state(item.key).phase))
            reply(item, answerFor(item, now));
        return false;
    case step::Recording:
    case step::Closing:
        return advanceFinalRecord(item, now);
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
    switch (item.currentStep) {
    case step::Sending:
        return false;
    case step::Recording:
        // Readers ignore the records of an expired key, so the outcome need not be recorded any more.
        if (!expired)
            return false;
        reply(item, { work_state::Completed, work_state::Completed, "", item.outcome->status, item.outcome->body });
        return true;
    case step::OutcomeUnknown:
        return expired;
    default:
        replyUnknown(item, expired ? "key_expired" : "unreadable_record");
        return true;
    }
}

bool claim_holder::advanceFromTail(std::uint64_t id, request& item, mono_time now)
{
    const key_state& state = m_book.state(item.key);
    if (!isFinal(state.phase) && m_lastTailRead < item.requiredRead)
        return false;
    if (state.phase == key_phase::Free && item.requestKind == kind::Run) {
        appendClaim(id, item, now);
        return false;
    }
    if (state.phase == key_phase::Free && item.requestKind == kind::Refuse) {
        item.currentStep = step::Refusing;
        m_hooks.append({ id, false }, { item.key, close_entry {} });
        return false;
    }
    if (state.phase == key_phase::Claimed && item.requestKind == kind::Settle) {
        // The wait must have elapsed when the request came in: the operator examined the service's records before that.
        if (m_mechanisms.settleWait && item.receivedAt - state.claimReadAt < m_timing.settleWait) {
            claim_answer answer = answerFor(item, now);
            answer.reason = "settled_too_early";
            reply(item, answer);
            return true;
        }
        item.currentStep = step::Settling;
        m_hooks.append({ id, false }, { item.key, item.verdict });
        return false;
    }
    reply(item, answerFor(item, now));
    return true;
}

void claim_holder::appendClaim(std::uint64_t id, request& item, mono_time now)
{
    item.currentStep = step::AwaitClaim;
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
    const bool abandoned = item.currentStep == step::Abandoned;
    if (isWinner(item) && state.phase == key_phase::Claimed) {
        if (abandoned) {
            item.currentStep = step::Closing;
            appendFinalRecord(id, item, now);
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
    return inWindow && now < item.deadline && item.sendCount < m_timing.maxSends
        && !(settled && m_mechanisms.settlementStopsSend);
}

void claim_holder::sendOrClose(std::uint64_t id, request& item, mono_time now)
{
    if (!maySend(item, now)) {
        item.currentStep = step::Closing;
        appendFinalRecord(id, item, now);
        return;
    }
    item.currentStep = step::Sending;
    const mono_time windowEnd = item.claimStarted + m_timing.sendWindow;
    const send_permit permit { std::min(windowEnd, item.deadline), item.sendCount++ };
    m_hooks.send(id, permit, item.send);
}

void claim_holder::onSendResult(std::uint64_t owner, const send_result& answer, mono_time now)
{
    const auto found = m_requests.find(owner);
    if (found == m_requests.end())
        return;
    request& item = found->second;
    if (item.currentStep != step::Sending && item.currentStep != step::OutcomeUnknown)
        return;
    if (answer) {
        item.currentStep = step::Recording;
        item.outcome = outcome_entry { item.nonce, answer->status, answer->body, false };
        appendFinalRecord(owner, item, now);
    } else if (item.currentStep == step::OutcomeUnknown) {
        return;
    } else if (answer.error().code == error_code::Refused) {
        sendOrClose(owner, item, now);
    } else if (answer.error().code == error_code::NotFound) {
        item.currentStep = step::Closing;
        appendFinalRecord(owner, item, now);
    } else {
        item.currentStep = step::OutcomeUnknown;
        claim_answer unknownAnswer = answerFor(item, now);
        unknownAnswer.reason = "outcome_unknown";
        reply(item, unknownAnswer);
    }
    if (advance(owner, item, now))
        m_requests.erase(found);
}

void claim_holder::appendFinalRecord(std::uint64_t id, request& item, mono_time now)
{
    item.retryAt = m_mechanisms.outcomeRetry ? now + m_timing.appendRetry : mono_time::max();
    if (item.currentStep == step::Recording)
        m_hooks.append({ id, true }, { item.key, *item.outcome });
    else
        m_hooks.append({ id, false }, { item.key, close_entry { item.nonce } });
}

bool claim_holder::advanceFinalRecord(request& item, mono_time now)
{
    const key_state& state = m_book.state(item.key);
    const bool settled = state.phase == key_phase::SettledRan || state.phase == key_phase::SettledNotRun;
    // A settlement does not end the recording of an outcome, because the outcome overrides it.
    if (!isFinal(state.phase) || (settled && item.currentStep == step::Recording))
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
    if (answer && owner.isOutcome && item.currentStep == step::Recording) {
        // The outcome is on the log with the winning nonce, so every reader reaches the same result.
        reply(item, { work_state::Completed, work_state::Completed, "", item.outcome->status, item.outcome->body });
        m_requests.erase(found);
    } else if (owner.isOutcome && item.currentStep == step::Recording) {
        item.appendFailed = true;
    } else if (answer && item.currentStep == step::AwaitClaim && !m_mechanisms.claimReadBack) {
        sendOrClose(owner.request, item, now);
    } else if (answer && item.currentStep == step::Refusing && !m_mechanisms.closeReadBack) {
        reply(item, { work_state::NotRun, work_state::NotRun });
        m_requests.erase(found);
    } else if (refused
        && (item.currentStep == step::AwaitClaim || item.currentStep == step::Abandoned
            || item.currentStep == step::Refusing || item.currentStep == step::Settling)) {
        replyUnknown(item, "log_unavailable");
        m_requests.erase(found);
    }
}

void claim_holder::onTick(mono_time now)
{
    for (auto entry = m_requests.begin(); entry != m_requests.end();) {
        request& item = entry->second;
        const bool hasPendingAppend = item.currentStep == step::Recording || item.currentStep == step::Closing;
        if (hasPendingAppend && now >= item.retryAt)
            appendFinalRecord(entry->first, item, now);
        entry = checkTimeout(item, now) ? m_requests.erase(entry) : std::next(entry);
    }
}

bool claim_holder::checkTimeout(request& item, mono_time now)
{
    const bool deadlinePassed = now >= item.deadline;
    switch (item.currentStep) {
    case step::AwaitClaim:
        if (!deadlinePassed && now - item.claimStarted < m_timing.sendWindow)
            return false;
        if (!m_mechanisms.sendWindow && !deadlinePassed)
            return false;
        // From here on, the call is never sent under the claim with this nonce.
        replyUnknown(item, "log_unavailable");
        item.currentStep = step::Abandoned;
        return false;
    case step::AwaitTail:
    case step::Refusing:
    case step::Settling:
        if (deadlinePassed)
            replyUnknown(item, "log_unavailable");
        return deadlinePassed;
    case step::Sending:
        if (deadlinePassed && item.done) {
            claim_answer answer = answerFor(item, now);
            answer.reason = "deadline";
            reply(item, answer);
        }
        return false;
    case step::Recording:
    case step::Closing:
        if (deadlinePassed)
            replyUnknown(item, "log_unavailable");
        return false;
    case step::OutcomeUnknown:
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
    switch (item.currentStep) {
    case step::Sending:
        return work_state::Running;
    case step::OutcomeUnknown:
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
        if (item.currentStep == step::AwaitClaim && m_mechanisms.sendWindow)
            consider(item.claimStarted + m_timing.sendWindow);
        if (item.currentStep == step::Recording || item.currentStep == step::Closing)
            consider(item.retryAt);
    }
    return wake;
}

bool claim_holder::needsTailRead() const
{
    return std::any_of(m_requests.begin(), m_requests.end(), [](const auto& entry) {
        const step currentStep = entry.second.currentStep;
        if (currentStep == step::Recording)
            return entry.second.appendFailed;
        return currentStep != step::Sending && currentStep != step::OutcomeUnknown && currentStep != step::Abandoned;
    });
}

std::size_t claim_holder::unrecordedCount() const
{
    return static_cast<std::size_t>(std::count_if(m_requests.begin(), m_requests.end(), [](const auto& entry) {
        const step currentStep = entry.second.currentStep;
        return currentStep == step::Sending || currentStep == step::Recording || currentStep == step::Closing;
    }));
}

} // namespace balsamspring
