#include <glib.h>
#include <malloc.h>
#include <signal.h>

#include "common/log.h"
#include "common/opt.h"
#include "common/rc.h"
#include "gateway/app.h"
#include "native/server.h"
#include "native/native.h"
#include "platform/platform.h"

#define MAIN_LARGE_BLOCK_BYTES (128 * 1024)

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

/* Large buffers go back to the system when they are freed. Without a fixed
 * threshold glibc raises it to their size and keeps them. */
static void
main_return_large_blocks(void)
{
    (void)mallopt(M_MMAP_THRESHOLD, MAIN_LARGE_BLOCK_BYTES);
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
    main_return_large_blocks();
    int rc = log_open("gateway", "starting", "info");
    if (rc == RC_OK) {
        log_to_stdout();
        rc = main_run(settings_path, &settings);
        log_close();
    }
    g_free(settings_path);
    return rc == RC_OK ? 0 : 1;
}
