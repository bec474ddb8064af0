#include "foundation/json/bounded_document.h"

#include <limits>
#include <string>
#include <utility>
#include <vector>

namespace quetzal {

namespace {

using nlohmann::json;

/** Builds a document from the events of a parser, and stops the parser at the bounds. */
class document_builder final : public nlohmann::json_sax<json>
{
public:
    explicit document_builder(const document_bounds &bounds)
        : m_bounds(bounds)
    {
    }

    json takeDocument() { return std::move(m_document); }

    bool null() override { return add(nullptr) != nullptr; }
    bool boolean(bool value) override { return add(value) != nullptr; }
    bool number_integer(number_integer_t value) override { return add(value) != nullptr; }
    bool number_unsigned(number_unsigned_t value) override { return add(value) != nullptr; }
    bool number_float(number_float_t value, const string_t & /*text*/) override
    {
        return add(value) != nullptr;
    }
    bool string(string_t &value) override { return add(std::move(value)) != nullptr; }
    bool binary(binary_t &value) override { return add(json::binary(std::move(value))) != nullptr; }
    bool start_object(std::size_t /*size*/) override { return open(json::object()); }
    bool key(string_t &name) override
    {
        m_key = std::move(name);
        return true;
    }
    bool end_object() override { return close(); }
    bool start_array(std::size_t /*size*/) override { return open(json::array()); }
    bool end_array() override { return close(); }
    bool parse_error(std::size_t /*position*/, const std::string & /*token*/,
                     const json::exception & /*error*/) override
    {
        return false;
    }

private:
    /** Returns the added value, or nullptr if the document has too many values. */
    json *add(json value)
    {
        if (m_valueCount >= m_bounds.maxValues)
            return nullptr;
        ++m_valueCount;
        if (m_open.empty()) {
            m_document = std::move(value);
            return &m_document;
        }
        json &parent = *m_open.back();
        if (parent.is_array()) {
            parent.push_back(std::move(value));
            return &parent.back();
        }
        json &member = parent[m_key];
        member = std::move(value);
        return &member;
    }

    bool open(json container)
    {
        if (m_open.size() >= m_bounds.maxDepth)
            return false;
        json *added = add(std::move(container));
        if (added == nullptr)
            return false;
        m_open.push_back(added);
        return true;
    }

    bool close()
    {
        m_open.pop_back();
        return true;
    }

    document_bounds m_bounds;
    json m_document;
    /** The arrays and objects that have not ended, from the outermost. */
    std::vector<json *> m_open;
    std::string m_key;
    std::size_t m_valueCount = 0;
};

std::optional<json> read(std::string_view text, json::input_format_t format,
                         const document_bounds &bounds)
{
    document_builder builder(bounds);
    if (!json::sax_parse(text.begin(), text.end(), &builder, format))
        return std::nullopt;
    return builder.takeDocument();
}

} // namespace

std::optional<json> readJson(std::string_view text, const document_bounds &bounds)
{
    return read(text, json::input_format_t::json, bounds);
}

std::optional<json> readMessagePack(std::string_view bytes, const document_bounds &bounds)
{
    return read(bytes, json::input_format_t::msgpack, bounds);
}

std::optional<std::int64_t> wholeNumber(const json &value, std::int64_t minimum,
                                        std::int64_t maximum)
{
    constexpr std::uint64_t maxSigned = std::numeric_limits<std::int64_t>::max();
    if (!value.is_number_integer())
        return std::nullopt;
    if (value.is_number_unsigned() && value.get<std::uint64_t>() > maxSigned)
        return std::nullopt;
    const auto number = value.get<std::int64_t>();
    if (number < minimum || number > maximum)
        return std::nullopt;
    return number;
}

std::optional<std::uint64_t> unsignedNumber(const json &value)
{
    if (!value.is_number_unsigned())
        return std::nullopt;
    return value.get<std::uint64_t>();
}

std::optional<double> numberWithin(const json &value, double minimum, double maximum)
{
    if (!value.is_number())
        return std::nullopt;
    const auto number = value.get<double>();
    if (!(number >= minimum && number <= maximum))
        return std::nullopt;
    return number;
}

} // namespace quetzal
