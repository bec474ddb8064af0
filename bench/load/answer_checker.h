#pragma once

#include <string>
#include <string_view>

namespace quetzal {

/** How a request ended from the caller's point of view. */
enum class load_outcome
{
    /** The complete and correct answer arrived. */
    Complete,
    /** An answer arrived that is malformed or differs from the expected one. */
    Wrong,
    /** An error with a result code arrived, instead of the answer or during it. */
    Refused,
    /** The connection ended before the answer was complete. */
    Broken,
};

/** The outcome of a request and what its caller received. */
struct load_result
{
    load_outcome outcome = load_outcome::Broken;
    /** Result code if the request was rejected, otherwise 0. */
    int code = 0;
    /** "not_run", "outcome_unknown" or "run" if the request was rejected, otherwise empty. */
    std::string execution;
    /** Number of tokens received. */
    int tokens = 0;

    bool operator==(const load_result &) const = default;
};

/**
 * Checks one streamed completion while it arrives.
 *
 * Each event must carry the token that the stand-in engine computes from the message.
 */
class stream_checker
{
public:
    /** Expects the answer of the given number of tokens to a message. */
    stream_checker(std::string message, int tokens);

    /** Adds received bytes and returns the number of tokens that they complete. */
    int add(std::string_view bytes);
    /**
     * Returns the result once the connection has ended. isTransferComplete is true if the HTTP
     * message arrived complete.
     */
    load_result finish(bool isTransferComplete) const;

private:
    void readEvent(const std::string &event);

    std::string m_message;
    int m_tokens;
    std::string m_pending;
    int m_received = 0;
    bool m_wrong = false;
    bool m_done = false;
    load_result m_error;
};

/**
 * Checks a completion that was not streamed. Its text must be the one that the stand-in engine
 * computes from the message; a status other than 200 is read by readRejection().
 */
load_result checkCompletion(int status, const std::string &body, const std::string &message,
                            int tokens);

/**
 * Checks the answer to a plain call, in which the stand-in service describes the request that it
 * received; a status other than 200 is read by readRejection().
 */
load_result checkPlainAnswer(int status, const std::string &body,
                             const std::string &callerRequestId, const std::string &method,
                             const std::string &path, const std::string &sentBody);

/** Reads the JSON body of a rejection; Wrong if it has no result code or no execution state. */
load_result readRejection(const std::string &body);

} // namespace quetzal
