#pragma once

/**
 * Module directory: which targets exist and which of them may receive work.
 *
 * A mirror of key prefixes of a key-value service that never goes back, and the table of targets
 * that is kept from it. Depends on foundation; opens no connection and reads no clock.
 */

#include "directory/mirror/mirror_codec.h"
#include "directory/mirror/mirror_follower.h"
#include "directory/mirror/mirror_messages.h"
#include "directory/mirror/prefix_mirror.h"
#include "directory/target/target_directory.h"
#include "directory/target/target_record.h"
