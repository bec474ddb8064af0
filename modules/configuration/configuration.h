#pragma once

/**
 * Module configuration: the document that operators write, its validation and revisions, the
 * protocol that writes a change to the store, and the logic with which every process adopts it.
 *
 * Depends on foundation and on the store types of ownership. Opens no connection and reads no
 * clock.
 */

#include "configuration/administration/administration_api.h"
#include "configuration/document/configuration_document.h"
#include "configuration/document/document_reader.h"
#include "configuration/revision/configuration_editor.h"
#include "configuration/revision/configuration_follower.h"
#include "configuration/revision/configuration_head.h"
#include "configuration/revision/configuration_snapshot.h"
#include "configuration/revision/document_chunks.h"
#include "configuration/revision/document_delta.h"
