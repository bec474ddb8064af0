#pragma once

/**
 * Module quarantine: finds prompt parts under which targets crash, and keeps requests with them
 * from the other targets.
 *
 * Records which prompt parts were in work when the connections to a target broke, and which parts
 * targets write answers on. A part under which several targets ended one after the other, and on
 * which no answer was written since, is held: requests with it are rejected. Routers tell each
 * other what they saw, so that all of them decide alike, and keep records of it in the key-value
 * service, so that it is known again after all of them ended. Depends on placement; opens no
 * connection and reads no clock.
 */

#include "quarantine/archive/part_archive.h"
#include "quarantine/decision/part_quarantine.h"
#include "quarantine/decision/quarantine_event.h"
#include "quarantine/decision/quarantine_rule.h"
#include "quarantine/decision/trial_schedule.h"
#include "quarantine/evidence/loss_table.h"
#include "quarantine/evidence/quarantine_news.h"
#include "quarantine/news/news_outbox.h"
