#ifndef CH_GATEWAY_APP_LOOP_H
#define CH_GATEWAY_APP_LOOP_H

#include "gateway/app.h"

/*
 * What a gateway process does by time and on signals: lets each module do what
 * is due, logs totals, reads changed settings and ends the process. Part of
 * app.c, which alone includes it.
 */

/* Called before anything else, so that signals that arrive before the loop
 * runs are handled by it. */
void app_loop_start_signals(struct app *app);

/* The modules must exist. */
void app_loop_start_timers(struct app *app);

#endif
