#pragma once

/**
 * Module foundation: what every other module uses.
 *
 * Numbered result codes, precondition checks, checked JSON reading, stable hashes and a seeded
 * random generator. Depends on Abseil, nlohmann-json, xxHash and OpenSSL's digest functions only.
 */

#include "foundation/errors/precondition.h"
#include "foundation/errors/result_code.h"
#include "foundation/hashing/stable_hash.h"
#include "foundation/json/json_reader.h"
#include "foundation/random/random_source.h"
