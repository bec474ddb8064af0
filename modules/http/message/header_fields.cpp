#include "http/message/header_fields.h"

#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>

#include <algorithm>
#include <array>

namespace quetzal {

namespace {

constexpr std::array<std::string_view, 10> hopByHopNames {"Connection",
                                                          "Keep-Alive",
                                                          "Proxy-Connection",
                                                          "Proxy-Authenticate",
                                                          "Proxy-Authorization",
                                                          "TE",
                                                          "Trailer",
                                                          "Transfer-Encoding",
                                                          "Upgrade",
                                                          "Expect"};

bool containsName(const std::vector<std::string_view> &names, std::string_view name)
{
    return std::any_of(names.begin(), names.end(),
                       [&](std::string_view other) { return equalsIgnoringCase(other, name); });
}

} // namespace

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    const auto lower = [](char character) {
        return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a')
                                                    : character;
    };
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [&](char a, char b) { return lower(a) == lower(b); });
}

void header_fields::add(std::string_view name, std::string_view value)
{
    m_fields.push_back({std::string(name), std::string(value)});
}

void header_fields::remove(std::string_view name)
{
    std::erase_if(m_fields,
                  [&](const header_field &field) { return equalsIgnoringCase(field.name, name); });
}

void header_fields::set(std::string_view name, std::string_view value)
{
    remove(name);
    add(name, value);
}

const std::string *header_fields::find(std::string_view name) const
{
    const auto found
        = std::find_if(m_fields.begin(), m_fields.end(), [&](const header_field &field) {
              return equalsIgnoringCase(field.name, name);
          });
    return found == m_fields.end() ? nullptr : &found->value;
}

std::string_view header_fields::valueOf(std::string_view name) const
{
    const std::string *value = find(name);
    return value == nullptr ? std::string_view() : std::string_view(*value);
}

std::size_t header_fields::count(std::string_view name) const
{
    return static_cast<std::size_t>(
        std::count_if(m_fields.begin(), m_fields.end(), [&](const header_field &field) {
            return equalsIgnoringCase(field.name, name);
        }));
}

void removeHopByHopFields(header_fields &fields, const std::vector<std::string_view> &endToEnd)
{
    std::vector<std::string> named;
    for (const header_field &field : fields) {
        if (!equalsIgnoringCase(field.name, "Connection"))
            continue;
        std::vector<std::string> tokens;
        boost::split(tokens, field.value, [](char character) { return character == ','; });
        for (const std::string &token : tokens)
            named.push_back(boost::trim_copy(token));
    }
    for (std::string_view name : hopByHopNames)
        fields.remove(name);
    for (const std::string &name : named) {
        if (!containsName(endToEnd, name))
            fields.remove(name);
    }
}

} // namespace quetzal
