#include <signal.h>
#include <inttypes.h>

#include "common/log.h"
#include "common/rc.h"
#include "standin/fleet.h"
#include "standin/run.h"

int
main(int argc, char **argv)
{
    /* A write to a connection that the peer closed must not end the process.
     */
    (void)signal(SIGPIPE, SIG_IGN);
    /* Static, so that a leak checker still reaches what they own at exit. */
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
    log_info("main",
             "searchers are listening base_port=%" PRId64 " count=%" PRId64,
             options.base_port, options.count);
    standin_run(loop);
    log_close();
    return 0;
}
