#include <inttypes.h>
#include <signal.h>

#include "common/log.h"
#include "common/rc.h"
#include "entry/app.h"
#include "entry/options.h"

static int
entry_run(const struct entry_options *options)
{
    static struct app app;
    int rc = app_open(&app, uv_default_loop(), options);
    if (rc == RC_OK) {
        log_info("main", "started zone=%s start=%016" PRIx64 " http=%s",
                 options->zone, app.start, options->http_listen);
        uv_run(uv_default_loop(), UV_RUN_DEFAULT);
        log_info("main", "stopped");
    }
    app_close(&app);
    return rc == RC_OK ? 0 : 1;
}

int
main(int argc, char **argv)
{
    struct entry_options options;
    if (entry_options_parse(&options, argc, argv) != RC_OK ||
        log_open("entry", options.machine, options.log_level) != RC_OK) {
        entry_options_clear(&options);
        return 2;
    }
    /* A caller that closes its connection must not end the process. */
    (void)signal(SIGPIPE, SIG_IGN);
    int status = entry_run(&options);
    log_close();
    entry_options_clear(&options);
    return status;
}
