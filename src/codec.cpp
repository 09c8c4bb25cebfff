#include <plumsill/codec.h>
#include <plumsill/config.h>

#include <cereal/cereal.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <cassert>
#include <concepts>
#include <cstring>
#include <exception>
#include <limits>

namespace plumsill
{
namespace
{
constexpr unsigned VarintBits = 7;
constexpr unsigned VarintMore = 0x80;

// Writes integers with variable length, least significant group first. Cereal's portable archive spends eight bytes on
// each size and integer; with it, the heartbeats of 48 members would exceed the traffic budget of the control plane.
class Output : public cereal::OutputArchive<Output, cereal::AllowEmptyClassElision>
{
public:
    explicit Output(std::string &bytes)
        : OutputArchive(this)
        , m_bytes(bytes)
    { }

    void raw(const void *data, std::size_t size) { m_bytes.append(static_cast<const char *>(data), size); }
    void unsignedInteger(std::uint64_t value)
    {
        while (value >= VarintMore) {
            m_bytes.push_back(static_cast<char>(value | VarintMore));
            value >>= VarintBits;
        }
        m_bytes.push_back(static_cast<char>(value));
    }

private:
    std::string &m_bytes;
};

// Rejects sizes that exceed the remaining bytes before it allocates memory for them.
class Input : public cereal::InputArchive<Input, cereal::AllowEmptyClassElision>
{
public:
    explicit Input(std::string_view bytes)
        : InputArchive(this)
        , m_remaining(bytes)
    { }

    void raw(void *data, std::size_t size)
    {
        requireBytes(size);
        std::memcpy(data, m_remaining.data(), size);
        m_remaining.remove_prefix(size);
    }
    std::uint64_t unsignedInteger(std::uint64_t limit)
    {
        std::uint64_t value = 0;
        for (unsigned shift = 0; shift < std::numeric_limits<std::uint64_t>::digits; shift += VarintBits) {
            unsigned char byte = 0;
            raw(&byte, 1);
            value |= static_cast<std::uint64_t>(byte & (VarintMore - 1)) << shift;
            if (byte < VarintMore) {
                return checked(value, limit);
            }
        }
        throw cereal::Exception("integer too long");
    }
    // An element takes at least one byte, so a size cannot exceed the number of remaining bytes.
    std::size_t size() { return unsignedInteger(m_remaining.size()); }
    bool atEnd() const { return m_remaining.empty(); }

private:
    void requireBytes(std::size_t size) const
    {
        if (size > m_remaining.size()) {
            throw cereal::Exception("message is truncated");
        }
    }
    static std::uint64_t checked(std::uint64_t value, std::uint64_t limit)
    {
        if (value > limit) {
            throw cereal::Exception("number out of range");
        }
        return value;
    }

    std::string_view m_remaining;
};

}
}

CEREAL_SETUP_ARCHIVE_TRAITS(plumsill::Input, plumsill::Output)

namespace plumsill
{
namespace
{
template<std::unsigned_integral T>
void save(Output &archive, const T &value)
{
    archive.unsignedInteger(value);
}

template<std::unsigned_integral T>
void load(Input &archive, T &value)
{
    value = static_cast<T>(archive.unsignedInteger(std::numeric_limits<T>::max()));
}

// The index of a variant is the only signed number that cereal writes, and it is never negative.
void save(Output &archive, const std::int32_t &value)
{
    assert(value >= 0);
    archive.unsignedInteger(static_cast<std::uint64_t>(value));
}

void load(Input &archive, std::int32_t &value)
{
    value = static_cast<std::int32_t>(archive.unsignedInteger(std::numeric_limits<std::int32_t>::max()));
}

template<std::floating_point T>
void save(Output &archive, const T &value)
{
    archive.raw(&value, sizeof(value));
}

template<std::floating_point T>
void load(Input &archive, T &value)
{
    archive.raw(&value, sizeof(value));
}

template<class T>
void save(Output &archive, const cereal::SizeTag<T> &tag)
{
    archive.unsignedInteger(tag.size);
}

template<class T>
void load(Input &archive, cereal::SizeTag<T> &tag)
{
    tag.size = archive.size();
}

template<class T>
void save(Output &archive, const cereal::BinaryData<T> &data)
{
    archive.raw(data.data, data.size);
}

template<class T>
void load(Input &archive, cereal::BinaryData<T> &data)
{
    archive.raw(data.data, data.size);
}

template<class Archive, class T>
void serialize(Archive &archive, cereal::NameValuePair<T> &pair)
{
    archive(pair.value);
}

template<class T>
void save(Output &archive, const std::vector<T> &values)
{
    archive.unsignedInteger(values.size());
    for (const T &value : values) {
        archive(value);
    }
}

// Grows the vector element by element, so that a false size allocates no more than the message contains.
template<class T>
void load(Input &archive, std::vector<T> &values)
{
    const std::size_t count = archive.size();
    values.clear();
    for (std::size_t index = 0; index < count; ++index) {
        archive(values.emplace_back());
    }
}

// Cereal casts any number to an enumeration, so the value is checked after decoding.
bool stateIsKnown(const Message &message)
{
    return std::visit(
        [](const auto &value) {
            if constexpr (requires { value.state; }) {
                return value.state <= MemberState::Leaving;
            }
            return true;
        },
        message);
}

using Signature = std::array<unsigned char, EVP_MAX_MD_SIZE>;

Signature computeSignature(std::string_view bytes, const std::string &secret)
{
    Signature signature {};
    unsigned size = 0;
    const auto *data = reinterpret_cast<const unsigned char *>(bytes.data());
    const auto *computed = HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()), data, bytes.size(), signature.data(), &size);
    assert(computed && size >= config::SignatureBytes);
    static_cast<void>(computed);
    return signature;
}
}

const char *toString(CodecError error)
{
    switch (error) {
    case CodecError::TooShort:
        return "too short";
    case CodecError::BadSignature:
        return "bad signature";
    case CodecError::Malformed:
        return "malformed";
    case CodecError::TrailingBytes:
        return "trailing bytes";
    case CodecError::NoSecret:
        return "no secret";
    }
    return "unknown";
}

std::string encode(const Envelope &envelope, const std::string &secret)
{
    std::string body;
    Output archive(body);
    archive(envelope);
    const Signature signature = computeSignature(body, secret);
    return std::string(reinterpret_cast<const char *>(signature.data()), config::SignatureBytes) + body;
}

Outcome<Envelope, CodecError> decode(std::string_view bytes, const std::string &secret)
{
    // Anyone can compute a signature under an empty key.
    if (secret.empty()) {
        return CodecError::NoSecret;
    }
    if (bytes.size() <= config::SignatureBytes) {
        return CodecError::TooShort;
    }
    const std::string_view body = bytes.substr(config::SignatureBytes);
    const Signature signature = computeSignature(body, secret);
    if (CRYPTO_memcmp(signature.data(), bytes.data(), config::SignatureBytes) != 0) {
        return CodecError::BadSignature;
    }
    try {
        Input archive(body);
        Envelope envelope;
        archive(envelope);
        if (!archive.atEnd()) {
            return CodecError::TrailingBytes;
        }
        if (!stateIsKnown(envelope.message)) {
            return CodecError::Malformed;
        }
        return envelope;
    } catch (const std::exception &) {
        return CodecError::Malformed;
    }
}
}
