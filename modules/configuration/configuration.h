#pragma once

/**
 * Module configuration: the operators' document, its validation, its revisions and how a change is
 * written to the store and followed by every process.
 *
 * Depends on foundation and on ownership's store types; opens no connection and reads no clock.
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
