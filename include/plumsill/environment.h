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

/// Environments and the lifecycle of their documents. An operator first puts a document in the trial environment and has it
/// proved there: the proof records that the document passed every check. The operator then promotes the proved document to
/// production. Each daemon holds the document of its own environment.
namespace plumsill
{
inline constexpr const char *TrialEnvironment = "trial";
inline constexpr const char *ProductionEnvironment = "production";

bool isEnvironment(const std::string &name);

/// Number of members of the epoch that hold at least a given document version.
struct Holders {
    unsigned holding = 0;
    unsigned members = 0;

    bool majority() const { return 2 * holding > members; }
};

/// Request to write a new document to the trial environment.
struct PutRequest {
    std::string text;
    std::uint64_t replaces = 0; ///< version in trial that the operator expects to replace; 0: none
};

/// Request to prove the document of the trial environment: to record that it is valid and, if the daemon that carries out
/// the request belongs to trial, that a majority of the epoch's members holds it.
struct ProveRequest {
    std::uint64_t version = 0; ///< version in trial that the operator expects to prove
};

/// Request to copy the document that was proved in trial to production.
struct PromoteRequest {
    std::string digest; ///< digest of the document that was proved in trial
    std::uint64_t replaces = 0; ///< version in production that the operator expects to replace; 0: none
};

using ChangeRequest = std::variant<PutRequest, ProveRequest, PromoteRequest>;

enum class ChangeOutcome
{
    Accepted, ///< written, and held by a majority of the epoch
    Stored, ///< written; this daemon belongs to another environment, so it can't count the holders
    Unknown, ///< possibly written; or written, but before the deadline no majority was known to hold it
    Conflict, ///< nothing written, because another change came first
    Refused, ///< nothing written
};

const char *toString(ChangeOutcome outcome);

struct ChangeReply {
    ChangeOutcome outcome = ChangeOutcome::Refused;
    DocumentStamp stamp; ///< version and digest of the document that the change wrote or tried to write
    std::string reason;
    std::vector<IniProblem> problems;

    auto operator<=>(const ChangeReply &) const = default;
};

/// A change request with its author and the context of the daemon that carries it out.
struct ChangeOrder {
    ChangeRequest request;
    std::string author;
    std::string time; ///< UTC, ISO 8601
    std::string writeId; ///< unique id of the write
    std::string environment; ///< environment of the daemon that carries out the change
    /// Version of the document that the daemon holds, if it belongs to the changed environment. The change writes a higher
    /// version.
    std::uint64_t highestSeen = 0;
};

/// Step of a ChangeProcess: wait for `delay`, then call ChangeProcess::resumed().
struct ChangePause {
    Duration delay {};
};

/// Step of a ChangeProcess: count the members that hold the document with this stamp (version and digest), then call
/// ChangeProcess::holdersCounted().
struct CountHolders {
    DocumentStamp stamp;
};

using ChangeStep = std::variant<ObjectCall, ChangePause, CountHolders, ChangeReply>;

/// State machine of one operator's change, from the first read to the reply. Each step requests one action, whose result
/// is passed to the next call; a ChangeReply is the last step.
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

    /// Calls that remove the chunks (stored pieces of text) of the replaced document that the new document doesn't use. To
    /// be made after the reply; their results are ignored.
    std::vector<ObjectCall> cleanUp() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/// A document in force with its stamp and text. Immutable.
struct HeldDocument {
    DocumentStamp stamp;
    std::string text;
    std::shared_ptr<const Document> document;
};

/// Effect of a DocumentHolder: publish this document to the traffic threads.
struct AdoptDocument {
    std::shared_ptr<const HeldDocument> held;
};

/// Effect of a DocumentHolder: request the document from this member.
struct FetchDocument {
    MemberId member;
    DocumentStamp stamp;
};

/// Effect of a DocumentHolder: report that an offered document was rejected.
struct RejectOffer {
    DocumentStamp stamp;
    std::string reason;
};

using HolderEffect = std::variant<AdoptDocument, FetchDocument, RejectOffer>;
using HolderEffects = std::vector<HolderEffect>;

/// Holds the document of one daemon. Its version only increases, and only a complete and valid text replaces it.
class DocumentHolder
{
public:
    /// Handles a document that was read from the store; @p sent is the time at which the read was sent.
    HolderEffects offeredByStore(const DocumentStamp &stamp, const std::string &text, TimePoint sent);
    /// Handles the stamp (version and digest) of the document in the store, which was read without the text. Returns false
    /// if the text has to be read too.
    bool confirmedByStore(const DocumentStamp &stamp, TimePoint sent);
    /// Handles the stamp in the heartbeat or acknowledgement of a member.
    HolderEffects reportedByMember(const MemberId &member, const DocumentStamp &stamp, TimePoint now);
    /// Handles a document that was received from a member.
    HolderEffects offeredByMember(const DocumentStamp &stamp, const std::string &text);
    /// Handles a confirmation by a majority of the epoch's members: at the time @p since, none of them knew a document later
    /// than @p stamp.
    void confirmedByMembers(const DocumentStamp &stamp, TimePoint since);

    /// Whether the keys of the document may be trusted because it was confirmed within config::DocumentTrustLifetime.
    /// Otherwise routes that need a key answer 503.
    bool trusted(TimePoint now) const;
    /// End of the trust in the keys unless the document is confirmed again; nothing before the first confirmation.
    std::optional<TimePoint> trustedUntil() const;
    /// Null before the first document.
    const std::shared_ptr<const HeldDocument> &held() const { return m_held; }
    DocumentStamp stamp() const { return m_held ? m_held->stamp : DocumentStamp {}; }

private:
    HolderEffects adopt(const DocumentStamp &stamp, const std::string &text);
    bool isNewer(const DocumentStamp &stamp) const;
    void confirm(TimePoint since);

    std::shared_ptr<const HeldDocument> m_held;
    std::optional<TimePoint> m_confirmedAt;
    std::set<DocumentStamp> m_invalid; ///< offered documents whose text was invalid
    std::optional<DocumentStamp> m_latestReported; ///< highest version that a member reported
    std::optional<DocumentStamp> m_fetching; ///< document of the last fetch
    TimePoint m_fetchSentAt;
};
}
