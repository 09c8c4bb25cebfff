#pragma once

#include <plumsill/messages.h>
#include <plumsill/store.h>

#include <optional>
#include <string>
#include <vector>

/// How a document lies in the platform's service: a manifest that names chunks below the store's value limit.
namespace plumsill
{
/// A piece of a document's text, stored under its digest; `version` is the store's, of its last write.
struct ChunkRef {
    std::string digest;
    std::uint64_t version = 0;

    auto operator<=>(const ChunkRef &) const = default;
};

/// One change of an environment's document, for the audit.
struct HistoryEntry {
    std::uint64_t version = 0;
    std::string digest;
    std::string author;
    std::string action; ///< put or promote
    std::string time; ///< UTC, ISO 8601
    std::string writeId;

    auto operator<=>(const HistoryEntry &) const = default;
};

/// The object that makes a document version the present one, by one conditional write.
struct Manifest {
    DocumentStamp stamp;
    std::vector<ChunkRef> chunks;
    std::vector<HistoryEntry> history; ///< newest first, bounded

    auto operator<=>(const Manifest &) const = default;
};

std::string toJson(const Manifest &manifest);
std::optional<Manifest> parseManifest(const std::string &json);

/// That a document held in trial passed every check.
struct Proof {
    DocumentStamp stamp; ///< version in trial
    std::string author;
    std::string time;
    std::string writeId;

    auto operator<=>(const Proof &) const = default;
};

std::string toJson(const Proof &proof);
std::optional<Proof> parseProof(const std::string &json);

/// Cuts a text between sections, at places that an edit elsewhere doesn't move.
std::vector<std::string> splitText(const std::string &text, std::size_t maxBytes);

std::string manifestKey(const std::string &environment);
std::string proofKey();
std::string chunkKey(const std::string &environment, const std::string &digest);

/// Gathers the chunks of a manifest, one read at a time.
class TextAssembly
{
public:
    TextAssembly(std::string environment, Manifest manifest);

    /// The next chunk to read; nothing when all are there.
    std::optional<ObjectCall> next() const;
    /// False if the chunk isn't what the manifest names.
    bool add(const std::string &chunk);
    /// The whole text; nothing if its digest differs from the manifest's.
    std::optional<std::string> text() const;
    const Manifest &manifest() const { return m_manifest; }

private:
    std::string m_environment;
    Manifest m_manifest;
    std::size_t m_read = 0;
    std::string m_text;
};
}
