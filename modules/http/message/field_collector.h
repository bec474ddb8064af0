#pragma once

#include "http/message/header_fields.h"

#include <boost/utility/string_view.hpp>

#include <ostream>

namespace quetzal {

/** Adds a field whose name and value have the string type of Boost.Beast's parser. */
inline void addField(header_fields &fields, boost::string_view name, boost::string_view value)
{
    fields.add({name.data(), name.size()}, {value.data(), value.size()});
}

} // namespace quetzal
