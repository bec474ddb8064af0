#pragma once

/**
 * Module directory: the known targets, and which of them may receive requests.
 *
 * Holds replicas of key prefixes of a key-value service, whose keys never return to an older
 * revision, and the table of targets and the list of evacuations that are maintained from them.
 * Depends on foundation; opens no connection and reads no clock.
 */

#include "directory/evacuation/evacuation_list.h"
#include "directory/mirror/mirror_codec.h"
#include "directory/mirror/mirror_messages.h"
#include "directory/mirror/prefix_mirror.h"
#include "directory/mirror/store_revision.h"
#include "directory/target/ipv4_address.h"
#include "directory/target/target_directory.h"
#include "directory/target/target_record.h"
