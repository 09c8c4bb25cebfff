#pragma once

#include <plumsill/document.h>
#include <plumsill/manifest.h>
#include <plumsill/messages.h>
#include <plumsill/store.h>

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

/// Environments and the life of their documents: trial, proof, promotion, and what each daemon holds.
namespace plumsill
{
inline constexpr const char *TrialEnvironment = "trial";
inline constexpr const char *ProductionEnvironment = "production";

bool isEnvironment(const std::string &name);

/// Members of the epoch that hold at least some document version.
struct Holders {
    unsigned holding = 0;
    unsigned members = 0;

    bool majority() const { return 2 * holding > members; }
};

/// Writes a new document to the trial environment.
struct PutRequest {
    std::string text;
    std::uint64_t replaces = 0; ///< version in trial that the operator saw; 0: none
};

/// Proves the document that trial holds.
struct ProveRequest {
    std::uint64_t version = 0; ///< in trial
};

/// Makes the document proved in trial the one in production.
struct PromoteRequest {
    std::string digest; ///< proved in trial
    std::uint64_t replaces = 0; ///< version in production that the operator saw; 0: none
};

using ChangeRequest = std::variant<PutRequest, ProveRequest, PromoteRequest>;

enum class ChangeOutcome
{
    Accepted, ///< written, and held by a majority of the epoch
    Stored, ///< written; this daemon isn't of that environment, so it can't tell who holds it
    Unknown, ///< written or maybe written, not confirmed in time
    Conflict, ///< another change came first: nothing written
    Refused, ///< nothing written
};

const char *toString(ChangeOutcome outcome);

struct ChangeReply {
    ChangeOutcome outcome = ChangeOutcome::Refused;
    DocumentStamp stamp; ///< version and digest that were written or tried
    std::string reason;
    std::vector<IniProblem> problems;

    auto operator<=>(const ChangeReply &) const = default;
};

/// Who changes what, from where.
struct ChangeOrder {
    ChangeRequest request;
    std::string author;
    std::string time; ///< UTC, ISO 8601
    std::string writeId; ///< unique
    std::string environment; ///< of the daemon that carries out the change
    std::uint64_t highestSeen = 0; ///< document version that the daemon holds, if it is of the changed environment
};

/// Wait, then call `resumed`.
struct ChangePause {
    Duration delay {};
};

/// Ask who holds the stamp, then call `holdersTold`.
struct CountHolders {
    DocumentStamp stamp;
};

using ChangeStep = std::variant<ObjectCall, ChangePause, CountHolders, ChangeReply>;

/// One operator's change, from the first read to its reply. Each step asks for one thing and is told its result.
class ChangeProcess
{
public:
    ChangeProcess(ChangeOrder order, TimePoint now);
    ~ChangeProcess();
    ChangeProcess(const ChangeProcess &) = delete;
    ChangeProcess &operator=(const ChangeProcess &) = delete;

    ChangeStep start();
    ChangeStep answered(const ObjectResult &result, TimePoint now);
    ChangeStep resumed(TimePoint now);
    ChangeStep holdersCounted(const Holders &holders, TimePoint now);

    /// Chunks that only the replaced document named; call after the reply, results don't matter.
    std::vector<ObjectCall> cleanUp() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/// A document in force, with its stamp. Immutable.
struct HeldDocument {
    DocumentStamp stamp;
    std::string text;
    std::shared_ptr<const Document> document;
};

/// Publish this document to the traffic threads.
struct AdoptDocument {
    std::shared_ptr<const HeldDocument> held;
};

/// Ask this member for its document.
struct FetchDocument {
    MemberId member;
    DocumentStamp stamp;
};

/// An offer was turned down.
struct RejectOffer {
    DocumentStamp stamp;
    std::string reason;
};

using HolderEffect = std::variant<AdoptDocument, FetchDocument, RejectOffer>;
using HolderEffects = std::vector<HolderEffect>;

/// The document that one daemon holds: its version only rises, and only by whole, valid texts.
class DocumentHolder
{
public:
    /// A text from the store; @p sent is when the read was sent.
    HolderEffects offeredByStore(const DocumentStamp &stamp, const std::string &text, TimePoint sent);
    /// The store's present stamp, read without the text; false if the text has to be read too.
    bool confirmedByStore(const DocumentStamp &stamp, TimePoint sent);
    /// A stamp in the pulse or acknowledgement of a member.
    HolderEffects reportedByMember(const MemberId &member, const DocumentStamp &stamp, TimePoint now);
    /// A text sent by a member.
    HolderEffects offeredByMember(const DocumentStamp &stamp, const std::string &text);
    /// Membership confirmed, by a majority of the epoch, that nobody of it knew a later document at @p since.
    void confirmedByMembers(const DocumentStamp &stamp, TimePoint since);

    /// Whether keys may be trusted: confirmed recently enough. Otherwise keyed routes answer 503.
    bool trusted(TimePoint now) const;
    /// Until when they may be, unless it is confirmed again; nothing before the first confirmation.
    std::optional<TimePoint> trustedUntil() const;
    /// Null before the first document.
    const std::shared_ptr<const HeldDocument> &held() const { return m_held; }
    DocumentStamp stamp() const { return m_held ? m_held->stamp : DocumentStamp {}; }

private:
    HolderEffects adopt(const DocumentStamp &stamp, const std::string &text);
    bool isNewer(const DocumentStamp &stamp) const;
    void confirm(TimePoint since);

    std::shared_ptr<const HeldDocument> m_held;
    std::optional<TimePoint> m_confirmed;
    std::set<DocumentStamp> m_invalid; ///< offers whose text was bad
    std::optional<DocumentStamp> m_latestReported; ///< highest that a member told of
    std::optional<DocumentStamp> m_fetching;
    TimePoint m_fetchSent;
};
}
