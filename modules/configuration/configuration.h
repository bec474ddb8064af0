#pragma once

/**
 * Module configuration: the operators' document, its validation, its revisions and how a change is
 * written to the store and followed by every process.
 *
 * Depends on foundation; opens no connection and reads no clock.
 */

#include "configuration/document/configuration_document.h"
#include "configuration/document/document_reader.h"
