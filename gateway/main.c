#include <glib.h>
#include <signal.h>

#include "common/log.h"
#include "common/opt.h"
#include "common/rc.h"
#include "gateway/app.h"
#include "native/server.h"
#include "native/native.h"
#include "platform/platform.h"

/* Serves the platform's interface if there is a settings file, else the native
 * interface with the settings of options and environment variables. */
static int
main_run(const char *settings_path, struct settings *settings)
{
    return settings_path != NULL
               ? app_run(settings, settings_path, &platform_wire,
                         &front_io_front)
               : app_run(settings, NULL, &native_wire, &server_front);
}

int
main(int argc, char **argv)
{
    char *settings_path = NULL;
    struct settings settings;
    if (server_options_parse(&argc, &argv, &settings_path, &settings) !=
        RC_OK) {
        return 2;
    }
    (void)signal(SIGPIPE, SIG_IGN);
    int rc = log_open("gateway", "starting", "info");
    if (rc == RC_OK) {
        log_to_stdout();
        rc = main_run(settings_path, &settings);
        log_close();
    }
    g_free(settings_path);
    return rc == RC_OK ? 0 : 1;
}
