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
    static struct fleet_options options;
    if (fleet_options_parse(&options, argc, argv) != RC_OK ||
        log_open("standin-searcher", "searchers", options.log_level) !=
            RC_OK) {
        return 2;
    }
    standin_raise_file_limit();
    uv_loop_t *loop = uv_default_loop();
    static struct fleet *fleet;
    if (fleet_open(loop, &options, &fleet) != RC_OK) {
        return 2;
    }
    log_info("main", "listening base_port=%" PRId64 " count=%" PRId64,
             options.base_port, options.count);
    standin_run(loop);
    log_close();
    return 0;
}
