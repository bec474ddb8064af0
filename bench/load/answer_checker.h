#pragma once

#include <string>
#include <string_view>

namespace quetzal {

/** How a request ended, as its caller saw it. */
enum class load_outcome
{
    /** The whole right answer. */
    Whole,
    /** An answer that looks whole and is not the right one. */
    Wrong,
    /** A numbered refusal or a numbered error during the answer. */
    Refused,
    /** The connection ended without an answer or in the middle of one. */
    Broken,
};

/** The end of a request. */
struct load_result
{
    load_outcome outcome = load_outcome::Broken;
    /** Number of the result code when refused. */
    int code = 0;
    /** "not_run", "outcome_unknown" or "run" when refused. */
    std::string execution;
    /** Tokens that were received. */
    int tokens = 0;

    bool operator==(const load_result &) const = default;
};

/**
 * Checks the bytes of one streamed completion as they arrive.
 *
 * The text must be the one that the stand-in engine computes from the message, event by event.
 */
class stream_checker
{
public:
    stream_checker(std::string message, int tokens);

    /** Takes received bytes; returns the number of tokens that became complete. */
    int add(std::string_view bytes);
    /** The result once the connection has ended; ended says whether the transfer was complete. */
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

/** Checks a completion that was not streamed. */
load_result checkCompletion(int status, const std::string &body, const std::string &message,
                            int tokens);

/** Checks the answer to a plain call. */
load_result checkPlainAnswer(int status, const std::string &body,
                             const std::string &callerRequestId, const std::string &method,
                             const std::string &path, const std::string &sentBody);

/** Reads a refusal's JSON body; Wrong when it is not a numbered one. */
load_result readRefusal(const std::string &body);

} // namespace quetzal
