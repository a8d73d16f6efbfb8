#ifndef CH_GATEWAY_RELOAD_H
#define CH_GATEWAY_RELOAD_H

#include "gateway/app.h"

/*
 * The settings of a running process: puts them into force, and reads their
 * file again. Without a settings file only reload_apply() does anything.
 */

/* Notes the state of the file that was read at the start. */
void reload_init(struct app *app);

/* Puts the process's settings into force. */
void reload_apply(struct app *app);

/* Reads the file again; the old settings stay in force if it is invalid. */
void reload_settings(struct app *app);

/* The same if the file has changed since it was read. */
void reload_if_changed(struct app *app);

#endif
