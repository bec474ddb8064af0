#pragma once

/**
 * Module foundation: utilities that the other modules share.
 *
 * Numbered result codes, precondition checks, validating JSON access, stable hashes and a seeded
 * random number generator. Depends only on Abseil, nlohmann-json, xxHash and OpenSSL's digests.
 */

#include "foundation/errors/precondition.h"
#include "foundation/errors/result_code.h"
#include "foundation/hashing/stable_hash.h"
#include "foundation/json/bounded_document.h"
#include "foundation/json/json_reader.h"
#include "foundation/random/random_source.h"
