/*
 * Request ids: an order runs at most once, and "not run" is never false.
 *
 * One id, issued by the first process of VM A. The caller sends it up to
 * ATTEMPTS times, to A or to VM B, which forwards. A may be replaced once.
 * Every message between processes may be lost; A may give up waiting at any
 * time. `runs` counts executions at the backend servers.
 *
 * Broken variants (each must violate an assertion):
 *   BROKEN_RETRY_UNKNOWN   a repeat after an unknown outcome runs again
 *   BROKEN_FOREIGN_RUN     B runs the id itself when A does not answer
 *   BROKEN_START           a new process of A accepts ids of the old one
 *   BROKEN_TIMEOUT_NOT_RUN giving up after sending is reported as "not run"
 *   BROKEN_LOST_NOT_RUN    a connection lost after sending counts as "not run"
 *   BROKEN_LOST_RETRY      it is sent again to the other replica
 */

#define ATTEMPTS 3
/* Replicas that one run may be sent to. */
#define REPLICAS 2

mtype = { ORDER, DONE, NOT_RUN, UNKNOWN };

/* What A knows about the id: struct request_id_entry in native/request_id.c. */
mtype = { ISSUED, RUNNING, ENDED };

chan to_a = [2] of { mtype };      /* ORDER from the caller or from B */
chan to_b = [2] of { mtype };
chan request = [2] of { byte };    /* to a backend server, number of the try */
chan reply = [2] of { byte, mtype };

byte runs = 0;
byte alive = 0; /* requests that may still reach a backend server */

byte a_start = 0;
mtype a_state = ISSUED;
mtype a_outcome = UNKNOWN;
byte a_try = 0;
byte a_replicas = 0; /* asked in this run */

inline check_not_run()
{
    /* Nobody may say "not run" while a run happened or may still happen. */
    assert(runs == 0 && alive == 0);
}

/* order_on_result() in native/order.c: the caller sees the outcome. */
inline answer(outcome)
{
    if
    :: outcome == NOT_RUN -> check_not_run()
    :: else -> skip
    fi
}

inline end_run(outcome)
{
    a_state = ENDED;
    a_outcome = outcome;
    answer(outcome)
}

/* part_attempt() in gateway/part.c: one backend server is asked. */
inline send_request()
{
    a_try++;
    a_replicas++;
    a_state = RUNNING;
    if
    :: nfull(request) -> request ! a_try; alive++
    :: alive++                     /* lost on the way: nobody knows */
    :: end_run(NOT_RUN)            /* no connection, no byte was sent */
    fi
}

inline begin_run()
{
    a_replicas = 0;
    send_request()
}

active proctype vm_a()
{
    byte try;
    mtype outcome;
end:
    do
    /* order_submit() in native/order.c: an order with the id arrives. */
    :: to_a ? ORDER ->
        atomic {
            if
#ifndef BROKEN_START
            :: a_start != 0 -> answer(UNKNOWN)
            :: a_start == 0 && a_state == ISSUED -> begin_run()
            :: a_start == 0 && a_state == RUNNING -> skip
            :: a_start == 0 && a_state == ENDED && a_outcome == NOT_RUN ->
                begin_run()
            :: a_start == 0 && a_state == ENDED && a_outcome != NOT_RUN ->
#else
            :: a_state == ISSUED -> begin_run()
            :: a_state == RUNNING -> skip
            :: a_state == ENDED && a_outcome == NOT_RUN -> begin_run()
            :: a_state == ENDED && a_outcome != NOT_RUN ->
#endif
#ifdef BROKEN_RETRY_UNKNOWN
                if
                :: a_outcome == UNKNOWN -> begin_run()
                :: else -> answer(a_outcome)
                fi
#else
                answer(a_outcome)
#endif
            fi
        }
    /* prt_on_failure() and prt_on_success(): a late answer belongs to no
     * request any more. */
    :: reply ? try, outcome ->
        atomic {
            if
            :: try == a_try && a_state == RUNNING ->
                if
                :: outcome == NOT_RUN && a_replicas < REPLICAS ->
                    send_request()
                :: outcome == NOT_RUN && a_replicas == REPLICAS ->
                    end_run(NOT_RUN)
                :: outcome == DONE -> end_run(DONE)
                :: outcome == UNKNOWN ->
#ifdef BROKEN_LOST_NOT_RUN
                    end_run(NOT_RUN)
#else
#ifdef BROKEN_LOST_RETRY
                    send_request()
#else
                    end_run(UNKNOWN)
#endif
#endif
                fi
            :: else -> skip
            fi
        }
    /* The deadline passes. */
    :: a_state == RUNNING ->
        atomic {
#ifdef BROKEN_TIMEOUT_NOT_RUN
            end_run(NOT_RUN)
#else
            end_run(UNKNOWN)
#endif
        }
    /* The VM is replaced: a new process with an empty table. */
    :: a_start == 0 ->
        atomic { a_start = 1; a_state = ISSUED; a_outcome = UNKNOWN }
    od
}

/* orders_forward() in native/orders.c: a VM that did not issue the id. */
active proctype vm_b()
{
end:
    do
    :: to_b ? ORDER ->
        if
        :: nfull(to_a) -> to_a ! ORDER  /* forwarded */
        :: skip                         /* lost: the outcome is unknown */
#ifdef BROKEN_FOREIGN_RUN
        :: atomic { nfull(request) -> request ! 100; alive++ }
#endif
        fi
    od
}

active proctype backend_server()
{
    byte try;
    mtype outcome;
end:
    do
    :: request ? try ->
        if
        /* Refused without being run. */
        :: atomic { alive--; outcome = NOT_RUN }
        /* Ran; the answer came back. */
        :: atomic { alive--; runs++; outcome = DONE }
        /* Connection lost after sending: it ran, or it never will. */
        :: atomic { alive--; runs++; outcome = UNKNOWN }
        :: atomic { alive--; outcome = UNKNOWN }
        fi;
        assert(runs <= 1);
        if
        :: nfull(reply) -> reply ! try, outcome
        :: skip /* lost */
        fi
    od
}

active proctype caller()
{
    byte sent = 0;
    do
    :: sent < ATTEMPTS && nfull(to_a) -> to_a ! ORDER; sent++
    :: sent < ATTEMPTS && nfull(to_b) -> to_b ! ORDER; sent++
    :: sent < ATTEMPTS -> sent++ /* lost */
    :: sent == ATTEMPTS -> break
    od
}
