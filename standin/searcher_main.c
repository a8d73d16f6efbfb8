#include <signal.h>
#include <inttypes.h>

#include "common/log.h"
#include "common/rc.h"
#include "standin/fleet.h"
#include "standin/run.h"

int
main(int argc, char **argv)
{
    /* A peer may close its end at any time. */
    (void)signal(SIGPIPE, SIG_IGN);
    /* Static, so that what they own counts as in use at exit. */
    static struct fle_options options;
    if (fle_options_parse(&options, argc, argv) != RC_OK ||
        log_open("standin-searcher", "searchers", options.log_level) !=
            RC_OK) {
        return 2;
    }
    stn_raise_file_limit();
    uv_loop_t *loop = uv_default_loop();
    static struct fle *fleet;
    if (fle_open(loop, &options, &fleet) != RC_OK) {
        return 2;
    }
    log_info("main", "listening base_port=%" PRId64 " count=%" PRId64,
             options.base_port, options.count);
    stn_run(loop);
    log_close();
    return 0;
}
