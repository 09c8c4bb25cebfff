#include <plumsill/config.h>
#include <plumsill/document.h>
#include <plumsill/manifest.h>

#include <boost/json.hpp>
#include <xxhash.h>

#include <algorithm>

namespace plumsill
{
namespace
{
namespace json = boost::json;

// Mean number of sections per chunk (piece of a stored text). A section ends a chunk if the hash of its header line says so,
// whatever the rest of the text is. An edit elsewhere therefore leaves the boundary in place.
constexpr std::uint64_t SectionsPerChunk = 2000;

std::string text(const json::object &object, const char *key)
{
    return std::string(object.at(key).as_string());
}

std::uint64_t number(const json::object &object, const char *key)
{
    return object.at(key).to_number<std::uint64_t>();
}

json::object toValue(const HistoryEntry &entry)
{
    return {{"version", entry.version}, {"digest", entry.digest}, {"author", entry.author},
            {"action", entry.action},   {"time", entry.time},     {"writeId", entry.writeId}};
}

HistoryEntry toHistoryEntry(const json::object &object)
{
    return {number(object, "version"), text(object, "digest"), text(object, "author"), text(object, "action"), text(object, "time"), text(object, "writeId")};
}

Manifest toManifest(const json::object &object)
{
    Manifest manifest;
    manifest.stamp = {number(object, "version"), text(object, "digest")};
    for (const auto &chunk : object.at("chunks").as_array()) {
        manifest.chunks.push_back({text(chunk.as_object(), "digest"), number(chunk.as_object(), "version")});
    }
    for (const auto &entry : object.at("history").as_array()) {
        manifest.history.push_back(toHistoryEntry(entry.as_object()));
    }
    return manifest;
}

template<class Value, class Convert>
std::optional<Value> convert(const std::string &text, Convert fill)
{
    try {
        return fill(json::parse(text).as_object());
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

bool endsChunk(std::string_view section)
{
    const auto header = section.substr(0, section.find('\n'));
    return XXH3_64bits(header.data(), header.size()) % SectionsPerChunk == 0;
}

std::size_t nextSection(const std::string &text, std::size_t from)
{
    const auto found = text.find("\n[", from);
    return found == std::string::npos ? text.size() : found + 1;
}
}

std::string toJson(const Manifest &manifest)
{
    json::array chunks;
    for (const auto &chunk : manifest.chunks) {
        chunks.push_back(json::object {{"digest", chunk.digest}, {"version", chunk.version}});
    }
    json::array history;
    for (const auto &entry : manifest.history) {
        history.push_back(toValue(entry));
    }
    return json::serialize(json::object {{"version", manifest.stamp.version}, {"digest", manifest.stamp.digest}, {"chunks", chunks}, {"history", history}});
}

std::optional<Manifest> parseManifest(const std::string &text)
{
    return convert<Manifest>(text, toManifest);
}

std::string toJson(const Proof &proof)
{
    return json::serialize(json::object {
        {"version", proof.stamp.version}, {"digest", proof.stamp.digest}, {"author", proof.author}, {"time", proof.time}, {"writeId", proof.writeId}});
}

std::optional<Proof> parseProof(const std::string &json)
{
    return convert<Proof>(json, [](const json::object &object) {
        return Proof {{number(object, "version"), text(object, "digest")}, text(object, "author"), text(object, "time"), text(object, "writeId")};
    });
}

std::vector<std::string> splitText(const std::string &text, std::size_t maxBytes)
{
    std::vector<std::string> chunks;
    std::string chunk;
    const auto finish = [&] {
        if (!chunk.empty()) {
            chunks.push_back(std::move(chunk));
            chunk.clear();
        }
    };
    for (std::size_t start = 0; start < text.size();) {
        const auto end = nextSection(text, start);
        const auto section = std::string_view(text).substr(start, end - start);
        if (chunk.size() + section.size() > maxBytes) {
            finish();
        }
        for (std::size_t at = 0; at < section.size(); at += maxBytes) {
            if (at > 0) {
                finish();
            }
            chunk += section.substr(at, maxBytes);
        }
        if (endsChunk(section)) {
            finish();
        }
        start = end;
    }
    finish();
    return chunks;
}

std::string manifestKey(const std::string &environment)
{
    return "environments/" + environment + "/document";
}

std::string proofKey()
{
    return "environments/trial/proof";
}

std::string chunkKey(const std::string &environment, const std::string &digest)
{
    return "environments/" + environment + "/chunks/" + digest;
}

TextAssembly::TextAssembly(std::string environment, Manifest manifest)
    : m_environment(std::move(environment))
    , m_manifest(std::move(manifest))
{ }

std::optional<ObjectCall> TextAssembly::next() const
{
    if (m_read == m_manifest.chunks.size()) {
        return std::nullopt;
    }
    return ReadCall {chunkKey(m_environment, m_manifest.chunks[m_read].digest)};
}

bool TextAssembly::add(const std::string &chunk)
{
    const bool fits = m_text.size() + chunk.size() <= config::MaxDocumentBytes;
    if (!fits || sha256Hex(chunk) != m_manifest.chunks.at(m_read).digest) {
        return false;
    }
    m_text += chunk;
    ++m_read;
    return true;
}

std::optional<std::string> TextAssembly::text() const
{
    return sha256Hex(m_text) == m_manifest.stamp.digest ? std::optional(m_text) : std::nullopt;
}
}
