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

// The portable archive of cereal spends eight bytes on each size and integer; heartbeats of 48 members would
// then exceed the traffic that control may cause. So integers are variable-length, least significant group first.
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

// Refuses what exceeds the bytes that are left, before anything is allocated for it.
class Input : public cereal::InputArchive<Input, cereal::AllowEmptyClassElision>
{
public:
    explicit Input(std::string_view bytes)
        : InputArchive(this)
        , m_left(bytes)
    { }

    void raw(void *data, std::size_t size)
    {
        needs(size);
        std::memcpy(data, m_left.data(), size);
        m_left.remove_prefix(size);
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
    // Each element takes a byte at least.
    std::size_t size() { return unsignedInteger(m_left.size()); }
    bool atEnd() const { return m_left.empty(); }

private:
    void needs(std::size_t size) const
    {
        if (size > m_left.size()) {
            throw cereal::Exception("message ends early");
        }
    }
    static std::uint64_t checked(std::uint64_t value, std::uint64_t limit)
    {
        if (value > limit) {
            throw cereal::Exception("number out of range");
        }
        return value;
    }

    std::string_view m_left;
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

// The index of a variant is its only signed number, and never negative.
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

// Grows with the elements that are really there.
template<class T>
void load(Input &archive, std::vector<T> &values)
{
    const std::size_t count = archive.size();
    values.clear();
    for (std::size_t index = 0; index < count; ++index) {
        archive(values.emplace_back());
    }
}

// The library casts any number to an enumeration.
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

Signature macOf(std::string_view bytes, const std::string &secret)
{
    Signature signature {};
    unsigned size = 0;
    const auto *data = reinterpret_cast<const unsigned char *>(bytes.data());
    const auto *done = HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()), data, bytes.size(), signature.data(), &size);
    assert(done && size >= config::SignatureBytes);
    static_cast<void>(done);
    return signature;
}
}

const char *toString(CodecError error)
{
    switch (error) {
    case CodecError::TooShort:
        return "too short";
    case CodecError::BadSignature:
        return "bad MAC";
    case CodecError::Malformed:
        return "malformed";
    case CodecError::TrailingBytes:
        return "trailing bytes";
    }
    return "unknown";
}

std::string encode(const Envelope &envelope, const std::string &secret)
{
    std::string body;
    Output archive(body);
    archive(envelope);
    const Signature signature = macOf(body, secret);
    return std::string(reinterpret_cast<const char *>(signature.data()), config::SignatureBytes) + body;
}

Outcome<Envelope, CodecError> decode(std::string_view bytes, const std::string &secret)
{
    if (bytes.size() <= config::SignatureBytes) {
        return CodecError::TooShort;
    }
    const std::string_view body = bytes.substr(config::SignatureBytes);
    const Signature signature = macOf(body, secret);
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
