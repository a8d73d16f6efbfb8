#ifndef CH_ENTRY_HTTP_H
#define CH_ENTRY_HTTP_H

#include "entry/app.h"

/* Bodies above this are refused by the HTTP library; up to here the answer
 * is an error with a result code. */
#define HTP_MAX_BODY_BYTES (1024 * 1024)

/* Handles one request of a caller; `ctx` is the app. */
void htp_on_request(struct hsv_request *request, void *ctx);

/*
 * One HTTP command. `rest` is the path after the command's prefix. Each
 * answers the request, at once or later.
 */
void cmd_search(struct app *app, struct hsv_request *request,
                const char *rest);
void cmd_orders(struct app *app, struct hsv_request *request,
                const char *rest);
void cmd_ids(struct app *app, struct hsv_request *request, const char *rest);
void cmd_entries(struct app *app, struct hsv_request *request,
                 const char *rest);
void cmd_healthz(struct app *app, struct hsv_request *request,
                 const char *rest);
void cmd_metrics(struct app *app, struct hsv_request *request,
                 const char *rest);
void cmd_status(struct app *app, struct hsv_request *request,
                const char *rest);

#endif
