// Switches with which tests disable single safety mechanisms, to show which violation each of them prevents.
#pragma once

namespace balsamspring::internal {

// All mechanisms are enabled by default, and production code uses the defaults.
struct claim_mechanisms {
    bool claimReadBack = true; // the holder sends only after it has read back its claim as the winning one
    bool sendWindow = true; // the holder sends only within a bounded time, counted from before its append
    bool settlementStopsSend = true; // the holder does not send after it has read a settlement
    bool settleWait = true; // a settlement is refused while the holder may still send
    bool closeOnlyByHolder = true; // a close after a claim is valid only from the holder
    bool keyExpiry = true; // keys whose records may have been trimmed from the log are not used
    bool startupRead = true; // a partition is read from its earliest offset before it is used
    bool closeReadBack = true; // `not_run` is reported only after the close has been read back
    bool outcomeOnlyByHolder = true; // an outcome is valid only from the holder
    bool outcomeRetry = true; // the append of the outcome is retried until it is recorded
    bool outcomeOverSettlement = true; // an outcome overrides a settlement
    bool duplicateIsVoid = true; // every claim after the first is void
};

} // namespace balsamspring::internal
