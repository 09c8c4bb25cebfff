#include <plumsill/config.h>
#include <plumsill/environment.h>

#include <algorithm>
#include <cassert>

namespace plumsill
{
namespace
{
enum class Phase
{
    ReadProof,
    ReadSource, ///< reads the manifest of the document to prove or promote
    ReadSourceChunk,
    AwaitTrialHolders, ///< waits until a majority of the trial daemons holds the document to prove
    ReadProofBase, ///< reads the version of the proof to replace
    ReadBase, ///< reads the manifest to replace
    CreateChunk,
    ReadChunk,
    RewriteChunk,
    Write,
    AwaitHolders,
    Done,
};

template<class Request>
const Request *as(const ChangeOrder &order)
{
    return std::get_if<Request>(&order.request);
}

std::string versionText(std::uint64_t version)
{
    return version == 0 ? "no document" : "version " + std::to_string(version);
}

bool isNotFound(const ObjectResult &result)
{
    return result.has_error() && result.error().fault == StoreFault::NotFound;
}
}

bool isEnvironment(const std::string &name)
{
    return name == TrialEnvironment || name == ProductionEnvironment;
}

const char *toString(ChangeOutcome outcome)
{
    switch (outcome) {
    case ChangeOutcome::Accepted:
        return "accepted";
    case ChangeOutcome::Stored:
        return "stored";
    case ChangeOutcome::Unknown:
        return "unknown";
    case ChangeOutcome::Conflict:
        return "conflict";
    case ChangeOutcome::Refused:
        return "refused";
    }
    return "";
}

struct ChangeProcess::State {
    ChangeOrder order;
    TimePoint started;
    TimePoint deadline;
    std::string target; ///< environment that the change writes to
    Phase phase = Phase::Done;
    ObjectCall call = ReadCall {};
    std::string text;
    DocumentStamp stamp;
    std::optional<TextAssembly> source;
    Manifest base;
    std::uint64_t baseObject = 0; ///< version in the store of the object to replace; 0: none
    std::vector<std::string> pieces;
    std::vector<ChunkRef> chunks;
    std::optional<ConditionalWrite> write;
    bool written = false;

    ChangeStep issueCall(Phase next, ObjectCall storeCall);
    ChangeStep reply(ChangeOutcome outcome, const std::string &reason);
    ChangeStep pause() const { return ChangePause {config::ChangeRetryInterval}; }
    ChangeStep retry(const StoreError &error, TimePoint now);
    ChangeStep conflictUnlessStale(const std::string &reason, TimePoint now);
    ChangeStep checkText();
    ChangeStep begin();
    ChangeStep readChunksOfSource();
    ChangeStep onProofRead(const ObjectResult &result, TimePoint now);
    ChangeStep onSourceRead(const ObjectResult &result, TimePoint now);
    ChangeStep onSourceChunkRead(const ObjectResult &result, TimePoint now);
    ChangeStep onSourceComplete();
    ChangeStep onProofBaseRead(const ObjectResult &result, TimePoint now);
    ChangeStep onBaseRead(const ObjectResult &result, TimePoint now);
    ChangeStep writeChunks();
    ChangeStep onChunkAnswer(const ObjectResult &result, TimePoint now);
    ChangeStep onChunkWritten(std::uint64_t version);
    ChangeStep writeManifest();
    ChangeStep writeProof();
    ChangeStep startWrite(const std::string &key, const std::string &value);
    ChangeStep onWriteStep(const WriteStep &step);
    ChangeStep onWriteDone();
    ChangeStep holders(const Holders &holders, TimePoint now);
};

ChangeStep ChangeProcess::State::issueCall(Phase next, ObjectCall storeCall)
{
    phase = next;
    call = std::move(storeCall);
    return call;
}

ChangeStep ChangeProcess::State::reply(ChangeOutcome outcome, const std::string &reason)
{
    phase = Phase::Done;
    return ChangeReply {outcome, stamp, reason, {}};
}

// Repeats the failed call after a pause, unless the deadline has passed or the value is too large. Reads can be repeated
// safely. So can writes of a chunk (piece of the text), as no manifest refers to the new chunk yet.
ChangeStep ChangeProcess::State::retry(const StoreError &error, TimePoint now)
{
    if (now >= deadline || error.fault == StoreFault::TooLarge) {
        return reply(ChangeOutcome::Refused, "store: " + plumsill::toString(error));
    }
    return pause();
}

// A lagging replica of the store can return an older state than the operator saw. The read is therefore repeated until
// StaleReadTimeout after the start of the change; a difference that lasts longer is a conflict.
ChangeStep ChangeProcess::State::conflictUnlessStale(const std::string &reason, TimePoint now)
{
    return now < started + config::StaleReadTimeout ? pause() : reply(ChangeOutcome::Conflict, reason);
}

ChangeStep ChangeProcess::State::begin()
{
    if (const auto *put = as<PutRequest>(order)) {
        target = TrialEnvironment;
        text = put->text;
        stamp.digest = sha256Hex(text);
        return checkText();
    }
    if (as<ProveRequest>(order) != nullptr) {
        target = TrialEnvironment;
        return issueCall(Phase::ReadSource, ReadCall {manifestKey(TrialEnvironment)});
    }
    target = ProductionEnvironment;
    stamp.digest = as<PromoteRequest>(order)->digest;
    return issueCall(Phase::ReadProof, ReadCall {proofKey()});
}

ChangeStep ChangeProcess::State::onProofRead(const ObjectResult &result, TimePoint now)
{
    if (result.has_error() && !isNotFound(result)) {
        return retry(result.error(), now);
    }
    const auto &digest = as<PromoteRequest>(order)->digest;
    const auto proof = result.has_value() ? parseProof(std::get<StoredObject>(result.value()).value) : std::nullopt;
    if (!proof || proof->stamp.digest != digest) {
        return conflictUnlessStale("the digest is not the one proved in trial", now);
    }
    return issueCall(Phase::ReadSource, ReadCall {manifestKey(TrialEnvironment)});
}

ChangeStep ChangeProcess::State::onSourceRead(const ObjectResult &result, TimePoint now)
{
    if (result.has_error() && !isNotFound(result)) {
        return retry(result.error(), now);
    }
    auto manifest = result.has_value() ? parseManifest(std::get<StoredObject>(result.value()).value) : std::nullopt;
    if (!manifest) {
        return conflictUnlessStale("trial holds no document", now);
    }
    const auto *prove = as<ProveRequest>(order);
    const auto *promote = as<PromoteRequest>(order);
    if (prove != nullptr && manifest->stamp.version != prove->version) {
        return conflictUnlessStale("trial holds " + versionText(manifest->stamp.version), now);
    }
    if (promote != nullptr && manifest->stamp.digest != promote->digest) {
        return conflictUnlessStale("trial holds another document than the proved one", now);
    }
    // Trial and production count their versions separately, so a promotion keeps only the digest of the document in trial.
    stamp = promote != nullptr ? DocumentStamp {0, manifest->stamp.digest} : manifest->stamp;
    source.emplace(TrialEnvironment, std::move(*manifest));
    return readChunksOfSource();
}

ChangeStep ChangeProcess::State::readChunksOfSource()
{
    if (const auto next = source->next()) {
        return issueCall(Phase::ReadSourceChunk, *next);
    }
    return onSourceComplete();
}

ChangeStep ChangeProcess::State::onSourceChunkRead(const ObjectResult &result, TimePoint now)
{
    if (isNotFound(result)) {
        // The document in trial was replaced in the meantime, and the writer of the new one removed the chunk. The manifest
        // is read again after the pause that retry() returns.
        issueCall(Phase::ReadSource, ReadCall {manifestKey(TrialEnvironment)});
    }
    if (result.has_error()) {
        return retry(result.error(), now);
    }
    if (!source->add(std::get<StoredObject>(result.value()).value)) {
        return reply(ChangeOutcome::Refused, "a chunk of the document in trial is damaged");
    }
    return readChunksOfSource();
}

ChangeStep ChangeProcess::State::onSourceComplete()
{
    auto complete = source->text();
    if (!complete) {
        return reply(ChangeOutcome::Refused, "the document in trial is damaged");
    }
    text = std::move(*complete);
    return checkText();
}

ChangeStep ChangeProcess::State::checkText()
{
    if (text.size() > config::MaxDocumentBytes) {
        return reply(ChangeOutcome::Refused, "the document is too large");
    }
    auto parsed = parseDocument(text, "document");
    if (!parsed.valid()) {
        phase = Phase::Done;
        return ChangeReply {ChangeOutcome::Refused, stamp, "the document is invalid", std::move(parsed.problems)};
    }
    if (as<ProveRequest>(order) == nullptr) {
        return issueCall(Phase::ReadBase, ReadCall {manifestKey(target)});
    }
    if (order.environment != TrialEnvironment) {
        return issueCall(Phase::ReadProofBase, ReadCall {proofKey()});
    }
    phase = Phase::AwaitTrialHolders;
    return CountHolders {stamp};
}

ChangeStep ChangeProcess::State::onProofBaseRead(const ObjectResult &result, TimePoint now)
{
    if (result.has_error() && !isNotFound(result)) {
        return retry(result.error(), now);
    }
    baseObject = result.has_value() ? std::get<StoredObject>(result.value()).version : 0;
    return writeProof();
}

ChangeStep ChangeProcess::State::onBaseRead(const ObjectResult &result, TimePoint now)
{
    if (result.has_error() && !isNotFound(result)) {
        return retry(result.error(), now);
    }
    const auto *object = result.has_value() ? &std::get<StoredObject>(result.value()) : nullptr;
    auto manifest = object != nullptr ? parseManifest(object->value) : std::nullopt;
    if (object != nullptr && !manifest) {
        return reply(ChangeOutcome::Refused, "the manifest in the store can't be read");
    }
    base = manifest ? std::move(*manifest) : Manifest {};
    baseObject = object != nullptr ? object->version : 0;
    const auto *put = as<PutRequest>(order);
    const auto replaces = put != nullptr ? put->replaces : as<PromoteRequest>(order)->replaces;
    const std::string found = target + " holds " + versionText(base.stamp.version);
    if (base.stamp.version < replaces) {
        return conflictUnlessStale(found, now);
    }
    if (base.stamp.version > replaces) {
        return reply(ChangeOutcome::Conflict, found);
    }
    stamp.version = std::max(base.stamp.version, order.highestSeen) + 1;
    pieces = splitText(text, config::MaxChunkBytes);
    return writeChunks();
}

ChangeStep ChangeProcess::State::writeChunks()
{
    while (chunks.size() < pieces.size()) {
        const auto digest = sha256Hex(pieces[chunks.size()]);
        const auto same = [&](const ChunkRef &chunk) { return chunk.digest == digest; };
        const auto inBase = std::find_if(base.chunks.begin(), base.chunks.end(), same);
        const auto before = std::find_if(chunks.begin(), chunks.end(), same);
        if (inBase == base.chunks.end() && before == chunks.end()) {
            return issueCall(Phase::CreateChunk, CreateCall {chunkKey(target, digest), pieces[chunks.size()]});
        }
        chunks.push_back(inBase != base.chunks.end() ? *inBase : ChunkRef(*before));
    }
    return writeManifest();
}

ChangeStep ChangeProcess::State::onChunkWritten(std::uint64_t version)
{
    chunks.push_back({sha256Hex(pieces[chunks.size()]), version});
    return writeChunks();
}

// A chunk (piece of the text) to create may exist already as part of an earlier document. The writer that replaced that
// document may be about to remove the chunk. The chunk is therefore written again, which raises its version: the removal is
// conditional on the old version and then has no effect.
ChangeStep ChangeProcess::State::onChunkAnswer(const ObjectResult &result, TimePoint now)
{
    const auto &piece = pieces[chunks.size()];
    const auto key = chunkKey(target, sha256Hex(piece));
    if (result.has_value() && phase == Phase::ReadChunk) {
        return issueCall(Phase::RewriteChunk, ReplaceCall {key, piece, std::get<StoredObject>(result.value()).version});
    }
    if (result.has_value()) {
        return onChunkWritten(std::get<Written>(result.value()).version);
    }
    const auto fault = result.error().fault;
    if (fault == StoreFault::Conflict && now < deadline) {
        return issueCall(Phase::ReadChunk, ReadCall {key});
    }
    if (fault == StoreFault::NotFound && now < deadline) {
        return issueCall(Phase::CreateChunk, CreateCall {key, piece});
    }
    return retry(result.error(), now);
}

ChangeStep ChangeProcess::State::writeManifest()
{
    Manifest manifest {stamp, chunks, base.history};
    const std::string action = as<PutRequest>(order) != nullptr ? "put" : "promote";
    manifest.history.insert(manifest.history.begin(), {stamp.version, stamp.digest, order.author, action, order.time, order.writeId});
    manifest.history.resize(std::min(manifest.history.size(), config::MaxHistoryEntries));
    return startWrite(manifestKey(target), toJson(manifest));
}

ChangeStep ChangeProcess::State::writeProof()
{
    return startWrite(proofKey(), toJson(Proof {stamp, order.author, order.time, order.writeId}));
}

ChangeStep ChangeProcess::State::startWrite(const std::string &key, const std::string &value)
{
    phase = Phase::Write;
    if (value.size() > config::MaxValueBytes) {
        return reply(ChangeOutcome::Refused, "the manifest is too large");
    }
    write.emplace(ConditionalWrite::Request {key, value, order.writeId, baseObject}, deadline);
    return onWriteStep(write->start());
}

ChangeStep ChangeProcess::State::onWriteStep(const WriteStep &step)
{
    struct Visitor {
        State &state;

        ChangeStep operator()(const ObjectCall &call) const { return state.issueCall(Phase::Write, call); }
        ChangeStep operator()(const WritePause &pause) const { return ChangePause {pause.delay}; }
        ChangeStep operator()(const WriteDone & /*done*/) const { return state.onWriteDone(); }
        ChangeStep operator()(const WriteConflict & /*conflict*/) const { return state.reply(ChangeOutcome::Conflict, "another change came first"); }
        ChangeStep operator()(const WriteSuperseded & /*later*/) const
        {
            // A manifest lists the write ids of its predecessors. The later manifest lacks the id of this write, so the
            // write had no effect. A proof lists no earlier write ids, so the outcome of its write is unknown.
            const bool listed = as<ProveRequest>(state.order) == nullptr;
            return state.reply(listed ? ChangeOutcome::Conflict : ChangeOutcome::Unknown, "another change came first");
        }
        ChangeStep operator()(const WriteNotDone &failed) const { return state.reply(ChangeOutcome::Refused, "store: " + plumsill::toString(failed.error)); }
        ChangeStep operator()(const WriteUnknown & /*unknown*/) const { return state.reply(ChangeOutcome::Unknown, "the store gave no answer to the write"); }
    };
    return std::visit(Visitor {*this}, step);
}

ChangeStep ChangeProcess::State::onWriteDone()
{
    written = true;
    if (order.environment != target) {
        return reply(ChangeOutcome::Stored, "written; this daemon is not of " + target);
    }
    if (as<ProveRequest>(order) != nullptr) {
        return reply(ChangeOutcome::Accepted, "proved");
    }
    phase = Phase::AwaitHolders;
    return CountHolders {stamp};
}

ChangeStep ChangeProcess::State::holders(const Holders &holders, TimePoint now)
{
    if (holders.majority()) {
        return phase == Phase::AwaitHolders ? reply(ChangeOutcome::Accepted, "held by a majority") : issueCall(Phase::ReadProofBase, ReadCall {proofKey()});
    }
    if (now < deadline) {
        return pause();
    }
    const std::string reason = "held by " + std::to_string(holders.holding) + " of " + std::to_string(holders.members) + " daemons";
    return reply(phase == Phase::AwaitHolders ? ChangeOutcome::Unknown : ChangeOutcome::Refused, reason);
}

ChangeProcess::ChangeProcess(ChangeOrder order, TimePoint now)
    : m_state(std::make_unique<State>())
{
    m_state->order = std::move(order);
    m_state->started = now;
    m_state->deadline = now + config::ChangeTimeout;
}

ChangeProcess::~ChangeProcess() = default;

ChangeStep ChangeProcess::start()
{
    return m_state->begin();
}

ChangeStep ChangeProcess::answered(const ObjectResult &result, TimePoint now)
{
    switch (m_state->phase) {
    case Phase::ReadProof:
        return m_state->onProofRead(result, now);
    case Phase::ReadSource:
        return m_state->onSourceRead(result, now);
    case Phase::ReadSourceChunk:
        return m_state->onSourceChunkRead(result, now);
    case Phase::ReadProofBase:
        return m_state->onProofBaseRead(result, now);
    case Phase::ReadBase:
        return m_state->onBaseRead(result, now);
    case Phase::CreateChunk:
    case Phase::ReadChunk:
    case Phase::RewriteChunk:
        return m_state->onChunkAnswer(result, now);
    case Phase::Write:
        return m_state->onWriteStep(m_state->write->answered(result, now));
    case Phase::AwaitTrialHolders:
    case Phase::AwaitHolders:
    case Phase::Done:
        break;
    }
    assert(false && "no call is open");
    return m_state->reply(ChangeOutcome::Unknown, "internal error");
}

ChangeStep ChangeProcess::resumed(TimePoint /*now*/)
{
    switch (m_state->phase) {
    case Phase::Write:
        return m_state->onWriteStep(m_state->write->resume());
    case Phase::AwaitTrialHolders:
    case Phase::AwaitHolders:
        return CountHolders {m_state->stamp};
    default:
        return m_state->call;
    }
}

ChangeStep ChangeProcess::holdersCounted(const Holders &holders, TimePoint now)
{
    assert(m_state->phase == Phase::AwaitTrialHolders || m_state->phase == Phase::AwaitHolders);
    return m_state->holders(holders, now);
}

std::vector<ObjectCall> ChangeProcess::cleanUp() const
{
    std::vector<ObjectCall> calls;
    if (!m_state->written) {
        return calls;
    }
    for (const auto &chunk : m_state->base.chunks) {
        const auto same = [&](const ChunkRef &kept) { return kept.digest == chunk.digest; };
        if (std::none_of(m_state->chunks.begin(), m_state->chunks.end(), same)) {
            calls.emplace_back(RemoveCall {chunkKey(m_state->target, chunk.digest), chunk.version});
        }
    }
    return calls;
}
}
