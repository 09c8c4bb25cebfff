#pragma once

#include <plumsill/messages.h>
#include <plumsill/store.h>

#include <optional>
#include <string>
#include <vector>

/// Storage format of documents: a manifest that lists chunks, each smaller than the store's maximum value size.
namespace plumsill
{
/// Reference to a chunk (piece) of a document's text. The chunk is stored under its digest. `version` is the version that
/// the store assigned to the last write of the chunk.
struct ChunkRef {
    std::string digest;
    std::uint64_t version = 0;

    auto operator<=>(const ChunkRef &) const = default;
};

/// One change of an environment's document, for audits.
struct HistoryEntry {
    std::uint64_t version = 0;
    std::string digest;
    std::string author;
    std::string action; ///< "put" or "promote"
    std::string time; ///< UTC, ISO 8601
    std::string writeId;

    auto operator<=>(const HistoryEntry &) const = default;
};

/// Object in the store that lists the chunks of a document version. A single conditional write of this object puts the
/// version in force.
struct Manifest {
    DocumentStamp stamp;
    std::vector<ChunkRef> chunks;
    std::vector<HistoryEntry> history; ///< newest first, at most config::MaxHistoryEntries

    auto operator<=>(const Manifest &) const = default;
};

std::string toJson(const Manifest &manifest);
std::optional<Manifest> parseManifest(const std::string &json);

/// Record that a document in trial passed every check.
struct Proof {
    DocumentStamp stamp; ///< version in trial
    std::string author;
    std::string time;
    std::string writeId;

    auto operator<=>(const Proof &) const = default;
};

std::string toJson(const Proof &proof);
std::optional<Proof> parseProof(const std::string &json);

/// Splits a text into chunks of at most @p maxBytes bytes. Chunks end between sections, unless a single section is larger.
/// Some chunks end early, after a section whose header marks an end, so that an edit changes few chunks.
std::vector<std::string> splitText(const std::string &text, std::size_t maxBytes);

std::string manifestKey(const std::string &environment);
std::string proofKey();
std::string chunkKey(const std::string &environment, const std::string &digest);

/// Assembles the text of a document from the chunks of its manifest, one read at a time.
class TextAssembly
{
public:
    TextAssembly(std::string environment, Manifest manifest);

    /// Call that reads the next chunk; nothing if all chunks were added.
    std::optional<ObjectCall> next() const;
    /// Adds the chunk that the call from next() read. Returns false if its digest differs from the manifest's or the text
    /// would exceed config::MaxDocumentBytes.
    bool add(const std::string &chunk);
    /// The complete text; nothing if its digest differs from the manifest's.
    std::optional<std::string> text() const;
    const Manifest &manifest() const { return m_manifest; }

private:
    std::string m_environment;
    Manifest m_manifest;
    std::size_t m_read = 0;
    std::string m_text;
};
}
