#include "relay/options.h"
#include "relay/server.h"
#include "common/log.h"
#include "common/rc.h"

int
main(int argc, char **argv)
{
    struct relay_options options;
    if (relay_options_parse(&options, argc, argv) != RC_OK) {
        return 2;
    }
    if (log_open("relay", options.machine, options.log_level) != RC_OK) {
        return 2;
    }
    int rc = srv_run(&options);
    log_close();
    relay_options_clear(&options);
    return rc == RC_OK ? 0 : 1;
}
